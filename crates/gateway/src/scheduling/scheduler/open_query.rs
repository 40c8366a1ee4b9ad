//! An open query, as the scheduler keeps it.

use super::answer_cache::Fingerprint;
use super::{Command, QueryAnswer};
use crate::engines::{ClientPresence, ForwardedQuery};
use crate::scheduling::plan_routing::PlanAdmission;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Counts the clients that have joined a query: equal generations mean that nobody has joined in between.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct WaiterGeneration(u64);

impl WaiterGeneration {
    fn advance(&mut self) {
        self.0 += 1;
    }
}

/// A query from its admission until it is finished and every attempt has ended.
pub(super) struct OpenQuery {
    pub(super) query_key: u64,
    pub(super) tenant: usize,
    pub(super) ordering_key: Option<u64>,
    pub(super) forwarded_query: Arc<ForwardedQuery>,
    /// `None` where its request can't be compared with another.
    pub(super) fingerprint: Option<Fingerprint>,
    /// The commands to its task.
    pub(super) commands: UnboundedSender<Command>,
    /// Its final answer, once it is finished.
    pub(super) answer: watch::Sender<Option<QueryAnswer>>,
    /// Clients that wait for it now.
    pub(super) waiters: usize,
    /// Moves on with each client that joins.
    pub(super) waiter_generation: WaiterGeneration,
    pub(super) client_presence: ClientPresence,
    /// When its client gives up, in seconds on the gateway's clock.
    pub(super) deadline: f64,
    /// What the plan admitted it with.
    pub(super) plan_admission: Option<PlanAdmission>,
}

impl OpenQuery {
    /// Sends a command to its task.
    pub(super) fn send_command(&self, command: Command) {
        // It fails only where the task has ended: after the answer and the last attempt, or by a panic, which leaves its query
        // open and without an answer until its client disconnects.
        let _ = self.commands.send(command);
    }

    /// Whether it has its final answer.
    pub(super) fn is_finished(&self) -> bool {
        self.answer.borrow().is_some()
    }

    /// Adds a client that waits for it.
    pub(super) fn add_waiter(&mut self) {
        self.waiters += 1;
        self.waiter_generation.advance();
        self.client_presence.client_joined();
    }
}
