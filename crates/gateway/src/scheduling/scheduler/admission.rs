//! Admission of arriving queries. Each one is opened as a new query, joins the open query of the same key, or is not
//! admitted.

use super::answer_cache::{CachedAnswer, Fingerprint};
use super::open_query::{OpenQuery, WaiterGeneration};
use super::query_index::QueryKeyState;
use super::state::SchedulerState;
use super::{Admission, ArrivingQuery, Command, OpenedQuery, Scheduler, Waiter};
use crate::engines::{ClientPresence, ForwardedQuery, Statement, WaitingClient};
use crate::scheduling::log_millis;
use crate::scheduling::plan_routing::{PlanAdmission, PlanDenial};
use crate::storage::query_journal::millis;
use crate::system::clock::minute_of_day;
use garnetwall::api::{Query, QueryId};
use garnetwall::attempt_guard::KeyPlace;
use garnetwall_ledger::records::{StartedQuery, RUN_TIME_MARGIN};
use std::fmt;
use std::hash::BuildHasher;
use std::sync::Arc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::watch;

/// A query key or ordering key in the log, as 16 hexadecimal digits: the form in which clients send it.
struct HexKey(u64);

impl fmt::Debug for HexKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An arriving query whose key is unknown, so that it may be opened.
struct NewQuery {
    arriving: ArrivingQuery,
    forwarded_query: Arc<ForwardedQuery>,
    client: Arc<dyn WaitingClient>,
    fingerprint: Option<Fingerprint>,
    data_set: u32,
}

/// The terms on which a new query is admitted, set by its class and by the plan.
struct AdmissionTerms {
    /// Index of the class that the query is treated as; the plan may assign another class than the client requested.
    class: usize,
    is_non_idempotent: bool,
    is_idempotent: bool,
    /// Place among the queries of the ordering key; `None` if the class is not ordered.
    key_place: Option<KeyPlace>,
    plan_admission: Option<PlanAdmission>,
    /// The time by which the query must be answered, in seconds on the gateway's clock.
    deadline: f64,
}

impl Scheduler {
    /// Whether the key belongs to a query that is open, or that has finished and is remembered. Requests that open no
    /// query need no work on their statement.
    pub fn is_known(&self, query_key: u64) -> bool {
        self.state().query_index.state(query_key).is_some()
    }

    /// Whether a query of this key may have run: it is known, or the journal of an earlier process is still being read. Its
    /// request must not be answered as if it had not.
    pub fn may_have_run(&self, query_key: u64) -> bool {
        let state = self.state();
        let index = &state.query_index;
        index.is_recovery_pending() || index.state(query_key).is_some()
    }

    /// Opens an arriving query if its key is unknown and the plan admits it. Otherwise joins the open query of the same
    /// request, returns the cached answer, or tells why the query is not run.
    pub fn admit(
        self: &Arc<Self>,
        arriving: ArrivingQuery,
        forwarded_query: Arc<ForwardedQuery>,
        client: Arc<dyn WaitingClient>,
    ) -> Admission {
        let query_key = arriving.query_key;
        self.handle_event(|state, now| {
            state.discard_expired(now);
            match state.query_index.state(query_key) {
                Some(QueryKeyState::Open(id)) => {
                    self.join(state, now, id, &arriving, &forwarded_query, client)
                }
                Some(QueryKeyState::Finished) => {
                    let fingerprint = self.fingerprint(&arriving, &forwarded_query);
                    state.repeat_of_finished(now, query_key, fingerprint)
                }
                Some(QueryKeyState::Recovered) => Admission::MayHaveRun,
                None => {
                    let Some(data_set) = arriving.data_set else {
                        return Admission::DataSetRequired;
                    };
                    let new = NewQuery {
                        fingerprint: self.fingerprint(&arriving, &forwarded_query),
                        arriving,
                        forwarded_query,
                        client,
                        data_set,
                    };
                    self.admit_new(state, now, new)
                }
            }
        })
    }

    /// Hashes the parts of a request that a repeated request must agree in. Returns `None` for a streamed statement,
    /// which is not in memory.
    fn fingerprint(
        &self,
        arriving: &ArrivingQuery,
        forwarded_query: &ForwardedQuery,
    ) -> Option<Fingerprint> {
        let Statement::Complete(statement) = &forwarded_query.statement else {
            return None;
        };
        Some(Fingerprint(self.fingerprint_hasher.hash_one((
            arriving.tenant,
            arriving.ordering_key,
            &forwarded_query.query_key,
            &forwarded_query.class,
            &forwarded_query.idempotency_key,
            statement,
        ))))
    }

    /// Adds a waiter to the open query of the same key. A request that differs from that of the open query is a
    /// conflict.
    fn join(
        self: &Arc<Self>,
        state: &mut SchedulerState,
        now: f64,
        id: QueryId,
        arriving: &ArrivingQuery,
        forwarded_query: &ForwardedQuery,
        client: Arc<dyn WaitingClient>,
    ) -> Admission {
        let Some(query) = state.open_queries.get_mut(&id) else {
            return Admission::AnswerNotCached;
        };
        let is_same_request = query.tenant == arriving.tenant
            && query.ordering_key == arriving.ordering_key
            && *query.forwarded_query == *forwarded_query;
        if !is_same_request {
            return Admission::Conflict;
        }
        query.add_waiter(client);
        let waiter = Waiter {
            scheduler: self.clone(),
            query_id: id,
            answer: query.answer.subscribe(),
        };
        state.controller.client_joined(now, id);
        Admission::Joined(waiter)
    }

    /// Opens a query of an unknown key if the plan admits it. While the journal is still being read, a non-idempotent
    /// query is not opened, since an earlier process may have sent it. Neither is a query that must not run twice while
    /// there is no space to remember its key, nor one that may have arrived before another one of its ordering key that
    /// was opened earlier.
    fn admit_new(
        self: &Arc<Self>,
        state: &mut SchedulerState,
        now: f64,
        new: NewQuery,
    ) -> Admission {
        let plan_admission = match state.admit_by_plan(now, &new.arriving, new.data_set) {
            Ok(plan_admission) => plan_admission,
            Err(denial) => return Admission::DeniedByPlan(denial),
        };
        let terms = state.admission_terms(now, &new.arriving, plan_admission);
        if terms.is_non_idempotent && state.query_index.is_recovery_pending() {
            state.release_plan_admission(now, terms.plan_admission);
            return Admission::MayHaveRun;
        }
        let full_until = state.query_index.full_until();
        if let Some(full_until) = full_until.filter(|_| !terms.is_idempotent) {
            state.release_plan_admission(now, terms.plan_admission);
            let retry_after = full_until - now;
            return Admission::TooManyKeys { retry_after };
        }
        if let Some(KeyPlace { key, arrival }) = terms.key_place {
            if !state.key_arrivals.may_follow(key, arrival) {
                state.release_plan_admission(now, terms.plan_admission);
                return Admission::OutOfOrder;
            }
            state.key_arrivals.record(key, arrival);
        }
        self.open(state, now, new, terms)
    }

    fn open(
        self: &Arc<Self>,
        state: &mut SchedulerState,
        now: f64,
        new: NewQuery,
        terms: AdmissionTerms,
    ) -> Admission {
        let query_key = new.arriving.query_key;
        let id = state.next_id();
        let query = self.controller_query(now, id, &new, &terms);
        let journal_entry = terms
            .is_non_idempotent
            .then(|| journal_entry(&new.arriving, terms.deadline));
        let (command_sender, commands) = unbounded_channel();
        let open_query = new.into_open_query(terms, command_sender);
        let client_presence = open_query.client_presence.clone();
        let answer = open_query.answer.subscribe();
        state.query_index.open(query_key, id);
        state.open_queries.insert(id, open_query);
        self.open_count.send_replace(state.open_queries.len());
        log_admission(&query, query_key);
        state.controller.admit(now, query);
        let waiter = Waiter {
            scheduler: self.clone(),
            query_id: id,
            answer,
        };
        Admission::New(OpenedQuery {
            query_id: id,
            commands,
            waiter,
            journal_entry,
            client_presence,
        })
    }

    /// Describes a new query to the admission controller. Its time ends at its deadline or, while the gateway shuts
    /// down, when all answers are due, whichever is earlier.
    fn controller_query(
        &self,
        now: f64,
        id: QueryId,
        new: &NewQuery,
        terms: &AdmissionTerms,
    ) -> Query {
        let arriving = &new.arriving;
        let deadline = match *self.answers_due.borrow() {
            Some(answers_due) => terms.deadline.min(answers_due),
            None => terms.deadline,
        };
        let plan_admission = terms.plan_admission.as_ref();
        Query {
            id,
            class: terms.class,
            tenant: arriving.tenant,
            ordering_key: arriving.ordering_key,
            remaining_time: deadline - now,
            estimated_work: arriving.estimated_work,
            estimated_memory: arriving.estimated_memory,
            data_set: new.data_set,
            endpoint_subset: plan_admission.and_then(|admission| admission.endpoint_subset),
        }
    }
}

impl NewQuery {
    /// Converts to the scheduler's record of an open query, with one client waiting.
    fn into_open_query(
        self,
        terms: AdmissionTerms,
        commands: UnboundedSender<Command>,
    ) -> OpenQuery {
        OpenQuery {
            query_key: self.arriving.query_key,
            tenant: self.arriving.tenant,
            ordering_key: self.arriving.ordering_key,
            forwarded_query: self.forwarded_query,
            fingerprint: self.fingerprint,
            commands,
            answer: watch::Sender::new(None),
            waiters: 1,
            waiter_generation: WaiterGeneration::default(),
            client_presence: ClientPresence::of(self.client),
            deadline: terms.deadline,
            is_idempotent: terms.is_idempotent,
            is_non_idempotent: terms.is_non_idempotent,
            key_place: terms.key_place,
            attempts: 0,
            may_have_run: false,
            plan_admission: terms.plan_admission,
        }
    }
}

impl SchedulerState {
    fn next_id(&mut self) -> QueryId {
        let id = self.next_query_id;
        self.next_query_id = id.wrapping_add(1);
        id
    }

    /// The response to a request whose query has finished. The query does not run again.
    fn repeat_of_finished(
        &self,
        now: f64,
        query_key: u64,
        fingerprint: Option<Fingerprint>,
    ) -> Admission {
        let Some(fingerprint) = fingerprint else {
            return Admission::AnswerNotCached;
        };
        match self.answer_cache.get(now, query_key, fingerprint) {
            CachedAnswer::Answer(answer) => Admission::Answered(answer),
            CachedAnswer::OtherRequest => Admission::Conflict,
            CachedAnswer::Missing => Admission::AnswerNotCached,
        }
    }

    /// Admits a query under the plan. Returns `None` if the gateway has no plan.
    fn admit_by_plan(
        &mut self,
        now: f64,
        arriving: &ArrivingQuery,
        data_set: u32,
    ) -> Result<Option<PlanAdmission>, PlanDenial> {
        let Some(plan_router) = self.plan_router.as_mut() else {
            return Ok(None);
        };
        let query = garnetwall_routing::RoutedQuery {
            class: arriving.class,
            tenant: arriving.tenant,
            client: arriving.client,
            has_key: arriving.ordering_key.is_some(),
            data_set,
            minute: minute_of_day(now),
            statement_bytes: arriving.statement_bytes,
        };
        plan_router.admit(now, &query).map(Some)
    }

    fn admission_terms(
        &self,
        now: f64,
        arriving: &ArrivingQuery,
        plan_admission: Option<PlanAdmission>,
    ) -> AdmissionTerms {
        let admission = plan_admission.as_ref();
        let class = admission.map_or(arriving.class, |admission| admission.class);
        let plan_deadline = admission.and_then(|admission| admission.deadline);
        let deadline = match plan_deadline {
            Some(limit) => arriving.deadline.min(now + limit.as_secs_f64()),
            None => arriving.deadline,
        };
        AdmissionTerms {
            class,
            is_non_idempotent: self.is_non_idempotent(class),
            is_idempotent: self.is_idempotent(class),
            key_place: self.key_place(arriving, class),
            plan_admission,
            deadline,
        }
    }

    /// The place of a query among those of its ordering key; `None` if its class is not ordered.
    fn key_place(&self, arriving: &ArrivingQuery, class: usize) -> Option<KeyPlace> {
        let key = arriving.ordering_key?;
        let arrival = arriving.arrival;
        let keeps_order = self.controller.keeps_order(class);
        keeps_order.then_some(KeyPlace { key, arrival })
    }
}

/// The journal's record of a query. The query may run for up to [`RUN_TIME_MARGIN`] after its deadline.
fn journal_entry(arriving: &ArrivingQuery, deadline: f64) -> StartedQuery {
    StartedQuery {
        query_key: arriving.query_key,
        ordering_key: arriving.ordering_key,
        may_run_until_ms: millis(deadline + RUN_TIME_MARGIN.as_secs_f64()),
    }
}

fn log_admission(query: &Query, query_key: u64) {
    tracing::debug!(
        query_id = query.id,
        query_key = ?HexKey(query_key),
        class = query.class,
        ordering_key = ?query.ordering_key.map(HexKey),
        remaining_ms = log_millis(query.remaining_time),
        "query admitted"
    );
}
