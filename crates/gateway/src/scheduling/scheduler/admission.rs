//! A query comes in: it is new, joins the one of its id that is in hand, or is refused.

use super::answer_cache::{Fingerprint, Kept};
use super::state::{Job, OpenQuery, SchedulerState};
use super::{Admission, ArrivingQuery, Scheduler, Waiter};
use crate::engines::{Call, Statement};
use crate::scheduling::client_presence::ClientPresence;
use crate::storage::query_journal::millis;
use crate::system::clock::minute_of_day;
use garnetwall::api::{Query, QueryId};
use garnetwall_ledger::records::{SentQuery, RUN_MARGIN};
use std::hash::BuildHasher;
use std::sync::Arc;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;

/// An id or a key as clients write it, for the log.
struct Hex(u64);

impl std::fmt::Debug for Hex {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Scheduler {
    /// Takes a batch, or finds the one that has its id.
    pub fn admit(self: &Arc<Self>, a: ArrivingQuery, call: Arc<Call>) -> Admission {
        let fingerprint = self.fingerprint(&a, &call);
        self.handle_event(|seats, now| {
            seats.forget_over(now);
            match seats.jobs.get(&a.query_key) {
                Some(Job::Over) => return seats.over(now, a.query_key, fingerprint),
                Some(&Job::OpenQuery(id)) => return self.join(seats, now, id, &a, &call),
                None => {}
            }
            if seats.recovered.contains_key(&a.query_key) {
                return Admission::MayHaveRun;
            }
            let passage = match seats
                .planner
                .as_mut()
                .map(|planner| planner.admit(now, &routed(now, &a)))
            {
                Some(Err(turned)) => return Admission::RejectedByPlan(turned),
                Some(Ok(passage)) => Some(passage),
                None => None,
            };
            let ArrivingQuery {
                class: group,
                tenant,
                ordering_key: key,
                estimated_work: cost,
                estimated_memory: memory,
                data_set,
                ..
            } = a;
            let group = passage.as_ref().map_or(group, |p| p.class);
            let is_once_only = seats.once_only.get(group).copied().unwrap_or_default();
            if is_once_only && seats.awaits_recovery {
                seats.leaves(now, passage);
                return Admission::MayHaveRun;
            }
            let lane = passage.as_ref().and_then(|p| p.endpoint_subset);
            let shorter = passage
                .as_ref()
                .and_then(|p| p.deadline)
                .map(|limit| now + limit.as_secs_f64());
            let limit = shorter.map_or(a.deadline, |at| a.deadline.min(at));
            let id = seats.next;
            seats.next = id.wrapping_add(1);
            let (sender, orders) = unbounded_channel();
            let (answer, receiver) = watch::channel(None);
            seats.jobs.insert(a.query_key, Job::OpenQuery(id));
            let attended = ClientPresence::default();
            let new = OpenQuery {
                job: a.query_key,
                tenant,
                key,
                call,
                fingerprint,
                orders: sender,
                answer,
                waiters: 1,
                waited: 1,
                attended: attended.clone(),
                limit,
                passage,
            };
            seats.in_hand.insert(id, new);
            self.in_hand.send_replace(seats.in_hand.len());
            let left = self.ends.borrow().map_or(limit, |at| limit.min(at)) - now;
            let b = Query {
                id,
                class: group,
                tenant,
                ordering_key: key,
                remaining_time: left,
                estimated_work: cost,
                estimated_memory: memory,
                data_set,
                endpoint_subset: lane,
            };
            let (job, line) = (Hex(a.query_key), key.map(Hex));
            tracing::debug!(batch = id, ?job, group, key = ?line, left, "taken");
            seats.control.admit(now, b);
            let until = millis(limit + RUN_MARGIN.as_secs_f64());
            let once_only = is_once_only.then_some(SentQuery {
                id: a.query_key,
                key,
                until,
            });
            let waiter = Waiter {
                desk: self.clone(),
                id,
                answer: receiver,
            };
            Admission::New {
                id,
                commands: orders,
                waiter,
                journal_entry: once_only,
                client_presence: attended,
            }
        })
    }

    /// What makes this call the same as another; none where its statement is not kept.
    fn fingerprint(&self, a: &ArrivingQuery, call: &Call) -> Option<Fingerprint> {
        let Statement::Whole(statement) = &call.statement else {
            return None;
        };
        let Call {
            id,
            class: group,
            idempotency_key: mark,
            ..
        } = call;
        Some(Fingerprint(self.hashing.hash_one((
            a.tenant,
            a.ordering_key,
            id,
            group,
            mark,
            statement,
        ))))
    }

    fn join(
        self: &Arc<Self>,
        seats: &mut SchedulerState,
        now: f64,
        id: QueryId,
        a: &ArrivingQuery,
        call: &Call,
    ) -> Admission {
        let Some(b) = seats.in_hand.get_mut(&id) else {
            return Admission::AnswerNotCached;
        };
        if (b.tenant, b.key) != (a.tenant, a.ordering_key) || *b.call != *call {
            return Admission::Conflict;
        }
        (b.waiters, b.waited) = (b.waiters + 1, b.waited + 1);
        b.attended.set_waiting(true);
        let waiter = Waiter {
            desk: self.clone(),
            id,
            answer: b.answer.subscribe(),
        };
        seats.control.set_client_waiting(now, id, true);
        Admission::Joined(waiter)
    }
}

impl SchedulerState {
    /// What becomes of a call whose query is over: it runs no second time.
    fn over(&self, now: f64, job: u64, fingerprint: Option<Fingerprint>) -> Admission {
        let kept = fingerprint.map_or(Kept::Nothing, |of| self.kept_answers.get(now, job, of));
        match kept {
            Kept::Answer(last) => Admission::Answered(last),
            Kept::Other => Admission::Conflict,
            Kept::Nothing => Admission::AnswerNotCached,
        }
    }
}

/// A batch as routing sees it.
fn routed(now: f64, a: &ArrivingQuery) -> garnetwall_routing::Batch {
    garnetwall_routing::Batch {
        group: a.class,
        tenant: a.tenant,
        client: a.client,
        key: a.ordering_key.is_some(),
        data_set: a.data_set,
        minute: minute_of_day(now),
        bytes: a.bytes,
    }
}
