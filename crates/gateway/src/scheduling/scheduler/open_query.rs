//! An open query, as the scheduler keeps it.

use super::answer_cache::Fingerprint;
use super::{Command, QueryAnswer};
use crate::engines::{ClientPresence, ForwardedQuery};
use crate::scheduling::plan_routing::PlanAdmission;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// A query from its admission until it is finished and every attempt has ended.
pub(super) struct OpenQuery {
    pub(super) query_key: u64,
    pub(super) tenant: usize,
    pub(super) ordering_key: Option<u64>,
    pub(super) forwarded_query: Arc<ForwardedQuery>,
    /// `None` where its call can't be compared with another.
    pub(super) fingerprint: Option<Fingerprint>,
    /// The commands to its task.
    pub(super) commands: UnboundedSender<Command>,
    /// Its final answer, once it is finished.
    pub(super) answer: watch::Sender<Option<QueryAnswer>>,
    /// Clients that wait for it now.
    pub(super) waiters: usize,
    /// Clients that have waited for it so far. One who returns raises it, so that who left before is known to be back.
    pub(super) waiters_ever: u64,
    pub(super) client_presence: ClientPresence,
    /// When its client gives up, in seconds on the gateway's clock.
    pub(super) deadline: f64,
    /// What the plan admitted it with.
    pub(super) plan_admission: Option<PlanAdmission>,
}

impl OpenQuery {
    /// Sends a command to its task.
    pub(super) fn send_command(&self, command: Command) {
        // It fails only where the task has ended, and then no attempt is in flight and no answer is owed.
        let _ = self.commands.send(command);
    }

    /// Whether it has its final answer.
    pub(super) fn is_finished(&self) -> bool {
        self.answer.borrow().is_some()
    }

    /// Adds a client that waits for it.
    pub(super) fn add_waiter(&mut self) {
        self.waiters += 1;
        self.waiters_ever += 1;
        self.client_presence.client_joined();
    }
}
