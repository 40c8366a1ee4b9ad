//! Has an engine give a dispatch up, until it is proved that it does not run any more.

use super::EngineAttempt;
use crate::engines::call::Call;
use crate::engines::request::{path, request};
use crate::engines::response::{attempt_status, AttemptStatus, CallError};
use garnetwall_ledger as ledger;
use garnetwall_ledger::{CancelStep, Evidence};
use http::{Method, StatusCode};
use tokio::time::sleep;

impl EngineAttempt<'_> {
    /// Has the engine give the dispatch up, on the connection that it was asked on as long as that is of use;
    /// until it is proved that it does not run any more.
    pub(super) async fn cancel(&mut self, call: &Call) -> ledger::Proof {
        let Some(id) = self.ledger_id else {
            return ledger::Proof::NeverReached;
        };
        let engine = self.target.engine;
        loop {
            let step = self
                .engines
                .ledger()
                .next_cancel_step(self.engines.now(), id);
            match step {
                CancelStep::Finished(proof) => {
                    tracing::debug!(engine, id = path(call, None), ?proof, "given up");
                    return proof;
                }
                CancelStep::Wait(span) => sleep(span).await,
                CancelStep::IdentifyProcess => {
                    if self
                        .identify_process(call)
                        .await
                        .is_err_and(|fault| fault != CallError::ConnectionRefused)
                    {
                        self.record(Evidence::CancelFailed);
                    }
                }
                CancelStep::Cancel(remaining) => {
                    let delete = request(Method::DELETE, self.target.address, &path(call, None));
                    let time_limit = remaining.min(self.engines.connect_timeout * 2);
                    match self.call(delete, None, time_limit, false).await {
                        // An engine that does not know it says so by the second.
                        Ok(r)
                            if [StatusCode::NO_CONTENT, StatusCode::INTERNAL_SERVER_ERROR]
                                .contains(&r.status) =>
                        {
                            self.record(Evidence::Cancelled(self.connection));
                        }
                        Ok(_) => {
                            self.drop_if_invalid(Err(CallError::InvalidResponse));
                            self.record(Evidence::CancelFailed);
                        }
                        Err(fault) => {
                            tracing::debug!(
                                engine,
                                id = path(call, None),
                                ?fault,
                                "not given up yet"
                            );
                            if fault != CallError::ConnectionRefused {
                                self.record(Evidence::CancelFailed);
                            }
                        }
                    }
                }
            }
        }
    }

    /// Asks who listens there now whether it has the dispatch.
    async fn identify_process(&mut self, call: &Call) -> Result<(), CallError> {
        let reply = self
            .call(self.poll_request(call, 0), None, self.poll_timeout(), true)
            .await?;
        match attempt_status(&reply) {
            AttemptStatus::Running(_) => self.record(Evidence::Running(self.connection)),
            AttemptStatus::Succeeded(_) => self.record(Evidence::Ended),
            AttemptStatus::Ended(_) => self.record(Evidence::ReportedFailed(self.connection)),
            AttemptStatus::Invalid => {
                self.drop_if_invalid(Err(CallError::InvalidResponse));
                return Err(CallError::InvalidResponse);
            }
        }
        Ok(())
    }
}
