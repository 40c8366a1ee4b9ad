//! The scheduler's record of an open query.

use super::answer_cache::Fingerprint;
use super::{Command, QueryAnswer};
use crate::engines::{ClientPresence, ForwardedQuery, WaitingClient};
use crate::scheduling::plan_routing::PlanAdmission;
use garnetwall::attempt_guard::KeyPlace;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Number of clients that have joined a query after its first client. Equal generations mean that no client has joined
/// in between.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct WaiterGeneration(u64);

impl WaiterGeneration {
    fn advance(&mut self) {
        self.0 += 1;
    }
}

/// A query from its admission until it is finished and each of its attempts has ended.
pub(super) struct OpenQuery {
    pub(super) query_key: u64,
    pub(super) tenant: usize,
    pub(super) ordering_key: Option<u64>,
    pub(super) forwarded_query: Arc<ForwardedQuery>,
    /// Hash of the request; `None` if the statement is streamed, so that the request can't be compared with a later
    /// one.
    pub(super) fingerprint: Option<Fingerprint>,
    /// Sends commands to the query's task.
    pub(super) commands: UnboundedSender<Command>,
    /// The final answer; `None` until the query is finished.
    pub(super) answer: watch::Sender<Option<QueryAnswer>>,
    /// Number of clients that currently wait for the answer.
    pub(super) waiters: usize,
    /// Advances with each client that joins.
    pub(super) waiter_generation: WaiterGeneration,
    pub(super) client_presence: ClientPresence,
    /// The query's deadline, in seconds on the gateway's clock.
    pub(super) deadline: f64,
    /// Whether the query has no further effect if it runs again.
    pub(super) is_idempotent: bool,
    /// Whether the query must not run twice.
    pub(super) is_non_idempotent: bool,
    /// Place among the queries of the ordering key; `None` if the class is not ordered.
    pub(super) key_place: Option<KeyPlace>,
    /// Number of attempts that have begun.
    pub(super) attempts: u32,
    /// Whether an attempt has ended without proof that it never ran.
    pub(super) may_have_run: bool,
    /// The plan's terms and the limits that the query holds; `None` if the gateway has no plan.
    pub(super) plan_admission: Option<PlanAdmission>,
}

impl OpenQuery {
    /// Sends a command to the query's task.
    pub(super) fn send_command(&self, command: Command) {
        // Sending fails only if the task has ended: after the answer and the last attempt.
        let _ = self.commands.send(command);
    }

    /// Whether the query has its final answer.
    pub(super) fn is_finished(&self) -> bool {
        self.answer.borrow().is_some()
    }

    /// Adds a client that waits for the answer.
    pub(super) fn add_waiter(&mut self, client: Arc<dyn WaitingClient>) {
        self.waiters += 1;
        self.waiter_generation.advance();
        self.client_presence.client_joined(client);
    }
}
