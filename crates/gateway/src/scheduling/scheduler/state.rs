//! What the desk's lock guards: the module, and the queries in hand.

use super::answer_cache::{AnswerCache, Fingerprint};
use super::{Command, QueryAnswer};
use crate::engines::Call;
use crate::scheduling::client_presence::ClientPresence;
use crate::scheduling::plan_routing::{PlanAdmission, PlanRouter, SubsetUpdate};
use crate::system::clock::Clock;
use crate::system::stall_detector::StallDetector;
use garnetwall::api::{Placement, QueryId};
use garnetwall::controller::AdmissionController;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

pub(super) struct SchedulerState {
    pub(super) controller: AdmissionController,
    pub(super) plan_router: Option<PlanRouter>,
    pub(super) next_query_id: QueryId,
    pub(super) states_by_key: HashMap<u64, QueryState>,
    pub(super) open_queries: HashMap<QueryId, OpenQuery>,
    pub(super) finished_queries: VecDeque<(f64, u64)>,
    pub(super) answer_cache: AnswerCache,
    /// Once-only batches that an earlier process sent, and until when their ids count.
    pub(super) recovered: HashMap<u64, f64>,
    /// They are not known yet.
    pub(super) recovery_pending: bool,
    /// By service group.
    pub(super) non_idempotent_classes: Vec<bool>,
    pub(super) wakes_at: f64,
    pub(super) stall_detector: StallDetector,
}

pub(super) enum QueryState {
    Open(QueryId),
    Finished,
}

/// A batch in hand, until it is over and every dispatch has its outcome.
pub(super) struct OpenQuery {
    pub(super) query_key: u64,
    pub(super) tenant: usize,
    pub(super) key: Option<u64>,
    pub(super) call: Arc<Call>,
    /// None where the call can't be compared with another.
    pub(super) fingerprint: Option<Fingerprint>,
    pub(super) commands: UnboundedSender<Command>,
    pub(super) answer: watch::Sender<Option<QueryAnswer>>,
    pub(super) waiters: usize,
    /// How many waiters it has had, so that one who has left is told from one who came after.
    pub(super) waiters_ever: u64,
    pub(super) client_presence: ClientPresence,
    pub(super) deadline: f64,
    /// What the plan let it in with.
    pub(super) plan_admission: Option<PlanAdmission>,
}

impl OpenQuery {
    pub(super) fn send_command(&self, command: Command) {
        // A task that no longer listens has nothing out and owes nothing.
        let _ = self.commands.send(command);
    }

    pub(super) fn is_over(&self) -> bool {
        self.answer.borrow().is_some()
    }
}

impl SchedulerState {
    /// Tells the module of ways that batches may go.
    pub(super) fn update_endpoint_subsets(&mut self, updates: Vec<SubsetUpdate>) {
        for update in updates {
            self.controller
                .update_endpoint_subset(update.endpoint_subset, update.priority_levels);
        }
    }

    /// The plan's limits are free again of one that it let in.
    pub(super) fn release_plan_admission(
        &mut self,
        now: f64,
        plan_admission: Option<PlanAdmission>,
    ) {
        if let Some((plan_router, plan_admission)) = self.plan_router.as_mut().zip(plan_admission) {
            plan_router.release(now, plan_admission);
        }
    }

    pub(super) fn send_command(&self, id: QueryId, command: Command) {
        if let Some(b) = self.open_queries.get(&id) {
            b.send_command(command);
        }
    }

    pub(super) fn place(&mut self, clock: &Clock, now: f64, id: QueryId) {
        match self.controller.place(now, id) {
            Placement::Wait => {}
            Placement::Answer(answer) => self.send_command(id, Command::Answer(answer)),
            Placement::Attempt {
                engine,
                response_timeout,
                send_timeout,
                ..
            } => {
                let (until, send_deadline) = (
                    clock.instant(now + response_timeout),
                    clock.instant(now + send_timeout),
                );
                self.send_command(
                    id,
                    Command::BeginAttempt {
                        engine,
                        response_deadline: until,
                        send_deadline,
                    },
                );
            }
        }
    }

    /// Nobody waits for this batch any more; whoever still asks for it finds it errored.
    pub(super) fn client_left(&mut self, now: f64, id: QueryId) {
        let Some(b) = self.open_queries.get(&id).filter(|b| !b.is_over()) else {
            return;
        };
        tracing::debug!(batch = id, left = b.deadline - now, "client gone");
        b.answer.send_replace(Some(QueryAnswer::Failed));
        b.send_command(Command::ClientLeft);
        self.controller.client_left(now, id);
    }

    pub(super) fn discard_expired(&mut self, now: f64) {
        while let Some((_, query_key)) = self
            .finished_queries
            .front()
            .copied()
            .filter(|(until, _)| *until < now)
        {
            self.finished_queries.pop_front();
            self.states_by_key.remove(&query_key);
        }
        self.answer_cache.evict(now);
        if !self.recovered.is_empty() {
            self.recovered.retain(|_, until| *until > now);
        }
    }
}
