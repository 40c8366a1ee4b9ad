//! The decision module: one `Control` a gateway. A protocol's adapter calls it (today crates/benchlink, later
//! the gateway's own); src/api.rs defines the values that go in and out. The adapter feeds facts (`take`,
//! `listed`, `report`, `probed`, `noted`, `client_gone`), then asks `wait` until it names a time: `wait` says
//! what is due, `place` where a batch goes, `after` what follows an outcome.
//!
//! The ordinary path is the design's: fair queues on a virtual clock, the engine with fewest of our threads a
//! core, a start by chance under a mark. Beside it stand six mechanisms:
//!  1. guard: `allowed`, the rules, checked wherever a dispatch, pushback or error leaves;
//!  2. health: engines whose dispatches fail, beyond what all do, rest and come back one batch at a time;
//!  3. cold care: a started engine counts with the part of its cores that it can use, and has a work budget;
//!  4. shedding: waiting batches for which there is no time or no room, least utility for the work first;
//!  5. learning: work, memory and slowdown a service group, which set estimates and grants;
//!  6. levels: what reports and answers tell of engines and of whole kinds, and our slice of a kind.

use crate::api::*;
pub use crate::state::Control;
use crate::state::{
    micros, Candidate, Chance, Due, Engine, Guess, InHand, KeyLine, KindViews, Learned, Level, Queue, Sent,
    Stage, Window,
};
use std::collections::BTreeSet;

const MARK: f64 = 1.5; // threads a core that an engine is filled to; the design's figure
const MEMORY_MARK: f64 = 0.7; // share of memory that stands for the mark; gateways are uneven, needs guesses
const UNEVEN: f64 = 1.2; // slices of memory a gateway may fill while nothing is pressed; gateways are uneven
const BUSY_AT_MARK: f64 = 0.9; // share of cores busy that stands for the mark; threads also read and write
const CURVE: f64 = 8.0; // power of the chance's fall past the mark; steep, as work done falls past the knee
const HEAVIEST: f64 = 3.0; // times the usual work up to which the curve steepens; light batches need not wait
const SAMPLED: usize = 256; // engines that a choice looks at in a list of over twice as many
const FEWEST: usize = 32; // candidates of a sample, below which the whole list is looked through
const REDRAW: (f64, f64) = (0.02, 0.06); // seconds until a redraw, drawn evenly; short against any goal
const TICK: f64 = 0.1; // seconds between periodic looks; trouble is followed within a fraction of a second
const STOOD: f64 = 0.3; // seconds between calls from which this gateway stood still; ticks come far sooner
const PROBE_EVERY: f64 = 1.5; // seconds between probes of an engine; reports age by half, probes have a price
const PROBES: f64 = 0.05; // probes that a batch pays for; else their cost grows as gateways x engines
const HEARD_LIFE: f64 = 2.0; // seconds in which what was heard of a kind fades; a jam comes that fast
const KIND_LIFE: f64 = 20.0; // seconds in which work sent to a kind fades; many batches of a slow gateway
const IDLE_GUESS: f64 = 0.5; // weight of the guess that a kind is idle; half a thing heard just now
const TIE: f64 = 0.3; // marks within which levels are drawn by lot; gateways that heard the same must part
const FLOODED: f64 = 2.0; // marks of our own threads that are pressure alone; cores idle while disks are full
const SLOW: f64 = 2.0; // latency over bare work at the mark; threads share cores and wait for disks
const OVERDUE: f64 = 2.0; // marks an answer counts at most, an overdue dispatch once; one closes no gate
const USED_UP: f64 = 0.95; // share of disks busy at the mark; reports are noisy
const WAITING_BUSY: f64 = 0.1; // batches a core waiting for memory at the mark; any line is a bad sign
const FAIL_WEIGHT: f64 = 0.3; // of a failed dispatch in a failing share; a good one's is half of it
const FAILING: f64 = 0.75; // failing share from which an engine rests; one that fails in part still serves
const APART: f64 = 2.0; // times the pool's mean that it must be; where all fail alike resting loses more
const FAIL_LIFE: f64 = 8.0; // seconds in which an engine's failing share and level fade; answers are rare
const REST: f64 = 2.0; // seconds that an engine rests; about the shortest trouble
const LEARN: f64 = 0.02; // weight of one answer in learned averages; the last fifty or so count
const SLOWEST: f64 = 20.0; // times its bare work one answer counts at most; one that stood still tells little
const FIRST_GUESS: f64 = 0.1; // share of the limit taken as usual work at first; high, for cold budgets
const COLD_PART: f64 = 0.6; // part of a cold budget that we use; the rest is for chance, uneven gateways
const COLD_LUMP: f64 = 0.1; // part of a cold budget one batch may be; few large ones add up by chance
const COLD_SAVED: f64 = 0.6; // windows of our part that may be sent late; more adds up when all send in step
const YIELD: f64 = 0.85; // share of cores that a pool keeps busy under load; what backlog is held against
const SLACK_USE: f64 = 0.4; // part of the time to a goal that work ahead may take; both are guesses
const MOST: f64 = 0.9; // part of goal and limit a service needs at most; no group may shut itself out
const UNSURE: f64 = 1.5; // times the usual service, for goals; divided by it, for limits; most are short
const ROOMY: f64 = 0.5; // part of our room from which waiting is a price; the rest is for bursts
const LATE_SLACK: f64 = 0.2; // seconds left to a batch past its goal; better work goes first
const COME_BACK: f64 = 0.4; // part of the goal after which to come back; an answer then still counts
const MARGIN: f64 = 0.02; // seconds kept clear of a limit or window; travel and the caller's tick
const GRANT_COVERS: f64 = 0.85; // share of batches that grants cover; a spill costs more than spare memory
const GRANT_FIRST: f64 = 2.0; // grant over the estimate until answers tell; estimates may lie low
const GRANT_STEP: f64 = 0.05; // part by which one answer moves it; some twenty settle it
const QUIET: f64 = 2.5; // notes missed after which a dispatch is lost; one may be late, two hardly
const LEAST: f64 = 1e-3; // seconds, cores or work ever divided by or waited for; against odd settings

impl Control {
    pub fn new(s: Settings, seed: u64, now: f64) -> Self {
        let work = |c: &ServiceGroup| Guess { usual: c.limit * FIRST_GUESS, ..Guess::default() };
        let learned = |c| Learned { work: work(c), grant: GRANT_FIRST, slowdown: 1.0, ..Learned::default() };
        Control {
            chance: Chance::new(seed),
            g: s.groups.iter().map(|c| c.limit).fold(0.0, f64::max),
            clock_at: now,
            queues: (0..s.tenants.max(1)).map(|_| Queue::new(s.groups.len())).collect(),
            learned: s.groups.iter().map(learned).collect(),
            due: BTreeSet::from([(micros(now), Due::Tick)]),
            ran: (s.groups.iter().map(|c| c.threads).sum(), s.groups.len() as f64),
            subscribe: s.list_on_request,
            s,
            ..Control::default()
        }
    }

    pub fn take(&mut self, now: f64, b: Batch) {
        self.advance(now);
        let b = Batch { tenant: b.tenant.min(self.queues.len() - 1), ..b };
        let limit = now + b.left.max(0.0);
        self.taken_at.add(now);
        if self.s.groups[b.group].further.is_some() {
            self.learned[b.group].taken_at.add(now);
        }
        let work = self.work(&b);
        self.usual.add(now, KIND_LIFE, work);
        self.latest = Some(b);
        // Bound batches count for their kind when they come: it must not look free because they are shed.
        for k in self.s.groups[b.group].kinds.iter().flatten() {
            self.kinds.entry(*k as usize).or_default().sent.add(now, KIND_LIFE, work);
        }
        self.may_ask = (self.may_ask + PROBES).min(self.engines.len() as f64);
        self.look |= self.spare_room() < 0.0;
        let stage =
            if self.s.groups[b.group].in_order && b.key.is_some() { Stage::Held } else { Stage::Queued };
        self.batches.insert(b.id, InHand::new(b, now, limit, stage));
        self.due.insert((micros(limit - MARGIN), Due::Limit(b.id)));
        if stage == Stage::Queued {
            self.enqueue(b.id);
        } else if let Some(key) = b.key {
            self.keys.entry(key).or_default().line.push_back(b.id);
            self.release(now, key);
        }
    }

    /// A dispatch of this key that an earlier process sent may still run: the key rests until then.
    pub fn rest(&mut self, key: u64, until: f64) {
        let k = self.keys.entry(key).or_default();
        k.rests_until = k.rests_until.max(until);
        self.due.insert((micros(k.rests_until), Due::Rested(key)));
    }

    /// New goals, effects and budgets of the groups; whether they keep order stays as it was.
    pub fn regroup(&mut self, groups: &[ServiceGroup]) {
        for (old, new) in self.s.groups.iter_mut().zip(groups) {
            *old = ServiceGroup { in_order: old.in_order, ..new.clone() };
        }
    }

    pub fn listed(&mut self, lines: &[Listed], whole: bool) {
        if whole {
            self.drop_unlisted(lines);
        }
        for l in lines {
            let known = |sizes: &[Option<f64>]| sizes.get(l.kind).copied().flatten();
            let (cores, memory) = (known(&self.s.kind_cores).unwrap_or(1.0), known(&self.s.kind_memory));
            self.engines.resize_with(self.engines.len().max(l.engine + 1), || Engine::new(cores, memory));
            let e = &mut self.engines[l.engine];
            let another = |old: Listed| old.condition == Condition::Gone && l.came_up.is_none();
            if e.line.is_none_or(|old| old.came_up != l.came_up || another(old)) {
                e.forget(Engine::new(cores, memory));
                (e.known_at, e.sample, e.lot) = (self.clock_at, self.latest, self.chance.draw());
            }
            (e.cores, e.memory, e.line) = (cores, memory, Some(*l));
            e.holders = holders(l, self.s.gateways);
            self.relist(l.engine);
        }
        self.count_capacity();
    }

    pub fn list_failed(&mut self) {
        self.subscribe = self.s.list_on_request;
    }

    pub fn report(&mut self, now: f64, engine: EngineId, report: Report) {
        let Some(e) = self.engines.get_mut(engine) else { return };
        (e.heard, e.threads_then) = (true, e.threads);
        let waiting = report.waiting.map_or(0.0, |w| w / (WAITING_BUSY * e.cores));
        let disks = report.disks.map_or(0.0, |share| share / USED_UP);
        let (thread_seconds, seconds) = self.ran;
        let threads = report.held.map_or(0.0, |n| n * thread_seconds / seconds.max(LEAST));
        self.tells_cores = report.utilisation.is_some();
        let cores = report.utilisation.map_or(0.0, |u| u / BUSY_AT_MARK);
        let marks = cores.max(disks).max(waiting.min(2.0)).max(threads / (e.cores * MARK));
        self.kinds.entry(e.kind()).or_default().told.add(now, HEARD_LIFE, marks);
        let pool = self.pool(now, self.engines[engine].kind());
        let e = &mut self.engines[engine];
        let level = level(now, pool, e);
        (e.level, e.level_at, e.told_at) = (marks.max((marks + level) / 2.0), now, now);
    }

    /// Takes an answer's word on load; while a report is fresh it ranks the engine but does not close it.
    /// Guards against engines that look idle because all that they hold stands still.
    fn feel(&mut self, now: f64, engine: EngineId, marks: f64) {
        let kind = self.engines[engine].kind();
        self.kinds.entry(kind).or_default().felt.add(now, HEARD_LIFE, marks);
        let pool = self.pool(now, kind);
        let e = &mut self.engines[engine];
        let level = level(now, pool, e);
        if marks > level {
            let since = (e.threads - e.threads_then) / (e.cores * MARK);
            let most = if now - e.told_at < HEARD_LIFE { level.max(1.0 - LEAST) } else { OVERDUE };
            (e.level, e.level_at) = (((level + marks) / 2.0).min(most) - since, now);
        }
    }

    /// Marks at which engines of a kind are held to run, by reports or by how slow answers are. Where no
    /// utilisation is told, what reports tell counts under pressure only.
    fn pool(&self, now: f64, kind: usize) -> f64 {
        let Some(k) = self.kinds.get(&kind) else { return 0.0 };
        let mean = |l: &Level| l.mean(now, HEARD_LIFE, IDLE_GUESS);
        let (told, felt) = (mean(&k.told), mean(&k.felt));
        let told = if felt >= 1.0 || self.tells_cores { told } else { 0.0 };
        told.max(felt)
    }

    /// Our threads, under pressure, and memory in marks of our slice of a whole kind. Guards against many
    /// gateways that each start little, together too much: a slice of one engine is less than a batch.
    fn shared(&self, now: f64, kind: usize, cores: f64, b: &Batch) -> f64 {
        let (pool, need, threads) = (self.pool(now, kind), self.need(b), self.s.groups[b.group].threads);
        let Some(k) = self.kinds.get(&kind) else { return 0.0 };
        let holders = k.ready.holders(self.s.gateways);
        let by_threads = (k.threads + threads) / (cores * MARK / holders).max(threads);
        let memory = k.ready.memory * cores / k.ready.cores.max(LEAST);
        let slice = (memory * MEMORY_MARK / holders).max(need).max(LEAST);
        let by_memory = if k.ready.memory > 0.0 { (k.memory_used + need) / slice } else { 0.0 };
        if pool < 1.0 {
            by_memory / UNEVEN
        } else {
            (pool + by_threads.max(by_memory)) / 2.0
        }
    }

    pub fn probed(&mut self, now: f64, engine: EngineId, end: End) {
        let Some(e) = self.engines.get_mut(engine) else { return };
        e.heard = true;
        if end == End::Unconnected {
            self.failed(now, engine);
        }
    }

    pub fn noted(&mut self, now: f64, id: BatchId, dispatch: u32, note: Note) {
        let Some(h) = self.batches.get_mut(&id).filter(|h| h.dispatches == dispatch + 1) else { return };
        let Some(sent) = h.out.as_mut() else { return };
        sent.heard = now;
        if note == Note::WaitsForLoad {
            self.recall(now, id);
        }
    }

    /// Takes back a dispatch that stands still where the batch may run again elsewhere.
    fn recall(&mut self, now: f64, id: BatchId) {
        let h = &self.batches[&id];
        let repeatable = self.s.groups[h.b.group].effect == Effect::Repeatable;
        if repeatable && h.stage == Stage::Out && self.s.may_cancel && self.may_go_again(now, h) {
            self.cancels.push_back((id, h.dispatches - 1));
        }
    }

    pub fn client_gone(&mut self, now: f64, id: BatchId) {
        self.advance(now);
        if let Some(h) = self.batches.get(&id).filter(|h| h.out.is_some() && self.s.may_cancel) {
            self.cancels.push_back((id, h.dispatches - 1));
        }
        self.end(now, id);
    }

    /// Whether anybody waits for this batch. Guards against a dispatch for a client that has gone: one whose
    /// connection broke may come again at once, so until then its batch stays in hand but is not sent.
    pub fn attended(&mut self, now: f64, id: BatchId, attended: bool) {
        self.advance(now);
        let Some(h) = self.batches.get_mut(&id).filter(|h| h.unattended == attended) else { return };
        h.unattended = !attended;
        match (h.stage, attended) {
            (Stage::Queued, true) => self.enqueue(id),
            (Stage::Queued, false) => self.unqueue(id),
            _ => {}
        }
    }

    /// This gateway ends then: no batch in hand has longer.
    pub fn ends(&mut self, at: f64) {
        self.batches.values_mut().for_each(|h| h.limit = h.limit.min(at));
        self.due.extend(self.batches.keys().map(|id| (micros(at - MARGIN), Due::Limit(*id))));
    }

    /// How long to wait, or what is due now.
    pub fn wait(&mut self, now: f64) -> Wait {
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
            return Wait::Subscribe;
        }
        if let Some((id, dispatch)) = self.cancels.pop_front() {
            return Wait::Cancel(id, dispatch);
        }
        if let Some(engine) = self.probes.pop_front() {
            return Wait::Probe(engine);
        }
        let next = self.due.first().map_or(TICK, |(at, _)| *at as f64 / 1e6 - now);
        let mut asked = self.give_ups.pop_front().or_else(|| self.head(now));
        if asked.is_none() && std::mem::take(&mut self.look) {
            self.shed(now);
            asked = self.give_ups.pop_front();
        }
        asked.map_or(Wait::For(next.max(LEAST)), Wait::Ask)
    }

    /// Where to send this batch, or not yet, or never.
    pub fn place(&mut self, now: f64, id: BatchId) -> Place {
        self.advance(now);
        let Some(h) = self.batches.get(&id) else { return Place::NotYet };
        match h.stage {
            Stage::Queued if !self.hopeless(now, h) => match self.choose(now, id) {
                Some(engine) => self.send(now, id, engine),
                None => self.redraw(now, id),
            },
            Stage::Queued | Stage::GivenUp => Place::Over(self.answer(now, id)),
            _ => Place::NotYet,
        }
    }

    /// No answer that earns anything can come in time, or the rules now forbid the dispatch it waits for.
    fn hopeless(&self, now: f64, h: &InHand) -> bool {
        let (density, wait) = self.prospect(now, h);
        density <= 0.0 || wait < 0.0 || (h.dispatches > 0 && !self.may_go_again(now, h))
    }

    /// A batch's body was not kept: there is no further dispatch of it.
    pub fn not_kept(&mut self, id: BatchId) {
        self.batches.entry(id).and_modify(|h| h.unkept = true);
    }

    /// What is answered now for a dispatch whose end is not known and may not be in time. It stays out, its
    /// batch in hand and its key held, until `after` tells that it does not run any more.
    pub fn in_doubt(&mut self, now: f64, id: BatchId, o: Outcome) -> Next {
        self.advance(now);
        let Some(h) = self.batches.get_mut(&id) else { return Next::Nothing };
        let (b, stage, Some(sent)) = (h.b, h.stage, h.out) else { return Next::Nothing };
        let doubted = sent.doubted || h.may_have_run.is_none();
        h.out = Some(Sent { judged: true, doubted, ..sent });
        h.may_have_run.get_or_insert(sent);
        if !sent.judged {
            self.judge(now, &b, sent, &o);
        }
        if stage == Stage::Ended || self.may_go_again(now, &self.batches[&id]) {
            return Next::Nothing;
        }
        Next::Over(self.answer(now, id))
    }

    /// What to do after this outcome.
    pub fn after(&mut self, now: f64, id: BatchId, o: Outcome) -> Next {
        self.advance(now);
        let Some(sent) = self.batches.get_mut(&id).and_then(|h| h.out.take()) else { return Next::Nothing };
        let (b, stage) = (self.batches[&id].b, self.batches[&id].stage);
        let threads = self.s.groups[b.group].threads;
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
        if matches!(o.end, End::TimedOut | End::Broken | End::Withdrawn) {
            if let Some(key) = b.key.filter(|_| self.s.groups[b.group].in_order) {
                self.keys.entry(key).or_default().rests_until = now + self.s.key_rest + MARGIN;
            }
        }
        let h = self.batches.get_mut(&id).expect("checked above");
        match o.end {
            End::Full | End::Unconnected | End::Moot | End::NotSent if sent.doubted => h.may_have_run = None,
            End::Full | End::Unconnected | End::Moot | End::NotSent => {}
            _ => drop(h.may_have_run.get_or_insert(sent)),
        }
        if o.closed || o.end == End::Returned || stage == Stage::Ended {
            self.end(now, id);
            return Next::Nothing;
        }
        if o.end == End::Moot || !self.may_go_again(now, &self.batches[&id]) {
            return Next::Over(self.answer(now, id));
        }
        self.enqueue(id);
        Next::Nothing
    }

    /// The virtual clock runs at our running threads over the busy queues.
    fn advance(&mut self, now: f64) {
        self.woke = if now - self.clock_at > STOOD { now } else { self.woke };
        let busy = self.queues.iter().filter(|q| q.busy()).count().max(1);
        self.clock += (now - self.clock_at).max(0.0) * self.running / busy as f64;
        self.clock_at = self.clock_at.max(now);
    }

    /// Queues a batch, in the order taken; a queue found idle starts at the clock.
    fn enqueue(&mut self, id: BatchId) {
        let Some(h) = self.batches.get_mut(&id) else { return };
        h.stage = Stage::Queued;
        if h.unattended {
            return;
        }
        let b = h.b;
        let q = &mut self.queues[b.tenant];
        if !q.busy() {
            q.start = self.clock;
        }
        q.put(b.group, id);
    }

    /// The head with the smallest virtual finish, of queues whose head does not wait to redraw.
    fn head(&self, now: f64) -> Option<BatchId> {
        let head = |q: &Queue| {
            let ready = q.lines.iter().zip(&q.stalled).filter(|(_, until)| micros(**until) <= micros(now));
            let id = ready.filter_map(|(line, _)| line.front().copied()).min()?;
            Some((q.start + self.g * self.s.groups[self.batches[&id].b.group].threads, id))
        };
        self.queues.iter().filter_map(head).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    fn redraw(&mut self, now: f64, id: BatchId) -> Place {
        let at = now + REDRAW.0 + self.chance.draw() * (REDRAW.1 - REDRAW.0);
        let b = &self.batches[&id].b;
        self.queues[b.tenant].stalled[b.group] = at;
        self.due.insert((micros(at), Due::Redraw));
        Place::NotYet
    }

    /// The engine with fewest of our threads a core, of those that would start the batch at once; where there
    /// is none, the least of all, by chance.
    fn choose(&mut self, now: f64, id: BatchId) -> Option<EngineId> {
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
            let rank = [f64::from(u8::from(full)), load + failing(e, now), kind.sent, drawn];
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
    fn candidates(&mut self, now: f64, id: BatchId) -> (Vec<Candidate>, f64) {
        let h = &self.batches[&id];
        if !self.may_leave(now, h) {
            return (Vec::new(), 1.0);
        }
        if self.ready.len() > 2 * SAMPLED && h.b.lane.is_none() {
            let sample = sample(&mut self.chance, &self.ready, SAMPLED);
            let found = self.open_to(now, id, &sample);
            if found.len() >= FEWEST {
                return (found, SAMPLED as f64 / self.ready.len() as f64);
            }
        }
        (self.open_to(now, id, &self.ready), 1.0)
    }

    /// Of some engines those that a batch which may leave may go to now.
    fn open_to(&self, now: f64, id: BatchId, engines: &[EngineId]) -> Vec<Candidate> {
        let h = &self.batches[&id];
        let work = self.work(&h.b);
        let open = |engine: &EngineId| {
            let e = &self.engines[*engine];
            let candidate = Candidate::new(*engine, e, self.able_cores(now, e));
            (fit(e, now) && self.allowed(now, h, work, &candidate)).then_some(candidate)
        };
        let mut found = Vec::with_capacity(engines.len());
        let Some(lane) = h.b.lane else {
            found.extend(engines.iter().filter_map(open));
            return found;
        };
        for tier in self.tiers(lane) {
            found.extend(engines.iter().filter(|engine| tier.holds(**engine)).filter_map(open));
            if !found.is_empty() {
                break;
            }
        }
        found
    }

    /// What counts alike for all candidates of a kind; they are those in this share of the list.
    fn kinds_of(&self, now: f64, candidates: &[Candidate], share: f64) -> KindViews {
        let mut views = KindViews::default();
        candidates.iter().for_each(|c| views.of(c.kind).able_cores += c.able_cores / share);
        for view in views.iter_mut() {
            let sent = self.kinds.get(&view.kind).map_or(0.0, |k| k.sent.sum(now, KIND_LIFE));
            (view.pool, view.sent) = (self.pool(now, view.kind), sent / view.able_cores);
        }
        views
    }

    /// Engines where a load of ours holds the data set: the batch would stand still there.
    fn locked(&self, b: &Batch) -> Vec<EngineId> {
        let group = &self.s.groups[b.group];
        if !group.is_load && !group.waits_for_loads {
            return Vec::new();
        }
        let holds = |h: &&InHand| h.b.data_set == b.data_set && self.s.groups[h.b.group].is_load;
        let loads = self.batches.values().filter(holds);
        loads.filter_map(|h| h.out.map(|s| s.engine)).collect()
    }

    /// How full an engine is with this batch, in marks: by its reported utilisation or our threads against
    /// our slice, and by the memory of ours, which guards against spilling and paging.
    fn marks(&self, b: &Batch, need: f64, c: &Candidate, level: f64, pool: f64) -> f64 {
        let (e, threads) = (&self.engines[c.engine], self.s.groups[b.group].threads);
        let ours = (e.threads + threads) / (c.able_cores * MARK / e.holders).max(threads);
        let told = if !self.tells_cores && pool < 1.0 { 0.0 } else { level };
        let by_threads = if told < 1.0 && ours <= FLOODED { told } else { told.max(ours) };
        let room = |m: f64| (m * MEMORY_MARK / e.holders).max(need);
        let by_memory = e.memory.map_or(0.0, |m| (e.memory_used + need) / room(m));
        by_threads.max(by_memory)
    }

    fn send(&mut self, now: f64, id: BatchId, engine: EngineId) -> Place {
        self.unqueue(id);
        let need = self.need(&self.batches[&id].b);
        let h = self.batches.get_mut(&id).expect("checked by the caller");
        if h.dispatches > 0 {
            self.further_at.add(now);
            if self.s.groups[h.b.group].further.is_some() {
                self.learned[h.b.group].further_at.add(now);
            }
        }
        h.stage = Stage::Out;
        h.dispatches += 1;
        h.out = Some(Sent::new(engine, now, need));
        let (b, time_out) = (h.b, h.limit - now);
        let c = &self.s.groups[b.group];
        self.running += c.threads;
        let q = &mut self.queues[b.tenant];
        q.running += 1;
        q.start += self.g * c.threads;
        let (work, (due, gone)) = (self.work(&b), self.cold_part(now, &self.engines[engine]));
        let e = &mut self.engines[engine];
        let k = self.kinds.entry(e.kind()).or_default();
        k.sent.add(now, KIND_LIFE, if c.kinds.is_none() { work } else { 0.0 });
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
        Place::To { engine, time_out, within, memory }
    }

    // ---- 1: the guard ----

    /// Whether the rules let this batch leave now, wherever it goes.
    fn may_leave(&self, now: f64, h: &InHand) -> bool {
        h.stage == Stage::Queued
            && !h.unattended
            && h.out.is_none()
            && now < h.limit - MARGIN
            && (h.dispatches == 0 || self.may_go_again(now, h))
    }

    /// Whether the rules let a batch that may leave go to this engine now.
    fn allowed(&self, now: f64, h: &InHand, work: f64, c: &Candidate) -> bool {
        let (Some(line), group) = (self.engines[c.engine].line, &self.s.groups[h.b.group]) else {
            return false;
        };
        let named = |list: &Option<Vec<u32>>, v: u32| list.as_ref().is_none_or(|l| l.contains(&v));
        line.condition == Condition::Ready
            && named(&group.zones, line.zone)
            && named(&group.kinds, line.kind as u32)
            && h.b.lane.is_none_or(|lane| self.tiers(lane).iter().any(|tier| tier.holds(c.engine)))
            && self.in_scope(h, c.engine)
            && self.cold_room(now, c, work)
    }

    /// Whether the rules let a batch have another dispatch anywhere.
    fn may_go_again(&self, now: f64, h: &InHand) -> bool {
        self.window_left(now, h) > 0.0
            && !h.unkept
            && now < h.limit - MARGIN
            && h.dispatches < self.s.max_dispatches
            && self.further_left(now, h.b.group)
    }

    /// How long a dispatch of this batch can still come to an engine without a second effect.
    fn window_left(&self, now: f64, h: &InHand) -> f64 {
        match (h.may_have_run, self.s.groups[h.b.group].effect) {
            (None, _) | (_, Effect::Repeatable) => f64::INFINITY,
            (Some(_), Effect::OnceOnly) => 0.0,
            (Some(first), Effect::Referenced { window, .. }) => first.at + window - MARGIN - now,
        }
    }

    fn in_scope(&self, h: &InHand, engine: EngineId) -> bool {
        let Effect::Referenced { scope, .. } = self.s.groups[h.b.group].effect else { return true };
        let cell = u32::from(scope == Scope::Cell);
        let place = |e: EngineId| self.engines[e].line.map(|l| (l.zone, l.cell * cell));
        h.may_have_run.is_none_or(|first| scope == Scope::Everywhere || place(first.engine) == place(engine))
    }

    fn further_left(&self, now: f64, group: usize) -> bool {
        let fits = |f: FurtherBudget, taken: &Window, further: &Window| {
            let taken = taken.since(now - f.window + MARGIN);
            further.since(now - f.window - MARGIN) + 1.0 <= f.floor + f.per_batch * taken
        };
        let own = &self.learned[group];
        self.s.further.is_none_or(|f| fits(f, &self.taken_at, &self.further_at))
            && self.s.groups[group].further.is_none_or(|f| fits(f, &own.taken_at, &own.further_at))
    }

    /// The final answer the rules allow: pushed back where trying again is harmless, else errored.
    fn answer(&mut self, now: f64, id: BatchId) -> Answer {
        let h = &self.batches[&id];
        let ServiceGroup { effect, goal, .. } = self.s.groups[h.b.group];
        let everywhere = matches!(effect, Effect::Referenced { scope: Scope::Everywhere, .. });
        let harmless = h.may_have_run.is_none() || effect == Effect::Repeatable || everywhere;
        let come_back = self.s.names_return.then_some(self.s.longest_return.min(goal * COME_BACK));
        let answer = if harmless { Answer::PushBack { come_back } } else { Answer::Error };
        self.end(now, id);
        answer
    }

    /// A batch is over for its client; it stays in hand while a dispatch is out.
    fn end(&mut self, now: f64, id: BatchId) {
        let Some(h) = self.batches.get(&id) else { return };
        let (b, out, limit) = (h.b, h.out.is_some(), h.limit);
        self.unqueue(id);
        self.due.remove(&(micros(limit - MARGIN), Due::Limit(id)));
        if let Some(h) = self.batches.get_mut(&id).filter(|_| out) {
            h.stage = Stage::Ended;
            return;
        }
        self.batches.remove(&id);
        if let Some(key) = b.key.filter(|_| self.s.groups[b.group].in_order) {
            if let Some(k) = self.keys.get_mut(&key) {
                k.line.retain(|other| *other != id);
            }
            self.release(now, key);
        }
    }

    /// Lets the first batch of a key go once the one before it is over and the key has rested.
    fn release(&mut self, now: f64, key: u64) {
        let Some(k) = self.keys.get(&key) else { return };
        if micros(k.rests_until) > micros(now) {
            self.due.insert((micros(k.rests_until), Due::Rested(key)));
            return;
        }
        match k.line.front().copied() {
            None => drop(self.keys.remove(&key)),
            Some(id) if self.batches[&id].stage == Stage::Held => self.enqueue(id),
            Some(_) => {}
        }
    }

    fn give_up(&mut self, id: BatchId) {
        let waits = |h: &&mut InHand| matches!(h.stage, Stage::Held | Stage::Queued);
        if let Some(h) = self.batches.get_mut(&id).filter(waits) {
            h.stage = Stage::GivenUp;
            self.give_ups.push_back(id);
            self.unqueue(id);
        }
    }

    // ---- 2: health ----

    fn judge(&mut self, now: f64, b: &Batch, sent: Sent, o: &Outcome) {
        let threads = self.s.groups[b.group].threads;
        // What was out while we stood still says nothing: its answer may have waited for us.
        let took = if sent.at < self.woke { 0.0 } else { o.latency };
        let slowdown = took * threads / o.work.unwrap_or(self.work(b)).max(LEAST);
        if matches!(o.end, End::Returned | End::TimedOut) {
            self.ran = (self.ran.0 + o.latency * threads, self.ran.1 + o.latency);
            if !sent.overdue && o.end == End::Returned {
                self.feel(now, sent.engine, (slowdown / SLOW).min(OVERDUE));
            }
        }
        let e = &mut self.engines[sent.engine];
        e.heard = true;
        match o.end {
            End::Returned => {
                (e.last_good, e.failing) = (now, e.failing * (1.0 - FAIL_WEIGHT / 2.0));
                self.learn(b, o, slowdown);
            }
            End::Full => {
                e.rests_until = e.rests_until.max(now + REDRAW.1);
                self.feel(now, sent.engine, OVERDUE);
            }
            End::TimedOut | End::Withdrawn if e.last_good >= sent.at => {}
            End::Moot | End::NotSent => {}
            _ => self.failed(now, sent.engine),
        }
    }

    /// Guards against engines that fail quickly, are dead or silent. Where all fail alike none rests.
    fn failed(&mut self, now: f64, engine: EngineId) {
        let sum: f64 = self.ready.iter().map(|e| failing(&self.engines[*e], now)).sum();
        let mean = sum / self.ready.len().max(1) as f64;
        let e = &mut self.engines[engine];
        let before = failing(e, now);
        (e.failing, e.failed_at) = (before + (1.0 - before) * FAIL_WEIGHT, now);
        if e.failing > FAILING && e.failing > APART * mean && e.rests_until <= now {
            e.rests_until = now + REST;
        }
    }

    /// Guards against dispatches that are lost: to a process that has restarted, or, where notes tell of
    /// dispatches, to an engine that hangs, is cut off or drops some of what it takes. They are taken back.
    fn watch(&mut self, now: f64) {
        let quiet = if self.s.notes_every > 0.0 { QUIET * self.s.notes_every } else { f64::INFINITY };
        let out: Vec<_> = self.batches.values().filter_map(|h| h.out.map(|s| (h.b, s))).collect();
        for (b, s) in out {
            let due = OVERDUE * SLOW * unsure(&b).powi(4) * self.work(&b) / self.s.groups[b.group].threads;
            if !s.overdue && now - s.at.max(self.woke) > due {
                self.feel(now, s.engine, OVERDUE);
                self.batches.entry(b.id).and_modify(|h| h.out = Some(Sent { overdue: true, ..s }));
            }
            let came_up = self.engines[s.engine].line.and_then(|l| l.came_up);
            if now - s.heard.max(self.woke) > quiet || came_up.is_some_and(|up| up > s.at) {
                self.recall(now, b.id);
            }
        }
    }

    // ---- 3: cold care ----

    /// Cores that an engine can use: from the told start share, evenly up until told warm.
    fn able_cores(&self, now: f64, e: &Engine) -> f64 {
        let (Some(at), Some(c)) = (e.line.and_then(|l| l.came_up), self.s.cold) else { return e.cores };
        let warmed = ((now - at) / c.warm_after.max(LEAST)).clamp(0.0, 1.0);
        (e.cores * (c.starts_at + (1.0 - c.starts_at) * warmed)).max(LEAST)
    }

    /// Keeps our part of a cold engine's work budget.
    fn cold_room(&self, now: f64, c: &Candidate, work: f64) -> bool {
        let (e, able) = (&self.engines[c.engine], c.able_cores);
        let (Some(rule), true) = (self.s.cold, able < e.cores - LEAST) else { return true };
        let (due, gone) = self.cold_part(now, e);
        work <= COLD_LUMP * rule.multiple * rule.window * able && gone + work <= due + LEAST
    }

    /// Work due to a started engine from us since we knew of it, and how much of that was sent or lapsed. It
    /// comes due in quanta of a batch, as the part of many gateways is less, by a lot drawn for each start:
    /// the sum over gateways stays the same, and chance adds little. What all of them save and send in step
    /// would push it over, so what is not sent in time lapses.
    fn cold_part(&self, now: f64, e: &Engine) -> (f64, f64) {
        let Some(c) = self.s.cold else { return (0.0, 0.0) };
        let rate = c.multiple * c.starts_at * e.cores * YIELD * COLD_PART / e.holders;
        let lump = COLD_LUMP * c.multiple * c.window * self.able_cores(now, e);
        let usual = self.usual.mean(now, KIND_LIFE, 0.0);
        let quantum = e.sample.map_or(usual, |b| self.work(&b)).min(lump).max(LEAST);
        let quanta = |at: f64| (rate * (at - e.known_at).max(0.0) - e.quanta_from) / quantum + 1.0 - e.lot;
        let until = |at: f64| e.quanta_from + quantum * quanta(at).floor().max(0.0);
        (until(now), until(now - COLD_SAVED * c.window).max(e.work_sent))
    }

    // ---- 4: shedding ----

    /// Utility for the work, and how long the batch can still wait for it.
    fn prospect(&self, now: f64, h: &InHand) -> (f64, f64) {
        let c = &self.s.groups[h.b.group];
        let (alone, service) = (self.work(&h.b) / c.threads, self.service(&h.b));
        let (goal, unsure) = (c.goal + c.goal_stretch * alone, unsure(&h.b));
        let in_goal = h.taken + goal - (unsure * service).min(goal * MOST) - now;
        let (earns, slack) = if in_goal >= 0.0 { (1.0, in_goal) } else { (c.late_share, LATE_SLACK) };
        let wait = slack.min(h.limit - service / unsure - now) * SLACK_USE;
        (c.utility * earns / (alone * c.threads).max(LEAST), wait)
    }

    /// How long a batch is likely to be out.
    fn service(&self, b: &Batch) -> f64 {
        let (c, l) = (&self.s.groups[b.group], &self.learned[b.group]);
        // A first guess, from a limit that may be hours, shuts out no batch: only answers make a better one.
        let most = if l.answers == 0 { c.limit.min(b.left) } else { c.limit };
        (self.work(b) / c.threads * l.slowdown).min(most * MOST)
    }

    /// Batches of a key for which those ahead leave no time. Guards against a hot key, which no engine helps.
    fn behind(&self, now: f64, line: &KeyLine, late: &mut Vec<BatchId>) {
        let mut ends = now;
        for id in &line.line {
            let h = &self.batches[id];
            let end = ends + self.service(&h.b) / unsure(&h.b);
            match h.stage {
                Stage::Held if end > h.limit => late.push(*id),
                Stage::Held | Stage::Queued => ends = end,
                _ => {}
            }
        }
    }

    /// Gives up what cannot be answered in time behind the better work that waits too. Guards against any
    /// lack of capacity: jumps, floods, lost engines. Harm: estimates far too high shed what would fit.
    fn shed(&mut self, now: f64) {
        let mut late = Vec::new();
        self.keys.values().for_each(|line| self.behind(now, line, &mut late));
        late.into_iter().for_each(|id| self.give_up(id));
        let ready = self.ready.iter().map(|e| &self.engines[*e]);
        let cores: f64 = ready.filter(|e| fit(e, now)).map(|e| self.able_cores(now, e)).sum();
        let rate = (cores * YIELD / self.capacity.holders(self.s.gateways)).max(LEAST);
        let queued = self.batches.values().filter(|h| h.stage == Stage::Queued);
        let mut waiting: Vec<_> = queued.map(|h| (self.prospect(now, h), self.work(&h.b), h.b)).collect();
        waiting.sort_by(|a, b| b.0 .0.total_cmp(&a.0 .0));
        let (mut ahead, mut tight, mut room) = (0.0, f64::INFINITY, self.spare_room() + waiting.len() as f64);
        for ((density, wait), work, b) in waiting {
            room -= 1.0;
            if density <= 0.0 || wait < 0.0 || room < 0.0 || ahead / rate > wait.min(tight) {
                self.give_up(b.id);
            } else {
                ahead += work;
                tight = tight.min(self.s.groups[b.group].goal * SLACK_USE);
            }
        }
    }

    /// Batches that may still come before waiting is a price; room is what the gateway's connections allow.
    fn spare_room(&self) -> f64 {
        self.s.room.map_or(f64::INFINITY, |room| room * ROOMY - self.batches.len() as f64)
    }

    fn tick(&mut self, now: f64) {
        self.due.insert((micros(now + TICK), Due::Tick));
        let window = self.s.further.map_or(0.0, |f| f.window) + 1.0;
        [&mut self.taken_at, &mut self.further_at].into_iter().for_each(|w| w.forget(now - window));
        for (group, l) in self.s.groups.iter().zip(&mut self.learned) {
            let window = group.further.map_or(0.0, |f| f.window) + 1.0;
            [&mut l.taken_at, &mut l.further_at].into_iter().for_each(|w| w.forget(now - window));
        }
        self.probe(now);
        self.watch(now);
        self.look = true;
    }

    /// Asks engines that were asked longest ago, as far as batches have paid: those not heard of, and all
    /// where reports come with probes only. Guards against gateways that all come to know the same few first.
    fn probe(&mut self, now: f64) {
        let all = self.s.reports == Reports::WithProbes;
        while self.may_ask >= 1.0 && self.s.may_probe {
            let due = |e: &Engine| e.probe_at <= now && (all || !e.heard);
            let due = self.ready.iter().copied().filter(|e| due(&self.engines[*e]));
            let Some(engine) = due.min_by_key(|e| self.engines[*e].probe_turn()) else { return };
            self.engines[engine].probe_at = now + PROBE_EVERY;
            self.may_ask -= 1.0;
            self.probes.push_back(engine);
        }
    }

    // ---- 5: learning ----

    fn learn(&mut self, b: &Batch, o: &Outcome, slowdown: f64) {
        let l = &mut self.learned[b.group];
        l.answers += 1;
        let weight = LEARN.max(1.0 / f64::from(l.answers));
        let work = o.work.unwrap_or(o.latency * self.s.groups[b.group].threads).max(LEAST);
        l.work.learn(weight, work, b.cost);
        if let Some(told) = o.memory {
            l.memory.learn(weight, told, b.memory);
            let covered = b.memory.is_none_or(|estimate| told <= estimate * l.grant);
            l.grant *= 1.0 + GRANT_STEP * (GRANT_COVERS - if covered { 1.0 } else { 0.0 });
        }
        l.slowdown += weight * (slowdown.clamp(1.0, SLOWEST) - l.slowdown);
    }

    /// Work of a batch in seconds on one thread: its estimate corrected by what answers told, or the usual.
    fn work(&self, b: &Batch) -> f64 {
        self.learned[b.group].work.guess(b.cost)
    }

    /// Memory that a batch is likely to need; 0 where nothing tells.
    fn need(&self, b: &Batch) -> f64 {
        self.learned[b.group].memory.guess(b.memory)
    }

    fn grant(&self, b: &Batch, engine: EngineId) -> Option<f64> {
        let estimate = b.memory.filter(|_| self.s.grants)?;
        let most = self.engines[engine].memory.map_or(f64::INFINITY, |m| m * self.s.largest_grant);
        Some((estimate * self.learned[b.group].grant).min(most))
    }
}

/// So many different engines of a list, drawn evenly: steps of a random length that shares no divisor with the list's.
fn sample(chance: &mut Chance, list: &[EngineId], many: usize) -> Vec<EngineId> {
    let length = list.len();
    let mut draw = || (chance.draw() * length as f64) as usize % length;
    let (mut at, mut step) = (draw(), draw().max(1));
    while gcd(step, length) != 1 {
        step = step % length + 1;
    }
    let mut drawn = Vec::with_capacity(many);
    for _ in 0..many {
        drawn.push(list[at]);
        at = (at + step) % length;
    }
    drawn
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        gcd(b, a % b)
    }
}

/// Gateways that work with an engine: this one at least and all at most; what is no number counts as all.
fn holders(line: &Listed, all: f64) -> f64 {
    line.holders.map_or(all, |told| told.min(all).max(all.min(1.0)))
}

/// Our threads a core in the mean over the engines that have told something.
fn average_load(candidates: &[Candidate]) -> f64 {
    let loads = candidates.iter().filter_map(|c| c.load);
    let (count, sum) = loads.fold((0, 0.0), |(count, sum), load| (count + 1, sum + load));
    sum / f64::from(count.max(1))
}

fn unsure(b: &Batch) -> f64 {
    b.cost.map_or(UNSURE, |_| 1.0)
}

/// Marks at which an engine is held to run: as heard, fading to the mean of its kind.
fn level(now: f64, pool: f64, e: &Engine) -> f64 {
    let since = (e.threads - e.threads_then) / (e.cores * MARK);
    pool + (e.level + since - pool) * (-(now - e.level_at).max(0.0) / FAIL_LIFE).exp()
}

/// An engine's failing share. It fades, so that one few answers come from is not kept off for good.
fn failing(e: &Engine, now: f64) -> f64 {
    if e.failing == 0.0 {
        return 0.0;
    }
    e.failing * (-(now - e.failed_at).max(0.0) / FAIL_LIFE).exp()
}

/// Not resting; one that has just rested takes one batch at a time until it does well.
fn fit(e: &Engine, now: f64) -> bool {
    e.rests_until <= now && (failing(e, now) <= FAILING || e.batches == 0)
}
