//! Cancels an attempt at its engine and waits for a proof that it does not run any more.

use super::engine_call::EngineCall;
use super::EngineSession;
use crate::engines::messages::ForwardedQuery;
use crate::engines::request::{attempt_path, request};
use crate::engines::response::{attempt_status, AttemptStatus, CallError};
use garnetwall_ledger::{CancelStep, Evidence, Proof};
use http::{Method, StatusCode};
use std::time::Duration;
use tokio::time::sleep;

impl EngineSession<'_> {
    /// Carries out the ledger's cancellation steps until the ledger has a proof that the attempt does not run.
    pub(super) async fn cancel(&mut self, query: &ForwardedQuery) -> Proof {
        let Some(id) = self.ledger_id else {
            return Proof::NeverReached;
        };
        loop {
            let now = self.engines.now();
            let step = self.engines.ledger().next_cancel_step(now, id);
            match step {
                CancelStep::Finished(proof) => {
                    let engine = self.target.engine;
                    tracing::debug!(
                        engine,
                        path = attempt_path(query),
                        ?proof,
                        "attempt proved not to run; no further cancellation is sent"
                    );
                    return proof;
                }
                CancelStep::Wait(pause) => sleep(pause).await,
                CancelStep::IdentifyProcess => self.identify_process(query).await,
                CancelStep::Cancel(remaining) => self.send_cancel(query, remaining).await,
            }
        }
    }

    /// Sends a cancellation, on the connection that polled the attempt if it is still open. The attempt expires by
    /// itself after `remaining`.
    async fn send_cancel(&mut self, query: &ForwardedQuery, remaining: Duration) {
        let delete = request(Method::DELETE, self.target.address, &attempt_path(query));
        let time_limit = remaining.min(self.engines.connect_timeout * 2);
        match self.call(EngineCall::other(delete), time_limit).await {
            Ok(reply) if confirms_cancel(reply.status) => {
                self.record(Evidence::Cancelled(self.connection_id));
            }
            Ok(_) => {
                self.drop_connection_if_invalid(Err(CallError::InvalidResponse));
                self.record(Evidence::CancelFailed);
            }
            Err(error) => {
                let engine = self.target.engine;
                tracing::debug!(
                    engine,
                    path = attempt_path(query),
                    ?error,
                    "request to cancel the attempt failed"
                );
                self.record_cancel_failed(error);
            }
        }
    }

    /// Polls the attempt to find out whether the process that listens at the engine's address knows it.
    async fn identify_process(&mut self, query: &ForwardedQuery) {
        if let Err(error) = self.poll_for_evidence(query).await {
            self.record_cancel_failed(error);
        }
    }

    async fn poll_for_evidence(&mut self, query: &ForwardedQuery) -> Result<(), CallError> {
        let poll = self.poll_call(query, 0);
        let time_limit = self.poll_timeout();
        let reply = self.call(poll, time_limit).await?;
        let evidence = match attempt_status(&reply) {
            AttemptStatus::Running(_) => Evidence::Running(self.connection_id),
            AttemptStatus::Succeeded { .. } => Evidence::Ended,
            AttemptStatus::Ended(_) => Evidence::ReportedFailed(self.connection_id),
            AttemptStatus::Invalid => {
                self.drop_connection_if_invalid(Err(CallError::InvalidResponse));
                return Err(CallError::InvalidResponse);
            }
        };
        self.record(evidence);
        Ok(())
    }

    /// Records that a cancellation failed. A refused connection is separate evidence, which `call` has already
    /// recorded.
    fn record_cancel_failed(&self, error: CallError) {
        if error != CallError::ConnectionRefused {
            self.record(Evidence::CancelFailed);
        }
    }
}

/// Whether the engine's response says that it has cancelled the attempt, or that it does not know the attempt.
fn confirms_cancel(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::NO_CONTENT | StatusCode::INTERNAL_SERVER_ERROR
    )
}
