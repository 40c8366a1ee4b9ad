//! The life of one batch, top to bottom in one task.

use crate::engines::result_rows;
use crate::engines::{Call, Ended, Engines, Start, Statement, Target, Tidings, Wish};
use crate::scheduling::client_presence::Attended;
use crate::scheduling::scheduler::{Desk, Final, Order};
use crate::storage::query_journal::Keeper;
use garnetwall::api::{AttemptEnd, AttemptOutcome, EngineId, FollowUp, QueryId};
use garnetwall_ledger::book::Sent;
use std::future::Future;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::sleep_until;

pub struct Life {
    pub desk: Arc<Desk>,
    pub engines: Arc<Engines>,
    pub id: QueryId,
    pub call: Arc<Call>,
    pub orders: UnboundedReceiver<Order>,
    pub keeper: Arc<Keeper>,
    /// What is written down before it is sent.
    pub once_only: Option<Sent>,
    /// Whether a client waits for it.
    pub attended: Attended,
    /// The statement's part of the budget.
    pub _memory: OwnedSemaphorePermit,
}

impl Life {
    /// From the first order to the last outcome; it outlives the client's connection.
    pub async fn live(mut self) {
        let mut dispatch = 0;
        while let Some(order) = self.orders.recv().await {
            match order {
                Order::Go {
                    engine,
                    until,
                    comes_by,
                } => {
                    let attended = self.attended.clone();
                    let start = Start {
                        further: dispatch > 0,
                        until,
                        comes_by,
                        attended,
                    };
                    let over = self.dispatch(engine, dispatch, start).await;
                    dispatch += 1;
                    if over {
                        break;
                    }
                }
                Order::Over(answer) => {
                    self.desk.answer(self.id, answer.into());
                    break;
                }
                Order::Gone => break,
                // Its outcome came first.
                Order::TakeBack { .. } => {}
            }
        }
        // Every dispatch is proved over by now.
        if let Some(sent) = self.once_only.filter(|_| dispatch > 0) {
            self.keeper.over(sent.id);
        }
        self.desk.let_go(self.id);
    }

    /// One dispatch until its outcome; whether the batch is over then.
    async fn dispatch(&mut self, engine: EngineId, dispatch: u32, start: Start) -> bool {
        let out = Out {
            engine,
            dispatch,
            sent: Instant::now(),
        };
        let Some(target) = self.engines.target(engine) else {
            return self.after(out, Ended::of(AttemptEnd::ConnectFailed), false);
        };
        let (ended, answered) = self.run(target, out, start).await;
        self.after(out, ended, answered)
    }

    /// Runs a dispatch until it is over, which may be later than its batch's answer; whether none is owed any more.
    async fn run(&mut self, target: Target, out: Out, start: Start) -> (Ended, bool) {
        let until = start.until;
        let (engines, call, desk) = (self.engines.clone(), self.call.clone(), self.desk.clone());
        let (keeper, once_only, id) = (self.keeper.clone(), self.once_only, self.id);
        let (wish, wishes) = watch::channel(Wish::Answer);
        let (doubt, mut doubts) = watch::channel(None);
        let (note, mut notes) = watch::channel(None);
        let tidings = Tidings { doubt, note };
        let running = async {
            if let Some(sent) = once_only {
                if let Err(end) = promised(keeper.promise(sent), wishes.clone()).await {
                    return Ended::of(end);
                }
            }
            tracing::debug!(
                batch = id,
                engine = out.engine,
                dispatch = out.dispatch,
                "dispatch"
            );
            engines
                .dispatch(target, &call, start, wishes, tidings)
                .await
        };
        let too_late = async {
            tokio::select! {
                () = sleep_until(until.into()) => {}
                () = desk.ended() => {}
            }
        };
        tokio::pin!(running, too_late);
        let mut answered = false;
        let mut late = None;
        let mut doubted = true;
        loop {
            tokio::select! {
                biased;
                ended = &mut running => {
                    let end = late.filter(|_| ended.end != AttemptEnd::NotNeeded).unwrap_or(ended.end);
                    return (Ended { end, ..ended }, answered);
                }
                () = &mut too_late, if late.is_none() => {
                    // The answer is due now; what may still run there is given up beside it.
                    late = Some(AttemptEnd::TimedOut);
                    wish.send_replace(Wish::Over);
                    doubted = false;
                }
                // What was not started yet is over by now, and in no doubt.
                () = std::future::ready(()), if !doubted => {
                    doubted = true;
                    answered |= self.in_doubt(out, AttemptEnd::TimedOut);
                }
                Ok(()) = doubts.changed() => {
                    if let Some(end) = *doubts.borrow_and_update() {
                        answered |= self.in_doubt(out, end);
                    }
                }
                Ok(()) = notes.changed() => {
                    if let Some(note) = *notes.borrow_and_update() {
                        desk.noted(self.id, out.dispatch, note);
                    }
                }
                Some(order) = self.orders.recv() => match order {
                    Order::Gone => {
                        answered = true;
                        wish.send_if_modified(|w| {
                            let first = *w == Wish::Answer;
                            *w = if first { Wish::Begun } else { *w };
                            first
                        });
                    }
                    Order::TakeBack { dispatch } if dispatch == out.dispatch => {
                        let wanted = if answered { Wish::Over } else { Wish::Back };
                        wish.send_if_modified(|w| {
                            let first = matches!(w, Wish::Answer | Wish::Begun);
                            *w = if first { wanted } else { *w };
                            first
                        });
                    }
                    // The module has one dispatch out at most, and no answer beside it.
                    Order::TakeBack { .. } | Order::Go { .. } | Order::Over(_) => {}
                },
            }
        }
    }

    /// Tells the module of a dispatch whose end is not known, and answers if it wants so; whether it did.
    fn in_doubt(&self, out: Out, end: AttemptEnd) -> bool {
        if matches!(&self.call.statement, Statement::Streamed(body) if !body.can_be_read()) {
            self.desk.not_kept(self.id);
        }
        let FollowUp::Answer(answer) = self
            .desk
            .in_doubt(self.id, out.outcome(&Ended::of(end), false))
        else {
            return false;
        };
        self.desk.answer(self.id, answer.into());
        true
    }

    /// Tells the module the outcome and does what follows; whether the batch is over.
    fn after(&self, out: Out, mut ended: Ended, answered: bool) -> bool {
        let body = (ended.end == AttemptEnd::Succeeded).then(|| result_rows::answer(&ended.pages));
        if let Some(Err(what)) = &body {
            tracing::warn!(engine = out.engine, what, "result out of the protocol");
            ended = Ended {
                report: ended.report,
                ..Ended::of(AttemptEnd::Failed)
            };
        }
        self.engines.attempted(out.engine, ended.end);
        let outcome = out.outcome(&ended, answered);
        let Out {
            engine, dispatch, ..
        } = out;
        tracing::debug!(batch = self.id, engine, dispatch, end = ?ended.end, latency = outcome.latency, "outcome");
        if matches!(&self.call.statement, Statement::Streamed(body) if !body.can_be_read()) {
            self.desk.not_kept(self.id);
        }
        let next = self.desk.after(self.id, outcome, ended.report);
        match (body, next) {
            (Some(Ok(body)), _) => self.desk.answer(self.id, Final::Returned(body)),
            (_, FollowUp::Answer(answer)) => self.desk.answer(self.id, answer.into()),
            (_, FollowUp::Nothing) => return answered,
        }
        true
    }
}

/// Waits for the promise that a dispatch may be sent, or how it ends without: the disk may take longer than anyone waits.
async fn promised(
    promise: impl Future<Output = bool>,
    mut wishes: watch::Receiver<Wish>,
) -> Result<(), AttemptEnd> {
    tokio::select! {
        biased;
        // It fails only with who wished gone, who waits for this.
        wish = wishes.wait_for(|wish| *wish != Wish::Answer) => match wish.map(|wish| *wish) {
            Ok(Wish::Back) => Err(AttemptEnd::ConnectFailed),
            _ => Err(AttemptEnd::NotNeeded),
        },
        // Nothing was sent, and the engine is not at fault: the query is answered now.
        kept = promise => if kept { Ok(()) } else { Err(AttemptEnd::NotNeeded) },
    }
}

/// A dispatch that is out.
#[derive(Clone, Copy)]
struct Out {
    engine: EngineId,
    dispatch: u32,
    sent: Instant,
}

impl Out {
    fn outcome(&self, ended: &Ended, answered: bool) -> AttemptOutcome {
        AttemptOutcome {
            engine: self.engine,
            attempt: self.dispatch,
            end: ended.end,
            latency: self.sent.elapsed().as_secs_f64(),
            query_finished: answered || ended.end == AttemptEnd::Succeeded,
            work: ended.work,
            memory: ended.memory,
        }
    }
}

#[cfg(test)]
mod tests;
