//! A gateway's surroundings for tests, with a slow, plain model of the rules that checks each answer.

use garnetwall::api::*;
use garnetwall::controller::AdmissionController;

/// Seconds of true work of every query; below the module's first guess, so that its slow-start budget is the safe
/// side.
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
        let ran = |d: &&AttemptRecord| {
            !matches!(
                d.outcome,
                Some((
                    AttemptEnd::Rejected | AttemptEnd::ConnectFailed | AttemptEnd::NotNeeded,
                    _
                ))
            )
        };
        self.attempts.iter().find(ran)
    }

    pub fn in_flight(&self) -> Option<usize> {
        self.attempts.iter().position(|d| d.outcome.is_none())
    }
}

pub struct World {
    pub controller: AdmissionController,
    pub settings: Settings,
    pub now: f64,
    pub records: Vec<QueryRecord>,
    pub endpoints: Vec<Endpoint>,
    pub placed: Vec<QueryId>,
    pub health_checks: Vec<EngineId>,
    /// By number, each as priority levels.
    pub endpoint_subsets: Vec<Vec<EngineSet>>,
    /// How long each attempt had to come to its engine.
    pub send_timeouts: Vec<f64>,
    /// How long the module waited, each time that it did.
    pub waits: Vec<f64>,
    /// When an engine's present start was notified.
    notified_at: Vec<f64>,
    retries: Vec<f64>,
    admissions: Vec<f64>,
}

pub fn query_class(effect: Idempotency) -> QueryClass {
    QueryClass {
        latency_objective: 1.0,
        latency_objective_stretch: 2.0,
        deadline: 4.0,
        priority_weight: 1.0,
        late_value_share: 0.3,
        idempotency: effect,
        in_order: false,
        zones: None,
        kinds: None,
        threads: 1.0,
        loads_data: false,
        waits_for_data_loads: false,
        retry_budget: None,
    }
}

pub fn settings(groups: Vec<QueryClass>) -> Settings {
    Settings {
        classes: groups,
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
    let odd = (engine % 2) as u32;
    Endpoint {
        engine,
        zone: odd,
        kind: odd as usize,
        cell: engine as u32,
        started_at: None,
        state: EndpointState::Ready,
        gateways: None,
    }
}

impl World {
    pub fn new(s: Settings, engines: usize) -> World {
        World::seeded(s, engines, 7)
    }

    pub fn seeded(s: Settings, engines: usize, seed: u64) -> World {
        World::of(s, (0..engines).map(endpoint).collect(), seed)
    }

    /// A world of engines that are notified to be held by so many gateways.
    pub fn with_gateways(holders: Option<f64>, s: Settings, engines: usize) -> World {
        World::of(
            s,
            (0..engines)
                .map(|engine| Endpoint {
                    gateways: holders,
                    ..endpoint(engine)
                })
                .collect(),
            7,
        )
    }

    fn of(s: Settings, lines: Vec<Endpoint>, seed: u64) -> World {
        let notified = vec![1000.0; lines.len()];
        let mut world = World {
            controller: AdmissionController::new(s.clone(), seed, 1000.0),
            settings: s,
            now: 1000.0,
            records: Vec::new(),
            endpoints: lines,
            placed: Vec::new(),
            health_checks: Vec::new(),
            endpoint_subsets: Vec::new(),
            send_timeouts: Vec::new(),
            waits: Vec::new(),
            notified_at: notified,
            retries: Vec::new(),
            admissions: Vec::new(),
        };
        world
            .controller
            .update_endpoints(&world.endpoints, ListScope::Full);
        world
    }

    /// A subset of these engines, by preference.
    pub fn add_subset(&mut self, levels: &[&[EngineId]]) -> u32 {
        let set = |level: &&[EngineId]| EngineSet(vec![level.iter().map(|e| 1 << e).sum()]);
        self.endpoint_subsets.push(levels.iter().map(set).collect());
        let number = self.endpoint_subsets.len() as u32 - 1;
        self.controller
            .update_endpoint_subset(number, self.endpoint_subsets.last().cloned());
        number
    }

    pub fn admit(&mut self, class: usize, tenant: usize, key: Option<u64>, left: f64) -> QueryId {
        self.admit_in_subset(None, class, tenant, key, left)
    }

    pub fn admit_in_subset(
        &mut self,
        subset: Option<u32>,
        class: usize,
        tenant: usize,
        key: Option<u64>,
        left: f64,
    ) -> QueryId {
        let id = self.records.len() as QueryId;
        let b = Query {
            id,
            class,
            tenant,
            ordering_key: key,
            remaining_time: left,
            estimated_work: None,
            estimated_memory: None,
            data_set: id % 3,
            endpoint_subset: subset,
        };
        let limit = self.now + left;
        let taken = self.now;
        self.records.push(QueryRecord {
            query: b,
            admitted_at: taken,
            deadline: limit,
            finished: false,
            rejected: false,
            attempts: Vec::new(),
        });
        self.admissions.push(self.now);
        self.controller.admit(self.now, b);
        id
    }

    pub fn update_endpoint(
        &mut self,
        engine: EngineId,
        condition: EndpointState,
        started_at: Option<f64>,
    ) {
        if self.endpoints[engine].started_at != started_at {
            self.notified_at[engine] = self.now;
        }
        self.endpoints[engine].state = condition;
        self.endpoints[engine].started_at = started_at;
        self.controller
            .update_endpoints(&[self.endpoints[engine]], ListScope::Delta);
    }

    /// Feeds the outcome of the attempt in flight, and checks what the module makes of it.
    pub fn end_attempt(&mut self, id: QueryId, end: AttemptEnd) {
        let r = &mut self.records[id as usize];
        let Some(n) = r.in_flight() else { return };
        let d = &mut r.attempts[n];
        d.outcome = Some((end, self.now));
        let (engine, latency) = (d.engine, self.now - d.at);
        r.finished |= end == AttemptEnd::Succeeded;
        let work = Some(WORK).filter(|_| end == AttemptEnd::Succeeded);
        let o = AttemptOutcome {
            engine,
            attempt: n as u32,
            end,
            latency,
            query_finished: r.finished,
            work,
            memory: None,
        };
        match self.controller.attempt_ended(self.now, id, o) {
            FollowUp::Nothing => {}
            FollowUp::Answer(FinalAnswer::Rejected { .. }) => self.answered(id, true),
            FollowUp::Answer(FinalAnswer::Failed) => self.answered(id, false),
        }
    }

    /// The end of the attempt in flight is not known: what the module has answered now.
    pub fn lose_track(&mut self, id: QueryId, end: AttemptEnd) {
        let r = &self.records[id as usize];
        let Some(n) = r.in_flight().filter(|_| self.now <= r.deadline) else {
            return;
        };
        let d = &r.attempts[n];
        let (engine, latency, was_over) = (d.engine, self.now - d.at, r.finished);
        let o = AttemptOutcome {
            engine,
            attempt: n as u32,
            end,
            latency,
            query_finished: false,
            work: None,
            memory: None,
        };
        match self.controller.outcome_unknown(self.now, id, o) {
            FollowUp::Nothing => {}
            FollowUp::Answer(_) if was_over => panic!("query {id} answered twice"),
            FollowUp::Answer(FinalAnswer::Rejected { .. }) => self.answered(id, true),
            FollowUp::Answer(FinalAnswer::Failed) => self.answered(id, false),
        }
    }

    pub fn client_left(&mut self, id: QueryId) {
        if !self.records[id as usize].finished {
            self.records[id as usize].finished = true;
            self.controller.client_left(self.now, id);
        }
    }

    fn answered(&mut self, id: QueryId, rejected: bool) {
        let r = &mut self.records[id as usize];
        assert!(!r.finished, "query {id} answered twice");
        assert!(self.now <= r.deadline + 0.001, "query {id} answered late");
        (r.finished, r.rejected) = (true, rejected);
        let may = match (
            self.settings.classes[r.query.class].idempotency,
            r.may_have_run(),
        ) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotentByKey { scope, .. }, _) => {
                scope == DeduplicationScope::Everywhere
            }
            (Idempotency::NonIdempotent, _) => false,
        };
        assert_eq!(
            rejected, may,
            "query {id}: model and module differ on the rejection"
        );
    }

    /// Every rule on a attempt, from the whole record.
    fn check_attempt(&self, id: QueryId, engine: EngineId) {
        let r = &self.records[id as usize];
        let (g, l, now) = (
            &self.settings.classes[r.query.class],
            &self.endpoints[engine],
            self.now,
        );
        assert!(
            !r.finished && now < r.deadline,
            "query {id} sent after its end"
        );
        assert!(
            r.in_flight().is_none(),
            "query {id} has two attempts in flight"
        );
        assert!((r.attempts.len() as u32) < self.settings.max_attempts);
        assert_eq!(
            l.state,
            EndpointState::Ready,
            "sent to an engine notified as draining or removed"
        );
        assert!(
            g.zones.as_ref().is_none_or(|z| z.contains(&l.zone)),
            "placement by zone"
        );
        assert!(
            g.kinds
                .as_ref()
                .is_none_or(|k| k.contains(&(l.kind as u32))),
            "placement by kind"
        );
        if let Some(subset) = r.query.endpoint_subset {
            assert!(
                self.endpoint_subsets[subset as usize]
                    .iter()
                    .any(|level| level.contains(engine)),
                "placement by endpoint subset"
            );
        }
        match (g.idempotency, r.may_have_run()) {
            (Idempotency::Idempotent, _) | (_, None) => {}
            (Idempotency::NonIdempotent, _) => panic!("non-idempotent query {id} sent again"),
            (Idempotency::IdempotentByKey { scope, window }, Some(d)) => {
                let a = &self.endpoints[d.engine];
                let comes_by = now + self.send_timeouts.last().copied().unwrap_or_default();
                assert!(
                    comes_by <= d.at + window,
                    "idempotent-by-key query {id} sent after its window"
                );
                assert!(scope == DeduplicationScope::Everywhere || a.zone == l.zone);
                assert!(scope != DeduplicationScope::Cell || a.cell == l.cell);
            }
        }
        if g.in_order && r.query.ordering_key.is_some() {
            for earlier in self
                .records
                .iter()
                .take(id as usize)
                .filter(|e| e.query.ordering_key == r.query.ordering_key)
            {
                if self.settings.classes[earlier.query.class].in_order {
                    self.check_order(earlier);
                }
            }
        }
        if let Some(f) = self
            .settings
            .retry_budget
            .filter(|_| !r.attempts.is_empty())
        {
            let made = self.retries.iter().filter(|t| **t > now - f.window).count() + 1;
            let taken = self
                .admissions
                .iter()
                .filter(|t| **t > now - f.window)
                .count();
            assert!(
                made as f64 <= f.floor + f.per_query * taken as f64,
                "retry budget"
            );
        }
        if let Some(f) = g.retry_budget.filter(|_| !r.attempts.is_empty()) {
            let own = || {
                self.records
                    .iter()
                    .filter(|o| o.query.class == r.query.class)
            };
            let late = |at: f64| at > now - f.window;
            let further = own()
                .flat_map(|o| o.attempts.iter().skip(1))
                .filter(|d| late(d.at))
                .count()
                + 1;
            let taken = own().filter(|o| late(o.admitted_at)).count();
            assert!(
                further as f64 <= f.floor + f.per_query * taken as f64,
                "retry budget of a class"
            );
        }
        if let (Some(c), Some(up)) = (self.settings.slow_start, l.started_at) {
            if now < up + c.duration {
                let all = self.records.iter().flat_map(|r| &r.attempts);
                let from = self.notified_at[engine].max(now - c.window);
                let sent = all.filter(|d| d.engine == engine && d.at >= from).count() + 1;
                let able =
                    c.initial_fraction + (1.0 - c.initial_fraction) * ((now - up) / c.duration);
                let whole = c.overload_multiple * able * 8.0 * c.window;
                // Its part or, by lot, a tenth of the whole; the sum over gateways has a test of its own.
                let most = (whole / self.settings.gateways).max(whole / 10.0);
                assert!(
                    sent as f64 * WORK <= most,
                    "engine overloaded in slow start"
                );
            }
        }
    }

    fn check_order(&self, earlier: &QueryRecord) {
        assert!(earlier.finished, "an earlier query of the key is not over");
        for d in &earlier.attempts {
            let (end, at) = d
                .outcome
                .expect("an earlier attempt of the key has no outcome");
            let rests = matches!(
                end,
                AttemptEnd::TimedOut | AttemptEnd::ConnectionLost | AttemptEnd::Cancelled
            );
            assert!(
                !rests || self.now >= at + self.settings.key_pause,
                "the key does not pause"
            );
        }
    }

    /// Asks the module until it waits; cancels and probes are answered at once.
    pub fn pump(&mut self) -> f64 {
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
        panic!("the module never waits");
    }

    fn place(&mut self, id: QueryId) {
        match self.controller.place(self.now, id) {
            Placement::Wait => {}
            Placement::Answer(FinalAnswer::Rejected { .. }) => self.answered(id, true),
            Placement::Answer(FinalAnswer::Failed) => self.answered(id, false),
            Placement::Attempt {
                engine,
                response_timeout,
                send_timeout,
                ..
            } => {
                assert!(
                    send_timeout <= response_timeout,
                    "more than its response timeout"
                );
                self.send_timeouts.push(send_timeout);
                self.check_attempt(id, engine);
                let r = &mut self.records[id as usize];
                assert!(
                    self.now + response_timeout <= r.deadline + 1e-6,
                    "response timeout past the deadline"
                );
                if !r.attempts.is_empty() {
                    self.retries.push(self.now);
                }
                r.attempts.push(AttemptRecord {
                    engine,
                    at: self.now,
                    outcome: None,
                });
            }
        }
    }

    /// Lets time pass; attempts still in flight at their deadline time out there.
    pub fn pass(&mut self, span: f64) {
        let until = self.now + span;
        loop {
            let wait = self.pump();
            let limits = self
                .records
                .iter()
                .filter(|r| r.in_flight().is_some())
                .map(|r| r.deadline.max(self.now));
            let next = limits.fold(self.now + wait, f64::min).min(until);
            self.now = next;
            let due = |r: &&QueryRecord| r.in_flight().is_some() && r.deadline <= next;
            let late: Vec<QueryId> = self
                .records
                .iter()
                .filter(due)
                .map(|r| r.query.id)
                .collect();
            late.into_iter()
                .for_each(|id| self.end_attempt(id, AttemptEnd::TimedOut));
            if next >= until {
                self.pump();
                return;
            }
        }
    }

    pub fn engines_tried(&self, id: QueryId) -> Vec<EngineId> {
        self.records[id as usize]
            .attempts
            .iter()
            .map(|d| d.engine)
            .collect()
    }
}
