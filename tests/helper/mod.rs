//! A gateway's surroundings for tests, with a slow, plain model of the rules that checks each answer.

use garnetwall::api::*;
use garnetwall::controller::AdmissionController;

/// Seconds of true work of every batch; below the module's first guess, so that its cold budget is the safe
/// side.
pub const WORK: f64 = 0.2;

pub struct Dispatch {
    pub engine: EngineId,
    pub at: f64,
    pub outcome: Option<(AttemptEnd, f64)>,
}

pub struct Record {
    pub b: Query,
    pub taken: f64,
    pub limit: f64,
    pub over: bool,
    pub pushed_back: bool,
    pub dispatches: Vec<Dispatch>,
}

impl Record {
    fn may_have_run(&self) -> Option<&Dispatch> {
        let ran = |d: &&Dispatch| {
            !matches!(
                d.outcome,
                Some((
                    AttemptEnd::Rejected | AttemptEnd::ConnectFailed | AttemptEnd::NotNeeded,
                    _
                ))
            )
        };
        self.dispatches.iter().find(ran)
    }

    pub fn out(&self) -> Option<usize> {
        self.dispatches.iter().position(|d| d.outcome.is_none())
    }
}

pub struct World {
    pub c: AdmissionController,
    pub s: Settings,
    pub now: f64,
    pub records: Vec<Record>,
    pub lines: Vec<Endpoint>,
    pub asked: Vec<QueryId>,
    pub probes: Vec<EngineId>,
    /// Ways that batches may go, by number.
    pub lanes: Vec<Vec<EngineSet>>,
    /// How long each dispatch had to come to its engine.
    pub within: Vec<f64>,
    /// How long the module waited, each time that it did.
    pub spans: Vec<f64>,
    /// When an engine's present start was told.
    told: Vec<f64>,
    further: Vec<f64>,
    taken: Vec<f64>,
}

pub fn group(effect: Idempotency) -> QueryClass {
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
        is_load: false,
        waits_for_loads: false,
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

pub fn line(engine: EngineId) -> Endpoint {
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
        World::of(s, (0..engines).map(line).collect(), seed)
    }

    /// A world of engines that are told to be held by so many gateways.
    pub fn held_by(holders: Option<f64>, s: Settings, engines: usize) -> World {
        World::of(
            s,
            (0..engines)
                .map(|engine| Endpoint {
                    gateways: holders,
                    ..line(engine)
                })
                .collect(),
            7,
        )
    }

    fn of(s: Settings, lines: Vec<Endpoint>, seed: u64) -> World {
        let told = vec![1000.0; lines.len()];
        let mut w = World {
            c: AdmissionController::new(s.clone(), seed, 1000.0),
            s,
            now: 1000.0,
            records: Vec::new(),
            lines,
            asked: Vec::new(),
            probes: Vec::new(),
            lanes: Vec::new(),
            within: Vec::new(),
            spans: Vec::new(),
            told,
            further: Vec::new(),
            taken: Vec::new(),
        };
        w.c.update_endpoints(&w.lines, true);
        w
    }

    /// A lane of these engines, by preference.
    pub fn lane(&mut self, tiers: &[&[EngineId]]) -> u32 {
        let set = |tier: &&[EngineId]| EngineSet(vec![tier.iter().map(|e| 1 << e).sum()]);
        self.lanes.push(tiers.iter().map(set).collect());
        let number = self.lanes.len() as u32 - 1;
        self.c
            .update_endpoint_subset(number, self.lanes.last().cloned());
        number
    }

    pub fn take(&mut self, group: usize, tenant: usize, key: Option<u64>, left: f64) -> QueryId {
        self.take_on(None, group, tenant, key, left)
    }

    pub fn take_on(
        &mut self,
        lane: Option<u32>,
        group: usize,
        tenant: usize,
        key: Option<u64>,
        left: f64,
    ) -> QueryId {
        let id = self.records.len() as QueryId;
        let b = Query {
            id,
            class: group,
            tenant,
            ordering_key: key,
            remaining_time: left,
            estimated_work: None,
            estimated_memory: None,
            data_set: id % 3,
            endpoint_subset: lane,
        };
        let limit = self.now + left;
        let taken = self.now;
        self.records.push(Record {
            b,
            taken,
            limit,
            over: false,
            pushed_back: false,
            dispatches: Vec::new(),
        });
        self.taken.push(self.now);
        self.c.admit(self.now, b);
        id
    }

    pub fn relist(&mut self, engine: EngineId, condition: EndpointState, came_up: Option<f64>) {
        if self.lines[engine].started_at != came_up {
            self.told[engine] = self.now;
        }
        self.lines[engine].state = condition;
        self.lines[engine].started_at = came_up;
        self.c.update_endpoints(&[self.lines[engine]], false);
    }

    /// Feeds the outcome of the dispatch that is out, and checks what the module makes of it.
    pub fn outcome(&mut self, id: QueryId, end: AttemptEnd) {
        let r = &mut self.records[id as usize];
        let Some(n) = r.out() else { return };
        let d = &mut r.dispatches[n];
        d.outcome = Some((end, self.now));
        let (engine, latency) = (d.engine, self.now - d.at);
        r.over |= end == AttemptEnd::Succeeded;
        let work = Some(WORK).filter(|_| end == AttemptEnd::Succeeded);
        let o = AttemptOutcome {
            engine,
            attempt: n as u32,
            end,
            latency,
            query_finished: r.over,
            work,
            memory: None,
        };
        match self.c.attempt_ended(self.now, id, o) {
            FollowUp::Nothing => {}
            FollowUp::Answer(FinalAnswer::Rejected { .. }) => self.answered(id, true),
            FollowUp::Answer(FinalAnswer::Failed) => self.answered(id, false),
        }
    }

    /// The end of the dispatch that is out is not known: what the module has answered now.
    pub fn in_doubt(&mut self, id: QueryId, end: AttemptEnd) {
        let r = &self.records[id as usize];
        let Some(n) = r.out().filter(|_| self.now <= r.limit) else {
            return;
        };
        let d = &r.dispatches[n];
        let (engine, latency, was_over) = (d.engine, self.now - d.at, r.over);
        let o = AttemptOutcome {
            engine,
            attempt: n as u32,
            end,
            latency,
            query_finished: false,
            work: None,
            memory: None,
        };
        match self.c.outcome_unknown(self.now, id, o) {
            FollowUp::Nothing => {}
            FollowUp::Answer(_) if was_over => panic!("batch {id} answered twice"),
            FollowUp::Answer(FinalAnswer::Rejected { .. }) => self.answered(id, true),
            FollowUp::Answer(FinalAnswer::Failed) => self.answered(id, false),
        }
    }

    pub fn client_gone(&mut self, id: QueryId) {
        if !self.records[id as usize].over {
            self.records[id as usize].over = true;
            self.c.client_left(self.now, id);
        }
    }

    fn answered(&mut self, id: QueryId, pushed_back: bool) {
        let r = &mut self.records[id as usize];
        assert!(!r.over, "batch {id} answered twice");
        assert!(self.now <= r.limit + 0.001, "batch {id} answered late");
        (r.over, r.pushed_back) = (true, pushed_back);
        let may = match (self.s.classes[r.b.class].idempotency, r.may_have_run()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotentByKey { scope, .. }, _) => {
                scope == DeduplicationScope::Everywhere
            }
            (Idempotency::NonIdempotent, _) => false,
        };
        assert_eq!(
            pushed_back, may,
            "batch {id}: model and module differ on the pushback"
        );
    }

    /// Every rule on a dispatch, from the whole record.
    fn check_dispatch(&self, id: QueryId, engine: EngineId) {
        let r = &self.records[id as usize];
        let (g, l, now) = (&self.s.classes[r.b.class], &self.lines[engine], self.now);
        assert!(!r.over && now < r.limit, "batch {id} sent after its end");
        assert!(r.out().is_none(), "batch {id} has two dispatches out");
        assert!((r.dispatches.len() as u32) < self.s.max_attempts);
        assert_eq!(
            l.state,
            EndpointState::Ready,
            "sent to an engine told draining or gone"
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
        if let Some(lane) = r.b.endpoint_subset {
            assert!(
                self.lanes[lane as usize]
                    .iter()
                    .any(|tier| tier.contains(engine)),
                "placement by lane"
            );
        }
        match (g.idempotency, r.may_have_run()) {
            (Idempotency::Idempotent, _) | (_, None) => {}
            (Idempotency::NonIdempotent, _) => panic!("once-only batch {id} sent again"),
            (Idempotency::IdempotentByKey { scope, window }, Some(d)) => {
                let a = &self.lines[d.engine];
                let comes_by = now + self.within.last().copied().unwrap_or_default();
                assert!(
                    comes_by <= d.at + window,
                    "referenced batch {id} sent after its window"
                );
                assert!(scope == DeduplicationScope::Everywhere || a.zone == l.zone);
                assert!(scope != DeduplicationScope::Cell || a.cell == l.cell);
            }
        }
        if g.in_order && r.b.ordering_key.is_some() {
            for earlier in self
                .records
                .iter()
                .take(id as usize)
                .filter(|e| e.b.ordering_key == r.b.ordering_key)
            {
                if self.s.classes[earlier.b.class].in_order {
                    self.check_order(earlier);
                }
            }
        }
        if let Some(f) = self.s.retry_budget.filter(|_| !r.dispatches.is_empty()) {
            let made = self.further.iter().filter(|t| **t > now - f.window).count() + 1;
            let taken = self.taken.iter().filter(|t| **t > now - f.window).count();
            assert!(
                made as f64 <= f.floor + f.per_query * taken as f64,
                "further budget"
            );
        }
        if let Some(f) = g.retry_budget.filter(|_| !r.dispatches.is_empty()) {
            let own = || self.records.iter().filter(|o| o.b.class == r.b.class);
            let late = |at: f64| at > now - f.window;
            let further = own()
                .flat_map(|o| o.dispatches.iter().skip(1))
                .filter(|d| late(d.at))
                .count()
                + 1;
            let taken = own().filter(|o| late(o.taken)).count();
            assert!(
                further as f64 <= f.floor + f.per_query * taken as f64,
                "further budget of a group"
            );
        }
        if let (Some(c), Some(up)) = (self.s.slow_start, l.started_at) {
            if now < up + c.duration {
                let all = self.records.iter().flat_map(|r| &r.dispatches);
                let from = self.told[engine].max(now - c.window);
                let sent = all.filter(|d| d.engine == engine && d.at >= from).count() + 1;
                let able =
                    c.initial_fraction + (1.0 - c.initial_fraction) * ((now - up) / c.duration);
                let whole = c.overload_multiple * able * 8.0 * c.window;
                // Its part or, by lot, a tenth of the whole; the sum over gateways has a test of its own.
                let most = (whole / self.s.gateways).max(whole / 10.0);
                assert!(sent as f64 * WORK <= most, "cold engine pushed over");
            }
        }
    }

    fn check_order(&self, earlier: &Record) {
        assert!(earlier.over, "an earlier batch of the key is not over");
        for d in &earlier.dispatches {
            let (end, at) = d
                .outcome
                .expect("an earlier dispatch of the key has no outcome");
            let rests = matches!(
                end,
                AttemptEnd::TimedOut | AttemptEnd::ConnectionLost | AttemptEnd::Cancelled
            );
            assert!(
                !rests || self.now >= at + self.s.key_pause,
                "the key does not rest"
            );
        }
    }

    /// Asks the module until it waits; cancels and probes are answered at once.
    pub fn pump(&mut self) -> f64 {
        for _ in 0..10_000 {
            match self.c.next_action(self.now) {
                NextAction::Wait(span) => {
                    self.spans.push(span);
                    return span;
                }
                NextAction::Subscribe => self.c.update_endpoints(&self.lines, true),
                NextAction::HealthCheck(engine) => {
                    self.probes.push(engine);
                    self.c
                        .health_check_ended(self.now, engine, AttemptEnd::Succeeded);
                }
                NextAction::Cancel(id, n) => {
                    if self.records[id as usize].out() == Some(n as usize) {
                        self.outcome(id, AttemptEnd::Cancelled);
                    }
                }
                NextAction::Place(id) => {
                    self.asked.push(id);
                    self.ask(id);
                }
            }
        }
        panic!("the module never waits");
    }

    fn ask(&mut self, id: QueryId) {
        match self.c.place(self.now, id) {
            Placement::Wait => {}
            Placement::Answer(FinalAnswer::Rejected { .. }) => self.answered(id, true),
            Placement::Answer(FinalAnswer::Failed) => self.answered(id, false),
            Placement::Attempt {
                engine,
                response_timeout: time_out,
                send_timeout: within,
                ..
            } => {
                assert!(within <= time_out, "more than its time-out");
                self.within.push(within);
                self.check_dispatch(id, engine);
                let r = &mut self.records[id as usize];
                assert!(
                    self.now + time_out <= r.limit + 1e-6,
                    "time-out past the limit"
                );
                if !r.dispatches.is_empty() {
                    self.further.push(self.now);
                }
                r.dispatches.push(Dispatch {
                    engine,
                    at: self.now,
                    outcome: None,
                });
            }
        }
    }

    /// Lets time pass; dispatches still out at their batch's limit time out there.
    pub fn pass(&mut self, span: f64) {
        let until = self.now + span;
        loop {
            let wait = self.pump();
            let limits = self
                .records
                .iter()
                .filter(|r| r.out().is_some())
                .map(|r| r.limit.max(self.now));
            let next = limits.fold(self.now + wait, f64::min).min(until);
            self.now = next;
            let due = |r: &&Record| r.out().is_some() && r.limit <= next;
            let late: Vec<QueryId> = self.records.iter().filter(due).map(|r| r.b.id).collect();
            late.into_iter()
                .for_each(|id| self.outcome(id, AttemptEnd::TimedOut));
            if next >= until {
                self.pump();
                return;
            }
        }
    }

    pub fn sent_to(&self, id: QueryId) -> Vec<EngineId> {
        self.records[id as usize]
            .dispatches
            .iter()
            .map(|d| d.engine)
            .collect()
    }
}
