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
    pub(super) control: AdmissionController,
    pub(super) planner: Option<PlanRouter>,
    pub(super) next: QueryId,
    pub(super) jobs: HashMap<u64, Job>,
    pub(super) in_hand: HashMap<QueryId, OpenQuery>,
    pub(super) over: VecDeque<(f64, u64)>,
    pub(super) kept_answers: AnswerCache,
    /// Once-only batches that an earlier process sent, and until when their ids count.
    pub(super) recovered: HashMap<u64, f64>,
    /// They are not known yet.
    pub(super) awaits_recovery: bool,
    /// By service group.
    pub(super) once_only: Vec<bool>,
    pub(super) wake: f64,
    pub(super) pulse: StallDetector,
}

pub(super) enum Job {
    OpenQuery(QueryId),
    Over,
}

/// A batch in hand, until it is over and every dispatch has its outcome.
pub(super) struct OpenQuery {
    pub(super) job: u64,
    pub(super) tenant: usize,
    pub(super) key: Option<u64>,
    pub(super) call: Arc<Call>,
    /// None where the call can't be compared with another.
    pub(super) fingerprint: Option<Fingerprint>,
    pub(super) orders: UnboundedSender<Command>,
    pub(super) answer: watch::Sender<Option<QueryAnswer>>,
    pub(super) waiters: usize,
    /// How many waiters it has had, so that one who has left is told from one who came after.
    pub(super) waited: u64,
    pub(super) attended: ClientPresence,
    pub(super) limit: f64,
    /// What the plan let it in with.
    pub(super) passage: Option<PlanAdmission>,
}

impl OpenQuery {
    pub(super) fn order(&self, order: Command) {
        // A task that no longer listens has nothing out and owes nothing.
        let _ = self.orders.send(order);
    }

    pub(super) fn is_over(&self) -> bool {
        self.answer.borrow().is_some()
    }
}

impl SchedulerState {
    /// Tells the module of ways that batches may go.
    pub(super) fn tell(&mut self, lanes: Vec<SubsetUpdate>) {
        for (lane, tiers) in lanes {
            self.control.update_endpoint_subset(lane, tiers);
        }
    }

    /// The plan's limits are free again of one that it let in.
    pub(super) fn leaves(&mut self, now: f64, passage: Option<PlanAdmission>) {
        if let Some((planner, passage)) = self.planner.as_mut().zip(passage) {
            planner.release(now, passage);
        }
    }

    pub(super) fn order(&self, id: QueryId, order: Command) {
        if let Some(b) = self.in_hand.get(&id) {
            b.order(order);
        }
    }

    pub(super) fn ask(&mut self, clock: &Clock, now: f64, id: QueryId) {
        match self.control.place(now, id) {
            Placement::Wait => {}
            Placement::Answer(answer) => self.order(id, Command::Answer(answer)),
            Placement::Attempt {
                engine,
                response_timeout: time_out,
                send_timeout: within,
                ..
            } => {
                let (until, comes_by) =
                    (clock.instant(now + time_out), clock.instant(now + within));
                self.order(
                    id,
                    Command::BeginAttempt {
                        engine,
                        response_deadline: until,
                        send_deadline: comes_by,
                    },
                );
            }
        }
    }

    /// Nobody waits for this batch any more; whoever still asks for it finds it errored.
    pub(super) fn gone(&mut self, now: f64, id: QueryId) {
        let Some(b) = self.in_hand.get(&id).filter(|b| !b.is_over()) else {
            return;
        };
        tracing::debug!(batch = id, left = b.limit - now, "client gone");
        b.answer.send_replace(Some(QueryAnswer::Failed));
        b.order(Command::ClientLeft);
        self.control.client_left(now, id);
    }

    pub(super) fn forget_over(&mut self, now: f64) {
        while let Some((_, job)) = self.over.front().copied().filter(|(until, _)| *until < now) {
            self.over.pop_front();
            self.jobs.remove(&job);
        }
        self.kept_answers.make_room(now);
        if !self.recovered.is_empty() {
            self.recovered.retain(|_, until| *until > now);
        }
    }
}
