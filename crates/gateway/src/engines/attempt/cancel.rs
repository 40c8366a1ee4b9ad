//! Has an engine give a dispatch up, until it is proved that it does not run any more.

use super::EngineAttempt;
use crate::engines::call::Call;
use crate::engines::request::{path, request};
use crate::engines::response::{news, Fault, News};
use garnetwall_ledger as ledger;
use garnetwall_ledger::{CancelStep, Evidence};
use http::{Method, StatusCode};
use tokio::time::sleep;

impl EngineAttempt<'_> {
    /// Has the engine give the dispatch up, on the connection that it was asked on as long as that is of use;
    /// until it is proved that it does not run any more.
    pub(super) async fn cancel(&mut self, call: &Call) -> ledger::Proof {
        let Some(id) = self.dispatch else {
            return ledger::Proof::NeverReached;
        };
        let engine = self.target.engine;
        loop {
            let next = self
                .engines
                .ledger()
                .next_cancel_step(self.engines.now(), id);
            match next {
                CancelStep::Finished(proof) => {
                    tracing::debug!(engine, id = path(call, None), ?proof, "given up");
                    return proof;
                }
                CancelStep::Wait(span) => sleep(span).await,
                CancelStep::IdentifyProcess => {
                    if self
                        .look_up(call)
                        .await
                        .is_err_and(|fault| fault != Fault::Refused)
                    {
                        self.tell(Evidence::CancelFailed);
                    }
                }
                CancelStep::Cancel(left) => {
                    let delete = request(Method::DELETE, self.target.address, &path(call, None));
                    let within = left.min(self.engines.dial * 2);
                    match self.call(delete, None, within, false).await {
                        // An engine that does not know it says so by the second.
                        Ok(r)
                            if [StatusCode::NO_CONTENT, StatusCode::INTERNAL_SERVER_ERROR]
                                .contains(&r.status) =>
                        {
                            self.tell(Evidence::Cancelled(self.connection));
                        }
                        Ok(_) => {
                            self.drop_if_garbled(Err(Fault::Garbled));
                            self.tell(Evidence::CancelFailed);
                        }
                        Err(fault) => {
                            tracing::debug!(
                                engine,
                                id = path(call, None),
                                ?fault,
                                "not given up yet"
                            );
                            if fault != Fault::Refused {
                                self.tell(Evidence::CancelFailed);
                            }
                        }
                    }
                }
            }
        }
    }

    /// Asks who listens there now whether it has the dispatch.
    async fn look_up(&mut self, call: &Call) -> Result<(), Fault> {
        let reply = self
            .call(self.poll_request(call, 0), None, self.poll_timeout(), true)
            .await?;
        match news(&reply) {
            News::NotYet(_) => self.tell(Evidence::Running(self.connection)),
            News::Good(_) => self.tell(Evidence::Ended),
            News::Over(_) => self.tell(Evidence::ReportedFailed(self.connection)),
            News::Garbled => {
                self.drop_if_garbled(Err(Fault::Garbled));
                return Err(Fault::Garbled);
            }
        }
        Ok(())
    }
}
