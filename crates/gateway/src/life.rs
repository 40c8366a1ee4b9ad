//! The life of one batch, top to bottom in one task.

use crate::clock::span;
use crate::desk::{Desk, Final, Order};
use crate::engines::{Call, Ended, Engines, Target};
use crate::rows;
use garnetwall::api::{BatchId, End, EngineId, Next, Outcome};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;
use tokio::time::sleep;

pub struct Life {
    pub desk: Arc<Desk>,
    pub engines: Arc<Engines>,
    pub id: BatchId,
    pub call: Arc<Call>,
    pub orders: UnboundedReceiver<Order>,
    /// The statement's part of the budget.
    pub _memory: OwnedSemaphorePermit,
}

impl Life {
    /// From the first order to the last outcome; it outlives the client's connection.
    pub async fn live(mut self) {
        let mut dispatch = 0;
        while let Some(order) = self.orders.recv().await {
            match order {
                Order::Go { engine, time_out } => {
                    let over = self.dispatch(engine, dispatch, time_out).await;
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
        self.desk.let_go(self.id);
    }

    /// One dispatch until its outcome; whether the batch is over then.
    async fn dispatch(&mut self, engine: EngineId, dispatch: u32, time_out: f64) -> bool {
        let sent = Instant::now();
        let Some(target) = self.engines.target(engine) else {
            return self.after(engine, dispatch, sent, Ended::of(End::Unconnected), false);
        };
        let (ended, gone) = self.run(target, dispatch, time_out).await;
        self.after(engine, dispatch, sent, ended, gone)
    }

    /// Runs a dispatch until it ends, times out or is taken back; whether the client went meanwhile.
    async fn run(&mut self, target: Target, dispatch: u32, time_out: f64) -> (Ended, bool) {
        let engines = self.engines.clone();
        let call = self.call.clone();
        let running = engines.dispatch(target, &call, time_out);
        let desk = self.desk.clone();
        let too_late = async {
            tokio::select! {
                () = sleep(span(time_out)) => {}
                () = desk.ended() => {}
            }
        };
        tokio::pin!(running, too_late);
        let mut gone = false;
        loop {
            tokio::select! {
                biased;
                ended = &mut running => return (ended, gone),
                () = &mut too_late => {
                    // The answer is due now; what may still run there is given up beside it.
                    self.give_up(target);
                    return (Ended::of(End::TimedOut), gone);
                }
                Some(order) = self.orders.recv() => match order {
                    Order::Gone => gone = true,
                    Order::TakeBack { dispatch: which } if which == dispatch => {
                        // Over once that is answered or can't be any more, but the answer is due in time.
                        tokio::select! {
                            _ = self.give_up(target) => {}
                            () = &mut too_late => {}
                        }
                        return (Ended::of(End::Withdrawn), gone);
                    }
                    // The module has one dispatch out at most, and no answer beside it.
                    Order::TakeBack { .. } | Order::Go { .. } | Order::Over(_) => {}
                },
            }
        }
    }

    /// Gives a dispatch up in a task of its own, which goes on whether or not it is waited for.
    fn give_up(&self, target: Target) -> JoinHandle<()> {
        let (engines, call) = (self.engines.clone(), self.call.clone());
        tokio::spawn(async move { engines.give_up(target, &call).await })
    }

    /// Tells the module the outcome and does what follows; whether the batch is over.
    fn after(&self, engine: EngineId, dispatch: u32, sent: Instant, mut ended: Ended, gone: bool) -> bool {
        let body = (ended.end == End::Returned).then(|| rows::answer(&ended.pages));
        if let Some(Err(what)) = &body {
            tracing::warn!(engine, what, "result out of the protocol");
            ended = Ended { report: ended.report, ..Ended::of(End::Errored) };
        }
        let outcome = Outcome {
            engine,
            dispatch,
            end: ended.end,
            latency: sent.elapsed().as_secs_f64(),
            closed: gone || ended.end == End::Returned,
            work: ended.work,
            memory: ended.memory,
        };
        tracing::debug!(batch = self.id, engine, dispatch, end = ?ended.end, latency = outcome.latency, "outcome");
        let next = self.desk.after(self.id, outcome, ended.report);
        match (body, next) {
            (Some(Ok(body)), _) => self.desk.answer(self.id, Final::Returned(body)),
            (_, Next::Over(answer)) => self.desk.answer(self.id, answer.into()),
            (_, Next::Nothing) => return gone,
        }
        true
    }
}
