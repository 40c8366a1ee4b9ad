//! Health checks of engines, connections to engines that are not in the list yet, and the log of changes in
//! reachability.

use super::attempt::EngineSession;
use super::request::request;
use super::response::{CallError, Reply};
use super::Engines;
use crate::discovery::{EngineTarget, HealthCheckOutcome, Reachability, ReachabilityChange};
use garnetwall::api::{AttemptEnd, EngineId};
use http::{Method, StatusCode};
use std::net::SocketAddr;

/// Placeholder for an engine that has no index in the admission controller yet.
const UNLISTED_ENGINE: EngineId = EngineId::MAX;

const HEALTH_CHECK_PATH: &str = "/stats";

impl Engines {
    /// Checks the health of an engine. An engine that is not in the endpoint list counts as a failed connection.
    pub async fn health_check(&self, engine: EngineId) -> HealthCheckOutcome {
        match self.target(engine) {
            Some(target) => self.check_target(target).await,
            None => HealthCheckOutcome {
                end: AttemptEnd::ConnectFailed,
                report: None,
            },
        }
    }

    /// Checks the health of an engine that the admission controller does not know yet.
    pub async fn connect_by_health_check(&self, address: SocketAddr) -> HealthCheckOutcome {
        let target = EngineTarget {
            engine: UNLISTED_ENGINE,
            address,
        };
        self.check_target(target).await
    }

    /// Connects to an engine that the admission controller does not know yet, without sending a request.
    pub async fn connect_without_request(&self, address: SocketAddr) -> HealthCheckOutcome {
        let end = match self.connect(address, None).await {
            Ok(_) => AttemptEnd::Succeeded,
            Err(CallError::LocalResources) => AttemptEnd::NotSent,
            Err(_) => AttemptEnd::ConnectFailed,
        };
        HealthCheckOutcome { end, report: None }
    }

    async fn check_target(&self, target: EngineTarget) -> HealthCheckOutcome {
        let stats = request(Method::GET, target.address, HEALTH_CHECK_PATH);
        let time_limit = self.connect_timeout * 2;
        let response = EngineSession::for_health_check(self, target)
            .check_health(stats, time_limit)
            .await;
        let report = response.as_ref().ok().and_then(Reply::load_report);
        HealthCheckOutcome {
            end: health_check_end(response),
            report,
        }
    }

    /// Logs when an engine becomes unreachable and when it becomes reachable again, once for each change.
    pub(super) fn log_reachability(&self, target: EngineTarget, error: Option<&CallError>) {
        let EngineTarget { engine, address } = target;
        let reachability = match error {
            None => Reachability::Reachable,
            Some(CallError::ConnectionRefused | CallError::ConnectFailed) => {
                Reachability::Unreachable
            }
            // Either the engine accepted the connection or no connection was tried. If the engine was cut off in the
            // meantime, the next connection attempt shows it.
            Some(
                CallError::LocalResources
                | CallError::TimedOut
                | CallError::ConnectionLost
                | CallError::InvalidResponse,
            ) => return,
        };
        let change = self.list.record_reachability(target, reachability);
        if change == ReachabilityChange::Unchanged {
            return;
        }
        match error {
            None => tracing::info!(engine, %address, "engine reachable again"),
            Some(error) => tracing::warn!(engine, %address, ?error, "engine unreachable"),
        }
    }
}

fn health_check_end(response: Result<Reply, CallError>) -> AttemptEnd {
    match response {
        Ok(reply) if reply.status == StatusCode::OK => AttemptEnd::Succeeded,
        Ok(_) => AttemptEnd::Failed,
        Err(CallError::ConnectionRefused | CallError::ConnectFailed) => AttemptEnd::ConnectFailed,
        Err(CallError::LocalResources) => AttemptEnd::NotSent,
        Err(CallError::TimedOut) => AttemptEnd::TimedOut,
        Err(CallError::ConnectionLost | CallError::InvalidResponse) => AttemptEnd::ConnectionLost,
    }
}
