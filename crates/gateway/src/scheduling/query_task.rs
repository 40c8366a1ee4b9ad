//! The life of one batch, top to bottom in one task.

use crate::engines::result_rows;
use crate::engines::{
    AttemptEvents, AttemptResult, AttemptStart, Call, CancellationState, Engines, Statement, Target,
};
use crate::scheduling::client_presence::ClientPresence;
use crate::scheduling::scheduler::{Command, QueryAnswer, Scheduler};
use crate::storage::query_journal::QueryJournal;
use garnetwall::api::{AttemptEnd, AttemptOutcome, EngineId, FollowUp, QueryId};
use garnetwall_ledger::records::SentQuery;
use std::future::Future;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::sleep_until;

pub struct QueryTask {
    pub scheduler: Arc<Scheduler>,
    pub engines: Arc<Engines>,
    pub id: QueryId,
    pub call: Arc<Call>,
    pub commands: UnboundedReceiver<Command>,
    pub journal: Arc<QueryJournal>,
    /// What is written down before it is sent.
    pub journal_entry: Option<SentQuery>,
    /// Whether a client waits for it.
    pub client_presence: ClientPresence,
    /// The statement's part of the budget.
    pub _memory: OwnedSemaphorePermit,
}

impl QueryTask {
    /// From the first order to the last outcome; it outlives the client's connection.
    pub async fn run(mut self) {
        let mut dispatch = 0;
        while let Some(order) = self.commands.recv().await {
            match order {
                Command::BeginAttempt {
                    engine,
                    response_deadline: until,
                    send_deadline: comes_by,
                } => {
                    let attended = self.client_presence.clone();
                    let start = AttemptStart {
                        is_retry: dispatch > 0,
                        response_deadline: until,
                        send_deadline: comes_by,
                        client_presence: attended,
                    };
                    let over = self.begin_attempt(engine, dispatch, start).await;
                    dispatch += 1;
                    if over {
                        break;
                    }
                }
                Command::Answer(answer) => {
                    self.scheduler.answer(self.id, answer.into());
                    break;
                }
                Command::ClientLeft => break,
                // Its outcome came first.
                Command::CancelAttempt { .. } => {}
            }
        }
        // Every dispatch is proved over by now.
        if let Some(sent) = self.journal_entry.filter(|_| dispatch > 0) {
            self.journal.record_end(sent.id);
        }
        self.scheduler.release(self.id);
    }

    /// One dispatch until its outcome; whether the batch is over then.
    async fn begin_attempt(
        &mut self,
        engine: EngineId,
        dispatch: u32,
        start: AttemptStart,
    ) -> bool {
        let out = Out {
            engine,
            dispatch,
            sent: Instant::now(),
        };
        let Some(target) = self.engines.target(engine) else {
            return self.attempt_ended(out, AttemptResult::of(AttemptEnd::ConnectFailed), false);
        };
        let (ended, answered) = self.run_attempt(target, out, start).await;
        self.attempt_ended(out, ended, answered)
    }

    /// Runs a dispatch until it is over, which may be later than its batch's answer; whether none is owed any more.
    async fn run_attempt(
        &mut self,
        target: Target,
        out: Out,
        start: AttemptStart,
    ) -> (AttemptResult, bool) {
        let until = start.response_deadline;
        let (engines, call, desk) = (
            self.engines.clone(),
            self.call.clone(),
            self.scheduler.clone(),
        );
        let (keeper, once_only, id) = (self.journal.clone(), self.journal_entry, self.id);
        let (wish, wishes) = watch::channel(CancellationState::NotRequested);
        let (doubt, mut doubts) = watch::channel(None);
        let (note, mut notes) = watch::channel(None);
        let tidings = AttemptEvents {
            unknown_outcome: doubt,
            progress: note,
        };
        let running = async {
            if let Some(sent) = once_only {
                if let Err(end) = promised(keeper.record_before_send(sent), wishes.clone()).await {
                    return AttemptResult::of(end);
                }
            }
            tracing::debug!(
                batch = id,
                engine = out.engine,
                dispatch = out.dispatch,
                "dispatch"
            );
            engines
                .run_attempt(target, &call, start, wishes, tidings)
                .await
        };
        let too_late = async {
            tokio::select! {
                () = sleep_until(until.into()) => {}
                () = desk.until_shutdown() => {}
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
                    return (AttemptResult { end, ..ended }, answered);
                }
                () = &mut too_late, if late.is_none() => {
                    // The answer is due now; what may still run there is given up beside it.
                    late = Some(AttemptEnd::TimedOut);
                    wish.send_replace(CancellationState::QueryFinished);
                    doubted = false;
                }
                // What was not started yet is over by now, and in no doubt.
                () = std::future::ready(()), if !doubted => {
                    doubted = true;
                    answered |= self.outcome_unknown(out, AttemptEnd::TimedOut);
                }
                Ok(()) = doubts.changed() => {
                    if let Some(end) = *doubts.borrow_and_update() {
                        answered |= self.outcome_unknown(out, end);
                    }
                }
                Ok(()) = notes.changed() => {
                    if let Some(note) = *notes.borrow_and_update() {
                        desk.attempt_progressed(self.id, out.dispatch, note);
                    }
                }
                Some(order) = self.commands.recv() => match order {
                    Command::ClientLeft => {
                        answered = true;
                        wish.send_if_modified(|w| {
                            let first = *w == CancellationState::NotRequested;
                            *w = if first { CancellationState::IfNotStarted } else { *w };
                            first
                        });
                    }
                    Command::CancelAttempt { dispatch } if dispatch == out.dispatch => {
                        let wanted = if answered { CancellationState::QueryFinished } else { CancellationState::Requested };
                        wish.send_if_modified(|w| {
                            let first = matches!(w, CancellationState::NotRequested | CancellationState::IfNotStarted);
                            *w = if first { wanted } else { *w };
                            first
                        });
                    }
                    // The module has one dispatch out at most, and no answer beside it.
                    Command::CancelAttempt { .. } | Command::BeginAttempt { .. } | Command::Answer(_) => {}
                },
            }
        }
    }

    /// Tells the module of a dispatch whose end is not known, and answers if it wants so; whether it did.
    fn outcome_unknown(&self, out: Out, end: AttemptEnd) -> bool {
        if matches!(&self.call.statement, Statement::Streamed(body) if !body.can_be_read()) {
            self.scheduler.body_discarded(self.id);
        }
        let FollowUp::Answer(answer) = self
            .scheduler
            .outcome_unknown(self.id, out.outcome(&AttemptResult::of(end), false))
        else {
            return false;
        };
        self.scheduler.answer(self.id, answer.into());
        true
    }

    /// Tells the module the outcome and does what follows; whether the batch is over.
    fn attempt_ended(&self, out: Out, mut ended: AttemptResult, answered: bool) -> bool {
        let body = (ended.end == AttemptEnd::Succeeded).then(|| result_rows::to_json(&ended.pages));
        if let Some(Err(what)) = &body {
            tracing::warn!(engine = out.engine, %what, "result out of the protocol");
            ended = AttemptResult {
                report: ended.report,
                ..AttemptResult::of(AttemptEnd::Failed)
            };
        }
        self.engines.record_attempt_end(out.engine, ended.end);
        let outcome = out.outcome(&ended, answered);
        let Out {
            engine, dispatch, ..
        } = out;
        tracing::debug!(batch = self.id, engine, dispatch, end = ?ended.end, latency = outcome.latency, "outcome");
        if matches!(&self.call.statement, Statement::Streamed(body) if !body.can_be_read()) {
            self.scheduler.body_discarded(self.id);
        }
        let next = self.scheduler.attempt_ended(self.id, outcome, ended.report);
        match (body, next) {
            (Some(Ok(body)), _) => self.scheduler.answer(self.id, QueryAnswer::Succeeded(body)),
            (_, FollowUp::Answer(answer)) => self.scheduler.answer(self.id, answer.into()),
            (_, FollowUp::Nothing) => return answered,
        }
        true
    }
}

/// Waits for the promise that a dispatch may be sent, or how it ends without: the disk may take longer than anyone waits.
async fn promised(
    promise: impl Future<Output = bool>,
    mut wishes: watch::Receiver<CancellationState>,
) -> Result<(), AttemptEnd> {
    tokio::select! {
        biased;
        // It fails only with who wished gone, who waits for this.
        wish = wishes.wait_for(|wish| *wish != CancellationState::NotRequested) => match wish.map(|wish| *wish) {
            Ok(CancellationState::Requested) => Err(AttemptEnd::ConnectFailed),
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
    fn outcome(&self, ended: &AttemptResult, answered: bool) -> AttemptOutcome {
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
