//! Health checks of engines, warming up of new ones, and the log of engines that become unreachable.

use super::attempt::EngineSession;
use super::request::request;
use super::response::{CallError, Reply};
use super::Engines;
use crate::discovery::{Target, Warmed};
use garnetwall::api::{AttemptEnd, EngineId, LoadReport};
use http::{Method, StatusCode};
use std::net::SocketAddr;

/// Stands for an engine that the decision module has no index for yet.
const UNLISTED_ENGINE: EngineId = EngineId::MAX;

const HEALTH_CHECK_PATH: &str = "/stats";

impl Engines {
    /// Checks an engine's health; how the check ended, and the load report that came with it.
    pub async fn health_check(&self, engine: EngineId) -> (AttemptEnd, Option<LoadReport>) {
        match self.target(engine) {
            Some(target) => self.check_target(target).await,
            None => (AttemptEnd::ConnectFailed, None),
        }
    }

    /// Connects to an engine that the decision module does not know yet, with a health check where engines may be checked.
    pub async fn warm(&self, address: SocketAddr, may_health_check: bool) -> Warmed {
        let target = Target {
            engine: UNLISTED_ENGINE,
            address,
        };
        if may_health_check {
            let (end, report) = self.check_target(target).await;
            return Warmed { end, report };
        }
        let end = match self.connect(address, None).await {
            Ok(_) => AttemptEnd::Succeeded,
            Err(CallError::LocalResources) => AttemptEnd::NotSent,
            Err(_) => AttemptEnd::ConnectFailed,
        };
        Warmed { end, report: None }
    }

    async fn check_target(&self, target: Target) -> (AttemptEnd, Option<LoadReport>) {
        let stats = request(Method::GET, target.address, HEALTH_CHECK_PATH);
        let time_limit = self.connect_timeout * 2;
        let response = EngineSession::for_health_check(self, target)
            .check_health(stats, time_limit)
            .await;
        let report = response.as_ref().ok().and_then(Reply::load_report);
        (health_check_end(response), report)
    }

    /// Logs an engine that becomes unreachable or reachable again, once each.
    pub(super) fn log_reachability(&self, target: Target, error: Option<&CallError>) {
        let Target { engine, address } = target;
        let is_reachable = match error {
            None => true,
            Some(CallError::ConnectionRefused | CallError::ConnectFailed) => false,
            // The engine accepted the connection, or none was tried; an engine that is cut off shows at the next connect.
            Some(
                CallError::LocalResources
                | CallError::TimedOut
                | CallError::ConnectionLost
                | CallError::InvalidResponse,
            ) => return,
        };
        if !self.list.record_reachability(target, is_reachable) {
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
