//! What the decision module remembers: plain records and their bookkeeping. Nothing here decides.

use crate::api::{Endpoint, EndpointState, EngineId, EngineSet, Query, QueryId, Settings};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One gateway's whole memory.
#[derive(Default)]
pub struct AdmissionController {
    pub(crate) s: Settings,
    pub(crate) chance: Chance,
    pub(crate) g: f64,
    pub(crate) clock: f64,
    pub(crate) clock_at: f64,
    /// When this gateway last found that it had stood still.
    pub(crate) woke: f64,
    pub(crate) running: f64,
    pub(crate) queues: Vec<Queue>,
    pub(crate) learned: Vec<Learned>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) batches: BTreeMap<QueryId, InHand>,
    pub(crate) keys: BTreeMap<u64, KeyLine>,
    pub(crate) due: BTreeSet<(u64, Due)>,
    pub(crate) probes: VecDeque<EngineId>,
    pub(crate) cancels: VecDeque<(QueryId, u32)>,
    pub(crate) give_ups: VecDeque<QueryId>,
    pub(crate) subscribe: bool,
    /// What waits is to be looked over once nothing more can leave.
    pub(crate) look: bool,
    /// Work of the batches taken lately.
    pub(crate) usual: Level,
    /// The batch taken last.
    pub(crate) latest: Option<Query>,
    /// Probes paid for by batches taken.
    pub(crate) may_ask: f64,
    pub(crate) tells_cores: bool,
    /// The engines that are ready, by index.
    pub(crate) ready: Vec<EngineId>,
    pub(crate) capacity: Capacity,
    pub(crate) kinds: BTreeMap<usize, Kind>,
    /// Thread-seconds and seconds that dispatches were out.
    pub(crate) ran: (f64, f64),
    /// Ways that batches may go: engines by preference.
    pub(crate) lanes: BTreeMap<u32, Vec<EngineSet>>,
    pub(crate) taken_at: Window,
    pub(crate) further_at: Window,
}

impl AdmissionController {
    /// A whole list does not name these any more.
    pub(crate) fn drop_unlisted(&mut self, lines: &[Endpoint]) {
        let named: BTreeSet<EngineId> = lines.iter().map(|l| l.engine).collect();
        let unnamed = self
            .engines
            .iter_mut()
            .enumerate()
            .filter(|(engine, _)| !named.contains(engine));
        unnamed
            .filter_map(|(_, e)| e.line.as_mut())
            .for_each(|line| line.state = EndpointState::Removed);
        self.ready.retain(|engine| named.contains(engine));
    }

    /// An engine's line has changed.
    pub(crate) fn relist(&mut self, engine: EngineId) {
        match (
            self.engines[engine].ready(),
            self.ready.binary_search(&engine),
        ) {
            (true, Err(at)) => self.ready.insert(at, engine),
            (false, Ok(at)) => drop(self.ready.remove(at)),
            _ => {}
        }
    }

    /// Sums up the engines that are ready, always by index: so the sums depend on the list alone.
    pub(crate) fn count_capacity(&mut self) {
        let all = self.s.gateways;
        self.capacity = Capacity::default();
        self.kinds
            .values_mut()
            .for_each(|kind| kind.ready = Capacity::default());
        for e in self.ready.iter().map(|engine| &self.engines[*engine]) {
            self.capacity.add(e, all);
            self.kinds.entry(e.kind()).or_default().ready.add(e, all);
        }
    }

    pub(crate) fn unqueue(&mut self, id: QueryId) {
        let b = &self.batches[&id].b;
        self.queues[b.tenant].remove(b.class, id);
    }

    /// The engines that a lane leaves open, by preference; none for a lane that is gone. It narrows what the rules
    /// allow: an engine of a later preference is taken only where no earlier one has any that may be.
    pub fn update_endpoint_subset(&mut self, lane: u32, tiers: Option<Vec<EngineSet>>) {
        match tiers {
            Some(tiers) => drop(self.lanes.insert(lane, tiers)),
            None => drop(self.lanes.remove(&lane)),
        }
    }

    /// The engines of a lane by preference; none of one that is not known.
    pub(crate) fn tiers(&self, lane: u32) -> &[EngineSet] {
        self.lanes.get(&lane).map_or(&[], Vec::as_slice)
    }
}

/// Sums over engines that are ready.
#[derive(Clone, Copy, Default)]
pub struct Capacity {
    pub cores: f64,
    pub memory: f64,
    /// Gateways that do not work with an engine, times its cores.
    absent: f64,
}

impl Capacity {
    fn add(&mut self, e: &Engine, gateways: f64) {
        self.cores += e.cores;
        self.memory += e.memory.unwrap_or(0.0);
        self.absent += (gateways - e.holders) * e.cores;
    }

    /// Gateways that work with one of the engines, in the mean over cores; all where each is held by all.
    pub fn holders(&self, gateways: f64) -> f64 {
        if self.absent > 0.0 {
            gateways - self.absent / self.cores
        } else {
            gateways
        }
    }
}

/// An engine that a batch may go to.
pub struct Candidate {
    pub engine: EngineId,
    pub kind: usize,
    /// Cores that it can use.
    pub able_cores: f64,
    /// Our threads for each of these, of an engine that has told something.
    pub load: Option<f64>,
}

impl Candidate {
    pub fn new(engine: EngineId, e: &Engine, able_cores: f64) -> Self {
        let load = e.heard.then_some(e.threads / able_cores);
        Candidate {
            engine,
            kind: e.kind(),
            able_cores,
            load,
        }
    }
}

/// What counts alike for all candidates of a kind.
#[derive(Default)]
pub struct KindView {
    pub kind: usize,
    /// Of the candidates.
    pub able_cores: f64,
    /// Marks at which engines of the kind are held to run.
    pub pool: f64,
    /// Our recent work for each of these cores.
    pub sent: f64,
}

/// A few views, by kind.
#[derive(Default)]
pub struct KindViews(Vec<KindView>);

impl KindViews {
    /// That of a kind, an empty one where there is none yet.
    pub fn of(&mut self, kind: usize) -> &mut KindView {
        let at = self
            .0
            .binary_search_by_key(&kind, |view| view.kind)
            .unwrap_or_else(|at| {
                self.0.insert(
                    at,
                    KindView {
                        kind,
                        ..KindView::default()
                    },
                );
                at
            });
        &mut self.0[at]
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut KindView> {
        self.0.iter_mut()
    }
}

/// A multiply-with-carry generator.
#[derive(Default)]
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Chance((seed | 1) % 0xffff_da61_0000_0000)
    }

    pub fn draw(&mut self) -> f64 {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Tick,
    Redraw,
    Limit(QueryId),
    Rested(u64),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// Behind an earlier batch of its key, or its key rests.
    Held,
    Queued,
    /// To be answered without another dispatch.
    GivenUp,
    Out,
    Ended,
}

/// A batch in hand, until it is over and no dispatch of it is out.
pub struct InHand {
    pub b: Query,
    pub taken: f64,
    pub limit: f64,
    pub stage: Stage,
    pub dispatches: u32,
    pub out: Option<Sent>,
    /// The first dispatch that may have run.
    pub may_have_run: Option<Sent>,
    /// Its body is not there any more for a further dispatch.
    pub unkept: bool,
    /// Nobody waits for it at the moment.
    pub unattended: bool,
}

impl InHand {
    pub fn new(b: Query, taken: f64, limit: f64, stage: Stage) -> Self {
        let (out, may_have_run) = (None, None);
        InHand {
            b,
            taken,
            limit,
            stage,
            dispatches: 0,
            out,
            may_have_run,
            unkept: false,
            unattended: false,
        }
    }
}

/// A dispatch: where, when, and the memory counted for it.
#[derive(Clone, Copy)]
pub struct Sent {
    pub engine: EngineId,
    pub at: f64,
    /// When it was sent, or a note of it came last.
    pub heard: f64,
    pub memory: f64,
    /// Already counted as slow.
    pub overdue: bool,
    /// Its engine's health was judged by it while its end was not known.
    pub judged: bool,
    /// Its batch counts as one that may have run for no other reason than that its end was not known.
    pub doubted: bool,
}

impl Sent {
    pub fn new(engine: EngineId, at: f64, memory: f64) -> Self {
        Sent {
            engine,
            at,
            heard: at,
            memory,
            overdue: false,
            judged: false,
            doubted: false,
        }
    }
}

#[derive(Default)]
/// A tenant's queue on the virtual clock, with a line a service group.
pub struct Queue {
    pub start: f64,
    pub lines: Vec<VecDeque<QueryId>>,
    /// Until when a line waits to redraw.
    pub stalled: Vec<f64>,
    pub running: u32,
}

impl Queue {
    pub fn new(groups: usize) -> Self {
        Queue {
            lines: vec![VecDeque::new(); groups],
            stalled: vec![0.0; groups],
            ..Queue::default()
        }
    }

    pub fn put(&mut self, group: usize, id: QueryId) {
        let at = self.lines[group].partition_point(|other| *other < id);
        self.lines[group].insert(at, id);
    }

    pub fn remove(&mut self, group: usize, id: QueryId) {
        if let Ok(at) = self.lines[group].binary_search(&id) {
            self.lines[group].remove(at);
        }
    }

    pub fn busy(&self) -> bool {
        self.running > 0 || self.lines.iter().any(|l| !l.is_empty())
    }
}

/// What is learned of a service group: averages over its answers.
#[derive(Default)]
pub struct Learned {
    pub answers: u32,
    pub work: Guess,
    pub memory: Guess,
    /// Grant over the estimate.
    pub grant: f64,
    pub slowdown: f64,
    /// Batches taken and further dispatches, where the group has a budget of its own.
    pub taken_at: Window,
    pub further_at: Window,
}

/// A kind of engine: what reports told of its load, what answers let feel of it, work that we sent there.
#[derive(Default)]
pub struct Kind {
    pub told: Level,
    pub felt: Level,
    pub sent: Level,
    pub ready: Capacity,
    /// Of ours out there.
    pub threads: f64,
    pub memory_used: f64,
}

/// An average over what was heard lately.
#[derive(Default)]
pub struct Level {
    sum: f64,
    weight: f64,
    at: f64,
}

impl Level {
    fn kept(&self, now: f64, life: f64) -> f64 {
        (-(now - self.at).max(0.0) / life).exp()
    }

    pub fn add(&mut self, now: f64, life: f64, heard: f64) {
        let kept = self.kept(now, life);
        (self.sum, self.weight, self.at) = (self.sum * kept + heard, self.weight * kept + 1.0, now);
    }

    pub fn sum(&self, now: f64, life: f64) -> f64 {
        self.sum * self.kept(now, life)
    }

    /// Leans to 0 by a weight of its own, so that little heard long ago counts little.
    pub fn mean(&self, now: f64, life: f64, zero: f64) -> f64 {
        let kept = self.kept(now, life);
        self.sum * kept / (self.weight * kept + zero)
    }
}

/// An average that corrects estimates, or stands in for them.
#[derive(Default)]
pub struct Guess {
    pub usual: f64,
    pub estimated: f64,
    pub told: f64,
}

impl Guess {
    pub fn learn(&mut self, weight: f64, told: f64, estimate: Option<f64>) {
        self.usual += weight * (told - self.usual);
        if let Some(estimate) = estimate {
            self.estimated += weight * (estimate - self.estimated);
            self.told += weight * (told - self.told);
        }
    }

    pub fn guess(&self, estimate: Option<f64>) -> f64 {
        match estimate {
            Some(e) if self.estimated > 0.0 => e * self.told / self.estimated,
            Some(e) => e,
            None => self.usual,
        }
    }
}

/// What is known of an engine, and what of ours it holds.
#[derive(Default)]
pub struct Engine {
    pub line: Option<Endpoint>,
    pub cores: f64,
    pub memory: Option<f64>,
    /// Gateways that work with it.
    pub holders: f64,
    pub threads: f64,
    pub batches: u32,
    pub memory_used: f64,
    pub heard: bool,
    pub level: f64,
    pub level_at: f64,
    pub told_at: f64,
    pub threads_then: f64,
    pub failing: f64,
    pub last_good: f64,
    pub rests_until: f64,
    pub failed_at: f64,
    pub probe_at: f64,
    /// For the cold budget: when we knew of its start, a batch taken before, a lot drawn then; the work sent
    /// or lapsed since, and where the next quantum begins.
    pub known_at: f64,
    pub sample: Option<Query>,
    pub work_sent: f64,
    pub quanta_from: f64,
    pub lot: f64,
}

impl Engine {
    /// One of which nothing is heard yet.
    pub fn new(cores: f64, memory: Option<f64>) -> Self {
        Engine {
            cores,
            memory,
            ..Engine::default()
        }
    }

    pub fn kind(&self) -> usize {
        self.line.map_or(0, |l| l.kind)
    }

    /// Its turn to be probed: by when it was asked last, then by lot, so that gateways ask in different orders.
    pub fn probe_turn(&self) -> (u64, u64) {
        (micros(self.probe_at), micros(self.lot))
    }

    pub fn ready(&self) -> bool {
        self.line.is_some_and(|l| l.state == EndpointState::Ready)
    }

    /// All but its line, what it holds of ours and the work it was sent.
    pub fn forget(&mut self, new: Engine) {
        let old = std::mem::replace(self, new);
        (self.line, self.threads, self.batches) = (old.line, old.threads, old.batches);
        self.memory_used = old.memory_used;
    }

    pub fn holds(&mut self, threads: f64, memory: f64) {
        self.threads += threads;
        self.batches += 1;
        self.memory_used += memory;
    }

    pub fn lets_go(&mut self, threads: f64, memory: f64) {
        self.threads -= threads;
        self.batches -= 1;
        self.memory_used -= memory;
    }
}

#[derive(Default)]
pub struct KeyLine {
    pub line: VecDeque<QueryId>,
    pub rests_until: f64,
}

/// Events by their times, counted over a sliding window. Times do not run backwards.
#[derive(Default)]
pub struct Window(VecDeque<f64>);

impl Window {
    pub fn add(&mut self, at: f64) {
        self.0.push_back(at);
    }

    pub fn since(&self, from: f64) -> f64 {
        (self.0.len() - self.0.partition_point(|at| *at < from)) as f64
    }

    pub fn forget(&mut self, before: f64) {
        while self.0.front().is_some_and(|at| *at < before) {
            self.0.pop_front();
        }
    }
}

/// The whole microsecond at or after a time, for the ordered due times.
pub fn micros(t: f64) -> u64 {
    (t.max(0.0) * 1e6).ceil() as u64
}
