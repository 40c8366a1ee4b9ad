//! A query comes in: it is new, joins the one of its id that is in hand, or is refused.

use super::answer_cache::{CachedAnswer, Fingerprint};
use super::state::{OpenQuery, QueryState, SchedulerState};
use super::{Admission, ArrivingQuery, Scheduler, Waiter};
use crate::engines::{Call, Statement};
use crate::scheduling::client_presence::ClientPresence;
use crate::storage::query_journal::millis;
use crate::system::clock::minute_of_day;
use garnetwall::api::{Query, QueryId};
use garnetwall_ledger::records::{StartedQuery, RUN_MARGIN};
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
        self.handle_event(|state, now| {
            state.discard_expired(now);
            match state.states_by_key.get(&a.query_key) {
                Some(QueryState::Finished) => {
                    return state.repeat_of_finished(now, a.query_key, fingerprint)
                }
                Some(&QueryState::Open(id)) => return self.join(state, now, id, &a, &call),
                None => {}
            }
            if state.recovered.contains_key(&a.query_key) {
                return Admission::MayHaveRun;
            }
            let plan_admission = match state
                .plan_router
                .as_mut()
                .map(|plan_router| plan_router.admit(now, &routed(now, &a)))
            {
                Some(Err(rejection)) => return Admission::RejectedByPlan(rejection),
                Some(Ok(plan_admission)) => Some(plan_admission),
                None => None,
            };
            let ArrivingQuery {
                class,
                tenant,
                ordering_key: key,
                estimated_work,
                estimated_memory,
                data_set,
                ..
            } = a;
            let class = plan_admission.as_ref().map_or(class, |p| p.class);
            let is_non_idempotent = state
                .non_idempotent_classes
                .get(class)
                .copied()
                .unwrap_or_default();
            if is_non_idempotent && state.recovery_pending {
                state.release_plan_admission(now, plan_admission);
                return Admission::MayHaveRun;
            }
            let endpoint_subset = plan_admission.as_ref().and_then(|p| p.endpoint_subset);
            let shorter = plan_admission
                .as_ref()
                .and_then(|p| p.deadline)
                .map(|deadline| now + deadline.as_secs_f64());
            let deadline = shorter.map_or(a.deadline, |at| a.deadline.min(at));
            let id = state.next_query_id;
            state.next_query_id = id.wrapping_add(1);
            let (sender, commands) = unbounded_channel();
            let (answer, receiver) = watch::channel(None);
            state
                .states_by_key
                .insert(a.query_key, QueryState::Open(id));
            let client_presence = ClientPresence::default();
            let new = OpenQuery {
                query_key: a.query_key,
                tenant,
                key,
                call,
                fingerprint,
                commands: sender,
                answer,
                waiters: 1,
                waiters_ever: 1,
                client_presence: client_presence.clone(),
                deadline,
                plan_admission,
            };
            state.open_queries.insert(id, new);
            self.open_count.send_replace(state.open_queries.len());
            let left = self
                .shutdown_at
                .borrow()
                .map_or(deadline, |at| deadline.min(at))
                - now;
            let b = Query {
                id,
                class,
                tenant,
                ordering_key: key,
                remaining_time: left,
                estimated_work,
                estimated_memory,
                data_set,
                endpoint_subset,
            };
            let (query_key, line) = (Hex(a.query_key), key.map(Hex));
            tracing::debug!(batch = id, ?query_key, class, key = ?line, left, "taken");
            state.controller.admit(now, b);
            let may_run_until_ms = millis(deadline + RUN_MARGIN.as_secs_f64());
            let once_only = is_non_idempotent.then_some(StartedQuery {
                id: a.query_key,
                ordering_key: key,
                may_run_until_ms,
            });
            let waiter = Waiter {
                scheduler: self.clone(),
                id,
                answer: receiver,
            };
            Admission::New {
                id,
                commands,
                waiter,
                journal_entry: once_only,
                client_presence,
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
            class,
            idempotency_key,
            ..
        } = call;
        Some(Fingerprint(self.fingerprint_hasher.hash_one((
            a.tenant,
            a.ordering_key,
            id,
            class,
            idempotency_key,
            statement,
        ))))
    }

    fn join(
        self: &Arc<Self>,
        state: &mut SchedulerState,
        now: f64,
        id: QueryId,
        a: &ArrivingQuery,
        call: &Call,
    ) -> Admission {
        let Some(b) = state.open_queries.get_mut(&id) else {
            return Admission::AnswerNotCached;
        };
        if (b.tenant, b.key) != (a.tenant, a.ordering_key) || *b.call != *call {
            return Admission::Conflict;
        }
        (b.waiters, b.waiters_ever) = (b.waiters + 1, b.waiters_ever + 1);
        b.client_presence.set_waiting(true);
        let waiter = Waiter {
            scheduler: self.clone(),
            id,
            answer: b.answer.subscribe(),
        };
        state.controller.set_client_waiting(now, id, true);
        Admission::Joined(waiter)
    }
}

impl SchedulerState {
    /// What becomes of a call whose query is over: it runs no second time.
    fn repeat_of_finished(
        &self,
        now: f64,
        query_key: u64,
        fingerprint: Option<Fingerprint>,
    ) -> Admission {
        let kept = fingerprint.map_or(CachedAnswer::Missing, |of| {
            self.answer_cache.get(now, query_key, of)
        });
        match kept {
            CachedAnswer::Answer(last) => Admission::Answered(last),
            CachedAnswer::OtherCall => Admission::Conflict,
            CachedAnswer::Missing => Admission::AnswerNotCached,
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
