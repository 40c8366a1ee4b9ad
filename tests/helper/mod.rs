//! Simulates the clients and engines of one gateway for tests, and checks each decision of the controller against a
//! simple, slow model of the rules.

use garnetwall::api::*;
use garnetwall::controller::AdmissionController;

/// True work of each query, in seconds. It is below the controller's initial expected work, so that the controller uses
/// less of the slow-start budget than it assumes.
pub const WORK: f64 = 0.2;

pub struct AttemptRecord {
    pub engine: EngineId,
    pub at: f64,
    pub outcome: Option<(AttemptEnd, f64)>,
}

pub struct QueryRecord {
    pub query: Query,
    pub admitted_at: f64,
    pub deadline: f64,
    pub finished: bool,
    pub rejected: bool,
    pub attempts: Vec<AttemptRecord>,
}

impl QueryRecord {
    fn may_have_run(&self) -> Option<&AttemptRecord> {
        let may_have_run = |attempt: &&AttemptRecord| {
            !matches!(
                attempt.outcome,
                Some((
                    AttemptEnd::Rejected | AttemptEnd::ConnectFailed | AttemptEnd::NotNeeded,
                    _
                ))
            )
        };
        self.attempts.iter().find(may_have_run)
    }

    pub fn in_flight(&self) -> Option<usize> {
        self.attempts
            .iter()
            .position(|attempt| attempt.outcome.is_none())
    }
}

pub struct Simulation {
    pub controller: AdmissionController,
    pub settings: Settings,
    pub now: f64,
    pub records: Vec<QueryRecord>,
    pub endpoints: Vec<Endpoint>,
    pub placed: Vec<QueryId>,
    pub health_checks: Vec<EngineId>,
    /// Priority levels of each endpoint subset, by subset number.
    pub endpoint_subsets: Vec<Vec<EngineSet>>,
    /// Send timeout of each attempt, in seconds.
    pub send_timeouts: Vec<f64>,
    /// Waits returned by the controller, in seconds.
    pub waits: Vec<f64>,
    /// Time at which the gateway was notified of each engine's latest start, in seconds.
    notified_at: Vec<f64>,
    retries: Vec<f64>,
    admissions: Vec<f64>,
}

pub fn query_class(class_idempotency: Idempotency) -> QueryClass {
    QueryClass {
        latency_objective: 1.0,
        latency_objective_stretch: 2.0,
        deadline: 4.0,
        priority_weight: 1.0,
        late_value_share: 0.3,
        idempotency: class_idempotency,
        in_order: false,
        zones: None,
        kinds: None,
        threads: 1.0,
        loads_data: false,
        waits_for_data_loads: false,
        retry_budget: None,
    }
}

pub fn settings(query_classes: Vec<QueryClass>) -> Settings {
    Settings {
        classes: query_classes,
        tenants: 2,
        gateways: 1.0,
        kind_cores: vec![Some(8.0), None],
        load_reporting: LoadReporting::WithAnswers,
        cancellation_allowed: true,
        retry_after_allowed: true,
        max_retry_after: 1.0,
        max_attempts: 4,
        key_pause: 0.5,
        ..Settings::default()
    }
}

pub fn endpoint(engine: EngineId) -> Endpoint {
    let parity = (engine % 2) as u32;
    Endpoint {
        engine,
        zone: parity,
        kind: parity as usize,
        cell: engine as u32,
        started_at: None,
        state: EndpointState::Ready,
        gateways: None,
    }
}

impl Simulation {
    pub fn new(s: Settings, engines: usize) -> Simulation {
        Simulation::seeded(s, engines, 7)
    }

    pub fn seeded(s: Settings, engines: usize, seed: u64) -> Simulation {
        Simulation::with_endpoints(s, (0..engines).map(endpoint).collect(), seed)
    }

    /// Creates a simulation whose endpoints give `gateways_per_engine` as the number of gateways that use them.
    pub fn with_gateways(
        gateways_per_engine: Option<f64>,
        s: Settings,
        engines: usize,
    ) -> Simulation {
        Simulation::with_endpoints(
            s,
            (0..engines)
                .map(|engine| Endpoint {
                    gateways: gateways_per_engine,
                    ..endpoint(engine)
                })
                .collect(),
            7,
        )
    }

    fn with_endpoints(s: Settings, endpoint_list: Vec<Endpoint>, seed: u64) -> Simulation {
        let initial_notifications = vec![1000.0; endpoint_list.len()];
        let mut sim = Simulation {
            controller: AdmissionController::new(s.clone(), seed, 1000.0),
            settings: s,
            now: 1000.0,
            records: Vec::new(),
            endpoints: endpoint_list,
            placed: Vec::new(),
            health_checks: Vec::new(),
            endpoint_subsets: Vec::new(),
            send_timeouts: Vec::new(),
            waits: Vec::new(),
            notified_at: initial_notifications,
            retries: Vec::new(),
            admissions: Vec::new(),
        };
        sim.controller
            .update_endpoints(&sim.endpoints, ListScope::Full);
        sim
    }

    /// Adds an endpoint subset with these engines in priority order, and returns its number.
    pub fn add_subset(&mut self, levels: &[&[EngineId]]) -> u32 {
        let set = |level: &&[EngineId]| EngineSet(vec![level.iter().map(|e| 1 << e).sum()]);
        self.endpoint_subsets.push(levels.iter().map(set).collect());
        let number = self.endpoint_subsets.len() as u32 - 1;
        self.controller
            .update_endpoint_subset(number, self.endpoint_subsets.last().cloned());
        number
    }

    pub fn admit(
        &mut self,
        class: usize,
        tenant: usize,
        key: Option<u64>,
        remaining_seconds: f64,
    ) -> QueryId {
        self.admit_in_subset(None, class, tenant, key, remaining_seconds)
    }

    pub fn admit_in_subset(
        &mut self,
        subset: Option<u32>,
        class: usize,
        tenant: usize,
        key: Option<u64>,
        remaining_seconds: f64,
    ) -> QueryId {
        let id = self.records.len() as QueryId;
        let new_query = Query {
            id,
            class,
            tenant,
            ordering_key: key,
            remaining_time: remaining_seconds,
            estimated_work: None,
            estimated_memory: None,
            data_set: id % 3,
            endpoint_subset: subset,
        };
        let expires_at = self.now + remaining_seconds;
        let now = self.now;
        self.records.push(QueryRecord {
            query: new_query,
            admitted_at: now,
            deadline: expires_at,
            finished: false,
            rejected: false,
            attempts: Vec::new(),
        });
        self.admissions.push(self.now);
        self.controller.admit(self.now, new_query);
        id
    }

    pub fn update_endpoint(
        &mut self,
        engine: EngineId,
        new_state: EndpointState,
        started_at: Option<f64>,
    ) {
        if self.endpoints[engine].started_at != started_at {
            self.notified_at[engine] = self.now;
        }
        self.endpoints[engine].state = new_state;
        self.endpoints[engine].started_at = started_at;
        self.controller
            .update_endpoints(&[self.endpoints[engine]], ListScope::Delta);
    }

    /// Reports the end of the query's attempt in flight, and checks the controller's response.
    pub fn end_attempt(&mut self, id: QueryId, end: AttemptEnd) {
        let record = &mut self.records[id as usize];
        let Some(n) = record.in_flight() else { return };
        let attempt = &mut record.attempts[n];
        attempt.outcome = Some((end, self.now));
        let (engine, latency) = (attempt.engine, self.now - attempt.at);
        record.finished |= end == AttemptEnd::Succeeded;
        let work = Some(WORK).filter(|_| end == AttemptEnd::Succeeded);
        let attempt_outcome = AttemptOutcome {
            engine,
            attempt: n as u32,
            end,
            latency,
            query_finished: record.finished,
            work,
            memory: None,
        };
        match self.controller.attempt_ended(self.now, id, attempt_outcome) {
            FollowUp::Nothing => {}
            FollowUp::Answer(FinalAnswer::Rejected { .. }) => self.record_answer(id, true),
            FollowUp::Answer(FinalAnswer::Failed) => self.record_answer(id, false),
        }
    }

    /// Reports that the outcome of the query's attempt in flight is unknown, and checks the controller's response.
    pub fn report_unknown_outcome(&mut self, id: QueryId, end: AttemptEnd) {
        let record = &self.records[id as usize];
        let Some(n) = record.in_flight().filter(|_| self.now <= record.deadline) else {
            return;
        };
        let attempt = &record.attempts[n];
        let (engine, latency, was_finished) =
            (attempt.engine, self.now - attempt.at, record.finished);
        let attempt_outcome = AttemptOutcome {
            engine,
            attempt: n as u32,
            end,
            latency,
            query_finished: false,
            work: None,
            memory: None,
        };
        match self
            .controller
            .outcome_unknown(self.now, id, attempt_outcome)
        {
            FollowUp::Nothing => {}
            FollowUp::Answer(_) if was_finished => panic!("query {id} was answered twice"),
            FollowUp::Answer(FinalAnswer::Rejected { .. }) => self.record_answer(id, true),
            FollowUp::Answer(FinalAnswer::Failed) => self.record_answer(id, false),
        }
    }

    pub fn client_left(&mut self, id: QueryId) {
        if !self.records[id as usize].finished {
            self.records[id as usize].finished = true;
            self.controller.client_left(self.now, id);
        }
    }

    fn record_answer(&mut self, id: QueryId, rejected: bool) {
        let record = &mut self.records[id as usize];
        assert!(!record.finished, "query {id} was answered twice");
        assert!(
            self.now <= record.deadline + 0.001,
            "query {id} was answered after its deadline"
        );
        (record.finished, record.rejected) = (true, rejected);
        let expect_rejection = match (
            self.settings.classes[record.query.class].idempotency,
            record.may_have_run(),
        ) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotentByKey { scope, .. }, _) => {
                scope == DeduplicationScope::Everywhere
            }
            (Idempotency::NonIdempotent, _) => false,
        };
        assert_eq!(
            rejected, expect_rejection,
            "query {id}: the controller and the model differ on whether to reject"
        );
    }

    /// Checks an attempt that starts now against all rules, from the complete records.
    fn check_attempt(&self, id: QueryId, engine: EngineId) {
        let record = &self.records[id as usize];
        let (class, endpoint, now) = (
            &self.settings.classes[record.query.class],
            &self.endpoints[engine],
            self.now,
        );
        assert!(
            !record.finished && now < record.deadline,
            "query {id} was sent after its end"
        );
        assert!(
            record.in_flight().is_none(),
            "query {id} has two attempts in flight"
        );
        assert!((record.attempts.len() as u32) < self.settings.max_attempts);
        assert_eq!(
            endpoint.state,
            EndpointState::Ready,
            "query was sent to an engine that is draining or removed"
        );
        assert!(
            class
                .zones
                .as_ref()
                .is_none_or(|zones| zones.contains(&endpoint.zone)),
            "query was sent to a zone that its class does not allow"
        );
        assert!(
            class
                .kinds
                .as_ref()
                .is_none_or(|kinds| kinds.contains(&(endpoint.kind as u32))),
            "query was sent to a kind of engine that its class does not allow"
        );
        if let Some(subset) = record.query.endpoint_subset {
            assert!(
                self.endpoint_subsets[subset as usize]
                    .iter()
                    .any(|level| level.contains(engine)),
                "query was sent to an engine outside its endpoint subset"
            );
        }
        match (class.idempotency, record.may_have_run()) {
            (Idempotency::Idempotent, _) | (_, None) => {}
            (Idempotency::NonIdempotent, _) => panic!("non-idempotent query {id} was sent again"),
            (Idempotency::IdempotentByKey { scope, window }, Some(attempt)) => {
                let first_endpoint = &self.endpoints[attempt.engine];
                let arrives_by = now + self.send_timeouts.last().copied().unwrap_or_default();
                assert!(
                    arrives_by <= attempt.at + window,
                    "query {id} can reach an engine after its deduplication window"
                );
                assert!(
                    scope == DeduplicationScope::Everywhere || first_endpoint.zone == endpoint.zone
                );
                assert!(scope != DeduplicationScope::Cell || first_endpoint.cell == endpoint.cell);
            }
        }
        if class.in_order && record.query.ordering_key.is_some() {
            for earlier in self
                .records
                .iter()
                .take(id as usize)
                .filter(|other| other.query.ordering_key == record.query.ordering_key)
            {
                if self.settings.classes[earlier.query.class].in_order {
                    self.check_order(earlier);
                }
            }
        }
        if let Some(budget) = self
            .settings
            .retry_budget
            .filter(|_| !record.attempts.is_empty())
        {
            let retries = self
                .retries
                .iter()
                .filter(|t| **t > now - budget.window)
                .count()
                + 1;
            let admitted = self
                .admissions
                .iter()
                .filter(|t| **t > now - budget.window)
                .count();
            assert!(
                retries as f64 <= budget.floor + budget.per_query * admitted as f64,
                "retry exceeds the retry budget of the gateway"
            );
        }
        if let Some(budget) = class.retry_budget.filter(|_| !record.attempts.is_empty()) {
            let class_records = || {
                self.records
                    .iter()
                    .filter(|other| other.query.class == record.query.class)
            };
            let in_window = |at: f64| at > now - budget.window;
            let retries = class_records()
                .flat_map(|other| other.attempts.iter().skip(1))
                .filter(|attempt| in_window(attempt.at))
                .count()
                + 1;
            let admitted = class_records()
                .filter(|other| in_window(other.admitted_at))
                .count();
            assert!(
                retries as f64 <= budget.floor + budget.per_query * admitted as f64,
                "retry exceeds the retry budget of the query's class"
            );
        }
        if let (Some(slow_start), Some(started_at)) =
            (self.settings.slow_start, endpoint.started_at)
        {
            if now < started_at + slow_start.duration {
                let all = self.records.iter().flat_map(|record| &record.attempts);
                let from = self.notified_at[engine].max(now - slow_start.window);
                let sent = all
                    .filter(|attempt| attempt.engine == engine && attempt.at >= from)
                    .count()
                    + 1;
                let effective_fraction = slow_start.initial_fraction
                    + (1.0 - slow_start.initial_fraction)
                        * ((now - started_at) / slow_start.duration);
                let total_budget =
                    slow_start.overload_multiple * effective_fraction * 8.0 * slow_start.window;
                // A gateway may use its share of the budget or, if that is less, send a query of up to a tenth of the
                // whole budget. `slow_start_sum` tests the sum over all gateways.
                let max_work = (total_budget / self.settings.gateways).max(total_budget / 10.0);
                assert!(
                    sent as f64 * WORK <= max_work,
                    "attempt overloads an engine in slow start"
                );
            }
        }
    }

    fn check_order(&self, earlier: &QueryRecord) {
        assert!(
            earlier.finished,
            "an earlier query of the ordering key is not over"
        );
        for attempt in &earlier.attempts {
            let (end, at) = attempt
                .outcome
                .expect("earlier attempts of the ordering key have an outcome");
            let pauses_key = matches!(
                end,
                AttemptEnd::TimedOut | AttemptEnd::ConnectionLost | AttemptEnd::Cancelled
            );
            assert!(
                !pauses_key || self.now >= at + self.settings.key_pause,
                "an attempt starts during the pause of its ordering key"
            );
        }
    }

    /// Carries out the controller's actions until it waits, and returns the wait in seconds. Cancellations and health
    /// checks finish at once.
    pub fn run_actions(&mut self) -> f64 {
        for _ in 0..10_000 {
            match self.controller.next_action(self.now) {
                NextAction::Wait(span) => {
                    self.waits.push(span);
                    return span;
                }
                NextAction::Subscribe => self
                    .controller
                    .update_endpoints(&self.endpoints, ListScope::Full),
                NextAction::HealthCheck(engine) => {
                    self.health_checks.push(engine);
                    self.controller
                        .health_check_ended(self.now, engine, AttemptEnd::Succeeded);
                }
                NextAction::Cancel {
                    query: id,
                    attempt: n,
                } => {
                    if self.records[id as usize].in_flight() == Some(n as usize) {
                        self.end_attempt(id, AttemptEnd::Cancelled);
                    }
                }
                NextAction::Place(id) => {
                    self.placed.push(id);
                    self.place(id);
                }
            }
        }
        panic!("the controller returned 10,000 actions without a wait");
    }

    fn place(&mut self, id: QueryId) {
        match self.controller.place(self.now, id) {
            Placement::Wait => {}
            Placement::Answer(FinalAnswer::Rejected { .. }) => self.record_answer(id, true),
            Placement::Answer(FinalAnswer::Failed) => self.record_answer(id, false),
            Placement::Attempt {
                engine,
                response_timeout,
                send_timeout,
                ..
            } => {
                assert!(
                    send_timeout <= response_timeout,
                    "send timeout of the attempt exceeds its response timeout"
                );
                self.send_timeouts.push(send_timeout);
                self.check_attempt(id, engine);
                let record = &mut self.records[id as usize];
                assert!(
                    self.now + response_timeout <= record.deadline + 1e-6,
                    "response timeout of the attempt exceeds the deadline of its query"
                );
                if !record.attempts.is_empty() {
                    self.retries.push(self.now);
                }
                record.attempts.push(AttemptRecord {
                    engine,
                    at: self.now,
                    outcome: None,
                });
            }
        }
    }

    /// Advances the time by `seconds`. Attempts that are in flight at their deadline time out.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + seconds;
        loop {
            let wait = self.run_actions();
            let limits = self
                .records
                .iter()
                .filter(|record| record.in_flight().is_some())
                .map(|record| record.deadline.max(self.now));
            let next = limits.fold(self.now + wait, f64::min).min(until);
            self.now = next;
            let due =
                |record: &&QueryRecord| record.in_flight().is_some() && record.deadline <= next;
            let late: Vec<QueryId> = self
                .records
                .iter()
                .filter(due)
                .map(|record| record.query.id)
                .collect();
            late.into_iter()
                .for_each(|id| self.end_attempt(id, AttemptEnd::TimedOut));
            if next >= until {
                self.run_actions();
                return;
            }
        }
    }

    pub fn engines_tried(&self, id: QueryId) -> Vec<EngineId> {
        self.records[id as usize]
            .attempts
            .iter()
            .map(|attempt| attempt.engine)
            .collect()
    }
}
