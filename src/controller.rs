//! The decision module: one `AdmissionController` a gateway. A protocol's adapter calls it (today crates/benchlink, later
//! the gateway's own); src/api.rs defines the values that go in and out. The adapter feeds facts (`take`,
//! `listed`, `report`, `probed`, `noted`, `client_gone`), then asks `wait` until it names a time: `wait` says
//! what is due, `place` where a batch goes, `after` what follows an outcome.
//!
//! The ordinary path is the design's: fair queues on a virtual clock, the engine with fewest of our threads a
//! core, a start by chance under a mark. Beside it stand six mechanisms, in modules of their own:
//!  1. `eligibility`, `key_order`, `retry_budget`: the rules, checked wherever a dispatch, pushback or error leaves;
//!  2. `outlier_ejection`: engines whose dispatches fail, beyond what all do, rest and come back one batch at a time;
//!  3. `slow_start`: a started engine counts with the part of its cores that it can use, and has a work budget;
//!  4. `load_shedding`: waiting batches for which there is no time or no room, least utility for the work first;
//!  5. `learning`: work, memory and slowdown a service group, which set estimates and grants;
//!  6. `load`: what reports and answers tell of engines and of whole kinds, and our slice of a kind.
//!
//! `probing` asks engines that were not heard of; `sampling` bounds what a choice looks at in a long list.

mod eligibility;
mod key_order;
mod learning;
mod load;
mod load_shedding;
mod outlier_ejection;
mod probing;
mod retry_budget;
mod sampling;
mod slow_start;

use crate::api::*;
pub use crate::state::AdmissionController;
use crate::state::{
    micros, Candidate, Chance, Due, Engine, Guess, InHand, KindViews, Learned, Queue, Sent, Stage,
};
use load::{average_load, level};
use outlier_ejection::{failing, fit};
use sampling::sample;
use slow_start::holders;
use std::collections::BTreeSet;

const CURVE: f64 = 8.0; // power of the chance's fall past the mark; steep, as work done falls past the knee
const HEAVIEST: f64 = 3.0; // times the usual work up to which the curve steepens; light batches need not wait
const SAMPLED: usize = 256; // engines that a choice looks at in a list of over twice as many
const FEWEST: usize = 32; // candidates of a sample, below which the whole list is looked through
const REDRAW: (f64, f64) = (0.02, 0.06); // seconds until a redraw, drawn evenly; short against any goal
const TICK: f64 = 0.1; // seconds between periodic looks; trouble is followed within a fraction of a second
const STOOD: f64 = 0.3; // seconds between calls from which this gateway stood still; ticks come far sooner
const PROBES: f64 = 0.05; // probes that a batch pays for; else their cost grows as gateways x engines
const KIND_LIFE: f64 = 20.0; // seconds in which work sent to a kind fades; many batches of a slow gateway
const TIE: f64 = 0.3; // marks within which levels are drawn by lot; gateways that heard the same must part
const OVERDUE: f64 = 2.0; // marks an answer counts at most, an overdue dispatch once; one closes no gate
const FAIL_LIFE: f64 = 8.0; // seconds in which an engine's failing share and level fade; answers are rare
const FIRST_GUESS: f64 = 0.1; // share of the limit taken as usual work at first; high, for cold budgets
const YIELD: f64 = 0.85; // share of cores that a pool keeps busy under load; what backlog is held against
const COME_BACK: f64 = 0.4; // part of the goal after which to come back; an answer then still counts
const MARGIN: f64 = 0.02; // seconds kept clear of a limit or window; travel and the caller's tick
const GRANT_FIRST: f64 = 2.0; // grant over the estimate until answers tell; estimates may lie low
const LEAST: f64 = 1e-3; // seconds, cores or work ever divided by or waited for; against odd settings

impl AdmissionController {
    pub fn new(s: Settings, seed: u64, now: f64) -> Self {
        let work = |c: &QueryClass| Guess {
            usual: c.deadline * FIRST_GUESS,
            ..Guess::default()
        };
        let learned = |c| Learned {
            work: work(c),
            grant: GRANT_FIRST,
            slowdown: 1.0,
            ..Learned::default()
        };
        AdmissionController {
            chance: Chance::new(seed),
            g: s.classes.iter().map(|c| c.deadline).fold(0.0, f64::max),
            clock_at: now,
            queues: (0..s.tenants.max(1))
                .map(|_| Queue::new(s.classes.len()))
                .collect(),
            learned: s.classes.iter().map(learned).collect(),
            due: BTreeSet::from([(micros(now), Due::Tick)]),
            ran: (
                s.classes.iter().map(|c| c.threads).sum(),
                s.classes.len() as f64,
            ),
            subscribe: s.subscription_required,
            s,
            ..AdmissionController::default()
        }
    }

    pub fn admit(&mut self, now: f64, b: Query) {
        self.advance(now);
        let b = Query {
            tenant: b.tenant.min(self.queues.len() - 1),
            ..b
        };
        let limit = now + b.remaining_time.max(0.0);
        self.taken_at.add(now);
        if self.s.classes[b.class].retry_budget.is_some() {
            self.learned[b.class].taken_at.add(now);
        }
        let work = self.work(&b);
        self.usual.add(now, KIND_LIFE, work);
        self.latest = Some(b);
        // Bound batches count for their kind when they come: it must not look free because they are shed.
        for k in self.s.classes[b.class].kinds.iter().flatten() {
            self.kinds
                .entry(*k as usize)
                .or_default()
                .sent
                .add(now, KIND_LIFE, work);
        }
        self.may_ask = (self.may_ask + PROBES).min(self.engines.len() as f64);
        self.look |= self.spare_room() < 0.0;
        let stage = if self.s.classes[b.class].in_order && b.ordering_key.is_some() {
            Stage::Held
        } else {
            Stage::Queued
        };
        self.batches.insert(b.id, InHand::new(b, now, limit, stage));
        self.due.insert((micros(limit - MARGIN), Due::Limit(b.id)));
        if stage == Stage::Queued {
            self.enqueue(b.id);
        } else if let Some(key) = b.ordering_key {
            self.keys.entry(key).or_default().line.push_back(b.id);
            self.release(now, key);
        }
    }

    /// New goals, effects and budgets of the groups; whether they keep order stays as it was.
    pub fn update_classes(&mut self, groups: &[QueryClass]) {
        for (old, new) in self.s.classes.iter_mut().zip(groups) {
            *old = QueryClass {
                in_order: old.in_order,
                ..new.clone()
            };
        }
    }

    pub fn update_endpoints(&mut self, lines: &[Endpoint], whole: bool) {
        if whole {
            self.drop_unlisted(lines);
        }
        for l in lines {
            let known = |sizes: &[Option<f64>]| sizes.get(l.kind).copied().flatten();
            let (cores, memory) = (
                known(&self.s.kind_cores).unwrap_or(1.0),
                known(&self.s.kind_memory),
            );
            self.engines
                .resize_with(self.engines.len().max(l.engine + 1), || {
                    Engine::new(cores, memory)
                });
            let e = &mut self.engines[l.engine];
            let another =
                |old: Endpoint| old.state == EndpointState::Removed && l.started_at.is_none();
            if e.line
                .is_none_or(|old| old.started_at != l.started_at || another(old))
            {
                e.forget(Engine::new(cores, memory));
                (e.known_at, e.sample, e.lot) = (self.clock_at, self.latest, self.chance.draw());
            }
            (e.cores, e.memory, e.line) = (cores, memory, Some(*l));
            e.holders = holders(l, self.s.gateways);
            self.relist(l.engine);
        }
        self.count_capacity();
    }

    pub fn endpoint_list_failed(&mut self) {
        self.subscribe = self.s.subscription_required;
    }

    pub fn health_check_ended(&mut self, now: f64, engine: EngineId, end: AttemptEnd) {
        let Some(e) = self.engines.get_mut(engine) else {
            return;
        };
        e.heard = true;
        if end == AttemptEnd::ConnectFailed {
            self.failed(now, engine);
        }
    }

    pub fn attempt_progressed(&mut self, now: f64, id: QueryId, dispatch: u32, note: Progress) {
        let Some(h) = self
            .batches
            .get_mut(&id)
            .filter(|h| h.dispatches == dispatch + 1)
        else {
            return;
        };
        let Some(sent) = h.out.as_mut() else { return };
        sent.heard = now;
        if note == Progress::WaitingForLoad {
            self.recall(now, id);
        }
    }

    pub fn client_left(&mut self, now: f64, id: QueryId) {
        self.advance(now);
        if let Some(h) = self
            .batches
            .get(&id)
            .filter(|h| h.out.is_some() && self.s.cancellation_allowed)
        {
            self.cancels.push_back((id, h.dispatches - 1));
        }
        self.end(now, id);
    }

    /// Whether anybody waits for this batch. Guards against a dispatch for a client that has gone: one whose
    /// connection broke may come again at once, so until then its batch stays in hand but is not sent.
    pub fn set_client_waiting(&mut self, now: f64, id: QueryId, attended: bool) {
        self.advance(now);
        let Some(h) = self
            .batches
            .get_mut(&id)
            .filter(|h| h.unattended == attended)
        else {
            return;
        };
        h.unattended = !attended;
        match (h.stage, attended) {
            (Stage::Queued, true) => self.enqueue(id),
            (Stage::Queued, false) => self.unqueue(id),
            _ => {}
        }
    }

    /// This gateway ends then: no batch in hand has longer.
    pub fn shut_down_at(&mut self, at: f64) {
        self.batches
            .values_mut()
            .for_each(|h| h.limit = h.limit.min(at));
        self.due.extend(
            self.batches
                .keys()
                .map(|id| (micros(at - MARGIN), Due::Limit(*id))),
        );
    }

    /// How long to wait, or what is due now.
    pub fn next_action(&mut self, now: f64) -> NextAction {
        self.advance(now);
        while let Some(&(at, due)) = self.due.first().filter(|(at, _)| *at <= micros(now)) {
            self.due.remove(&(at, due));
            match due {
                Due::Tick => self.tick(now),
                Due::Redraw => {}
                Due::Rested(key) => self.release(now, key),
                Due::Limit(id) => self.give_up(id),
            }
        }
        if std::mem::take(&mut self.subscribe) {
            return NextAction::Subscribe;
        }
        if let Some((id, dispatch)) = self.cancels.pop_front() {
            return NextAction::Cancel(id, dispatch);
        }
        if let Some(engine) = self.probes.pop_front() {
            return NextAction::HealthCheck(engine);
        }
        let next = self
            .due
            .first()
            .map_or(TICK, |(at, _)| *at as f64 / 1e6 - now);
        let mut asked = self.give_ups.pop_front().or_else(|| self.head(now));
        if asked.is_none() && std::mem::take(&mut self.look) {
            self.shed(now);
            asked = self.give_ups.pop_front();
        }
        asked.map_or(NextAction::Wait(next.max(LEAST)), NextAction::Place)
    }

    /// Where to send this batch, or not yet, or never.
    pub fn place(&mut self, now: f64, id: QueryId) -> Placement {
        self.advance(now);
        let Some(h) = self.batches.get(&id) else {
            return Placement::Wait;
        };
        match h.stage {
            Stage::Queued if !self.hopeless(now, h) => match self.choose(now, id) {
                Some(engine) => self.send(now, id, engine),
                None => self.redraw(now, id),
            },
            Stage::Queued | Stage::GivenUp => Placement::Answer(self.answer(now, id)),
            _ => Placement::Wait,
        }
    }

    /// A batch's body was not kept: there is no further dispatch of it.
    pub fn body_discarded(&mut self, id: QueryId) {
        self.batches.entry(id).and_modify(|h| h.unkept = true);
    }

    /// What is answered now for a dispatch whose end is not known and may not be in time. It stays out, its
    /// batch in hand and its key held, until `after` tells that it does not run any more.
    pub fn outcome_unknown(&mut self, now: f64, id: QueryId, o: AttemptOutcome) -> FollowUp {
        self.advance(now);
        let Some(h) = self.batches.get_mut(&id) else {
            return FollowUp::Nothing;
        };
        let (b, stage, Some(sent)) = (h.b, h.stage, h.out) else {
            return FollowUp::Nothing;
        };
        let doubted = sent.doubted || h.may_have_run.is_none();
        h.out = Some(Sent {
            judged: true,
            doubted,
            ..sent
        });
        h.may_have_run.get_or_insert(sent);
        if !sent.judged {
            self.judge(now, &b, sent, &o);
        }
        if stage == Stage::Ended || self.may_go_again(now, &self.batches[&id]) {
            return FollowUp::Nothing;
        }
        FollowUp::Answer(self.answer(now, id))
    }

    /// What to do after this outcome.
    pub fn attempt_ended(&mut self, now: f64, id: QueryId, o: AttemptOutcome) -> FollowUp {
        self.advance(now);
        let Some(sent) = self.batches.get_mut(&id).and_then(|h| h.out.take()) else {
            return FollowUp::Nothing;
        };
        let (b, stage) = (self.batches[&id].b, self.batches[&id].stage);
        let threads = self.s.classes[b.class].threads;
        self.running -= threads;
        let q = &mut self.queues[b.tenant];
        q.running -= 1;
        q.start -= (self.g - (now - sent.at)) * threads;
        let e = &mut self.engines[sent.engine];
        e.lets_go(threads, sent.memory);
        let k = self.kinds.entry(e.kind()).or_default();
        (k.threads, k.memory_used) = (k.threads - threads, k.memory_used - sent.memory);
        if !sent.judged {
            self.judge(now, &b, sent, &o);
        }
        if matches!(
            o.end,
            AttemptEnd::TimedOut | AttemptEnd::ConnectionLost | AttemptEnd::Cancelled
        ) {
            if let Some(key) = b.ordering_key.filter(|_| self.s.classes[b.class].in_order) {
                self.keys.entry(key).or_default().rests_until = now + self.s.key_pause + MARGIN;
            }
        }
        let h = self.batches.get_mut(&id).expect("checked above");
        match o.end {
            AttemptEnd::Rejected
            | AttemptEnd::ConnectFailed
            | AttemptEnd::NotNeeded
            | AttemptEnd::NotSent
                if sent.doubted =>
            {
                h.may_have_run = None
            }
            AttemptEnd::Rejected
            | AttemptEnd::ConnectFailed
            | AttemptEnd::NotNeeded
            | AttemptEnd::NotSent => {}
            _ => drop(h.may_have_run.get_or_insert(sent)),
        }
        if o.query_finished || o.end == AttemptEnd::Succeeded || stage == Stage::Ended {
            self.end(now, id);
            return FollowUp::Nothing;
        }
        if o.end == AttemptEnd::NotNeeded || !self.may_go_again(now, &self.batches[&id]) {
            return FollowUp::Answer(self.answer(now, id));
        }
        self.enqueue(id);
        FollowUp::Nothing
    }

    /// The virtual clock runs at our running threads over the busy queues.
    fn advance(&mut self, now: f64) {
        self.woke = if now - self.clock_at > STOOD {
            now
        } else {
            self.woke
        };
        let busy = self.queues.iter().filter(|q| q.busy()).count().max(1);
        self.clock += (now - self.clock_at).max(0.0) * self.running / busy as f64;
        self.clock_at = self.clock_at.max(now);
    }

    /// Queues a batch, in the order taken; a queue found idle starts at the clock.
    fn enqueue(&mut self, id: QueryId) {
        let Some(h) = self.batches.get_mut(&id) else {
            return;
        };
        h.stage = Stage::Queued;
        if h.unattended {
            return;
        }
        let b = h.b;
        let q = &mut self.queues[b.tenant];
        if !q.busy() {
            q.start = self.clock;
        }
        q.put(b.class, id);
    }

    /// The head with the smallest virtual finish, of queues whose head does not wait to redraw.
    fn head(&self, now: f64) -> Option<QueryId> {
        let head = |q: &Queue| {
            let ready = q
                .lines
                .iter()
                .zip(&q.stalled)
                .filter(|(_, until)| micros(**until) <= micros(now));
            let id = ready.filter_map(|(line, _)| line.front().copied()).min()?;
            Some((
                q.start + self.g * self.s.classes[self.batches[&id].b.class].threads,
                id,
            ))
        };
        self.queues
            .iter()
            .filter_map(head)
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id)
    }

    fn redraw(&mut self, now: f64, id: QueryId) -> Placement {
        let at = now + REDRAW.0 + self.chance.draw() * (REDRAW.1 - REDRAW.0);
        let b = &self.batches[&id].b;
        self.queues[b.tenant].stalled[b.class] = at;
        self.due.insert((micros(at), Due::Redraw));
        Placement::Wait
    }

    /// The engine with fewest of our threads a core, of those that would start the batch at once; where there
    /// is none, the least of all, by chance.
    fn choose(&mut self, now: f64, id: QueryId) -> Option<EngineId> {
        let (candidates, share) = self.candidates(now, id);
        let b = self.batches[&id].b;
        let (need, average) = (self.need(&b), average_load(&candidates));
        let mut kinds = self.kinds_of(now, &candidates, share);
        let locked = self.locked(&b);
        let mut best: Option<([f64; 4], f64, EngineId)> = None;
        for c in &candidates {
            let e = &self.engines[c.engine];
            let kind = kinds.of(c.kind);
            let level = level(now, kind.pool, e);
            let marks = self.marks(&b, need, c, level, kind.pool);
            let full = locked.contains(&c.engine) || marks >= 1.0;
            let load = c.load.unwrap_or(average);
            let drawn = level + TIE * self.chance.draw();
            let rank = [
                f64::from(u8::from(full)),
                load + failing(e, now),
                kind.sent,
                drawn,
            ];
            if best.is_none_or(|(least, ..)| rank < least) {
                best = Some((rank, marks, c.engine));
            }
        }
        // It would stand still there, which costs room.
        let may_stand = |e: &EngineId| !locked.contains(e) || self.spare_room() >= 0.0;
        let (_, marks, engine) = best.filter(|(.., e)| may_stand(e))?;
        let kind = self.engines[engine].kind();
        let marks = marks.max(self.shared(now, kind, kinds.of(kind).able_cores, &b));
        let size = (self.work(&b) / self.usual.mean(now, KIND_LIFE, 0.0).max(LEAST)).min(HEAVIEST);
        let chance = (2.0 - marks).clamp(0.0, 1.0).powf(CURVE * size);
        (marks < 1.0 || self.chance.draw() < chance).then_some(engine)
    }

    /// The engines that a batch may go to now, by index; of a lane, its first preference that has any. Of a long list a random
    /// sample, with the share of the list that was looked at.
    fn candidates(&mut self, now: f64, id: QueryId) -> (Vec<Candidate>, f64) {
        let h = &self.batches[&id];
        if !self.may_leave(now, h) {
            return (Vec::new(), 1.0);
        }
        if self.ready.len() > 2 * SAMPLED && h.b.endpoint_subset.is_none() {
            let sample = sample(&mut self.chance, &self.ready, SAMPLED);
            let found = self.open_to(now, id, &sample);
            if found.len() >= FEWEST {
                return (found, SAMPLED as f64 / self.ready.len() as f64);
            }
        }
        (self.open_to(now, id, &self.ready), 1.0)
    }

    /// Of some engines those that a batch which may leave may go to now.
    fn open_to(&self, now: f64, id: QueryId, engines: &[EngineId]) -> Vec<Candidate> {
        let h = &self.batches[&id];
        let work = self.work(&h.b);
        let open = |engine: &EngineId| {
            let e = &self.engines[*engine];
            let candidate = Candidate::new(*engine, e, self.able_cores(now, e));
            (fit(e, now) && self.allowed(now, h, work, &candidate)).then_some(candidate)
        };
        let mut found = Vec::with_capacity(engines.len());
        let Some(lane) = h.b.endpoint_subset else {
            found.extend(engines.iter().filter_map(open));
            return found;
        };
        for tier in self.tiers(lane) {
            found.extend(
                engines
                    .iter()
                    .filter(|engine| tier.contains(**engine))
                    .filter_map(open),
            );
            if !found.is_empty() {
                break;
            }
        }
        found
    }

    /// What counts alike for all candidates of a kind; they are those in this share of the list.
    fn kinds_of(&self, now: f64, candidates: &[Candidate], share: f64) -> KindViews {
        let mut views = KindViews::default();
        candidates
            .iter()
            .for_each(|c| views.of(c.kind).able_cores += c.able_cores / share);
        for view in views.iter_mut() {
            let sent = self
                .kinds
                .get(&view.kind)
                .map_or(0.0, |k| k.sent.sum(now, KIND_LIFE));
            (view.pool, view.sent) = (self.pool(now, view.kind), sent / view.able_cores);
        }
        views
    }

    /// Engines where a load of ours holds the data set: the batch would stand still there.
    fn locked(&self, b: &Query) -> Vec<EngineId> {
        let group = &self.s.classes[b.class];
        if !group.is_load && !group.waits_for_loads {
            return Vec::new();
        }
        let holds = |h: &&InHand| h.b.data_set == b.data_set && self.s.classes[h.b.class].is_load;
        let loads = self.batches.values().filter(holds);
        loads.filter_map(|h| h.out.map(|s| s.engine)).collect()
    }

    fn send(&mut self, now: f64, id: QueryId, engine: EngineId) -> Placement {
        self.unqueue(id);
        let need = self.need(&self.batches[&id].b);
        let h = self.batches.get_mut(&id).expect("checked by the caller");
        if h.dispatches > 0 {
            self.further_at.add(now);
            if self.s.classes[h.b.class].retry_budget.is_some() {
                self.learned[h.b.class].further_at.add(now);
            }
        }
        h.stage = Stage::Out;
        h.dispatches += 1;
        h.out = Some(Sent::new(engine, now, need));
        let (b, time_out) = (h.b, h.limit - now);
        let c = &self.s.classes[b.class];
        self.running += c.threads;
        let q = &mut self.queues[b.tenant];
        q.running += 1;
        q.start += self.g * c.threads;
        let (work, (due, gone)) = (self.work(&b), self.cold_part(now, &self.engines[engine]));
        let e = &mut self.engines[engine];
        let k = self.kinds.entry(e.kind()).or_default();
        k.sent
            .add(now, KIND_LIFE, if c.kinds.is_none() { work } else { 0.0 });
        (k.threads, k.memory_used) = (k.threads + c.threads, k.memory_used + need);
        e.holds(c.threads, need);
        e.work_sent = gone + work;
        // What is left holds no such batch: the next quantum comes sooner for it.
        if due - e.work_sent < work {
            e.quanta_from = e.work_sent;
        }
        let memory = self.grant(&b, engine);
        // What the window does not hold any more on its arrival is not sent: its connection may come up late.
        let within = self.window_left(now, &self.batches[&id]).min(time_out);
        Placement::Attempt {
            engine,
            response_timeout: time_out,
            send_timeout: within,
            memory_grant: memory,
        }
    }

    /// The final answer the rules allow: pushed back where trying again is harmless, else errored.
    fn answer(&mut self, now: f64, id: QueryId) -> FinalAnswer {
        let h = &self.batches[&id];
        let QueryClass {
            idempotency: effect,
            latency_objective: goal,
            ..
        } = self.s.classes[h.b.class];
        let everywhere = matches!(
            effect,
            Idempotency::IdempotentByKey {
                scope: DeduplicationScope::Everywhere,
                ..
            }
        );
        let harmless = h.may_have_run.is_none() || effect == Idempotency::Idempotent || everywhere;
        let come_back = self
            .s
            .retry_after_allowed
            .then_some(self.s.max_retry_after.min(goal * COME_BACK));
        let answer = if harmless {
            FinalAnswer::Rejected {
                retry_after: come_back,
            }
        } else {
            FinalAnswer::Failed
        };
        self.end(now, id);
        answer
    }

    /// A batch is over for its client; it stays in hand while a dispatch is out.
    fn end(&mut self, now: f64, id: QueryId) {
        let Some(h) = self.batches.get(&id) else {
            return;
        };
        let (b, out, limit) = (h.b, h.out.is_some(), h.limit);
        self.unqueue(id);
        self.due.remove(&(micros(limit - MARGIN), Due::Limit(id)));
        if let Some(h) = self.batches.get_mut(&id).filter(|_| out) {
            h.stage = Stage::Ended;
            return;
        }
        self.batches.remove(&id);
        if let Some(key) = b.ordering_key.filter(|_| self.s.classes[b.class].in_order) {
            if let Some(k) = self.keys.get_mut(&key) {
                k.line.retain(|other| *other != id);
            }
            self.release(now, key);
        }
    }

    fn give_up(&mut self, id: QueryId) {
        let waits = |h: &&mut InHand| matches!(h.stage, Stage::Held | Stage::Queued);
        if let Some(h) = self.batches.get_mut(&id).filter(waits) {
            h.stage = Stage::GivenUp;
            self.give_ups.push_back(id);
            self.unqueue(id);
        }
    }

    fn tick(&mut self, now: f64) {
        self.due.insert((micros(now + TICK), Due::Tick));
        let window = self.s.retry_budget.map_or(0.0, |f| f.window) + 1.0;
        [&mut self.taken_at, &mut self.further_at]
            .into_iter()
            .for_each(|w| w.forget(now - window));
        for (group, l) in self.s.classes.iter().zip(&mut self.learned) {
            let window = group.retry_budget.map_or(0.0, |f| f.window) + 1.0;
            [&mut l.taken_at, &mut l.further_at]
                .into_iter()
                .for_each(|w| w.forget(now - window));
        }
        self.probe(now);
        self.watch(now);
        self.look = true;
    }
}
