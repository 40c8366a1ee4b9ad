//! The module, the ledger and the keys of one gateway in a world without I/O: lists that come late, engines that drain
//! untold, addresses that change hands while the old process runs on, resets, cuts, starts lost on their way, spoilt
//! answers, and a gateway that gets no processor time. The seven rules are judged in the world, by what really ran where,
//! not by what the gateway believes. A slip put in on purpose for each rule must be found.
//!
//! The driver below does what `life` and `engines` do with sockets, in steps of 10 ms.

use garnetwall::api::*;
use garnetwall::control::Control;
use garnetwall_ledger::{weigh, Asking, Bounds, DispatchId, Fact, Ledger, Lost, Next as Then, Step, Verdict};
use proptest::prelude::*;
use std::time::Duration;

const STEP: u64 = 10;
const DAY: u64 = 14_000;
const DIAL: u64 = 250;
const NEWS: u64 = 250;
const UNASKED: u64 = 2000;
/// The longest time limit: for so long notes keep a dispatch running at most.
const KEPT: u64 = 5000;
/// What the protocol adds to each limit, and the world's steps.
const SLACK: u64 = 50 + 2 * STEP;
const REST: u64 = 500;
const BOUNDS: Bounds = Bounds {
    news: Duration::from_millis(NEWS),
    notes: false,
    unasked: Duration::from_millis(UNASKED),
    pause: Duration::from_millis(50),
};
const ENGINES: usize = 4;
const ONCE: usize = 1;
const WINDOW: f64 = 1.5;
const COLD: ColdRule = ColdRule { starts_at: 0.4, warm_after: 6.0, multiple: 3.0, window: 2.0 };
const CORES: f64 = 2.0;
const FURTHER: FurtherBudget = FurtherBudget { floor: 2.0, per_batch: 0.2, window: 3.0 };

/// What the gateway does wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Slip {
    None,
    LosesAnswers,
    TrustsRefusals,
    TrustsAddresses,
    OverlooksDrains,
    OverlooksColdness,
    RestsNoKeys,
    MixesArrivals,
    OverlooksZones,
    OverlooksBudget,
    OverlooksNotes,
    StartsLate,
}

/// A rule broken in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    Answer,
    Effect,
    Drain,
    Cold,
    Order,
    Placement,
    Budget,
}

struct Dice(u64);

impl Dice {
    fn roll(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.roll(n) == 0
    }

    fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.roll(to - from)
    }
}

/// A process of an engine as it really is. Its address is that of the slot; who listens there is found by time.
#[derive(Clone, Copy, Debug)]
struct Process {
    slot: usize,
    up: u64,
    /// It refuses new connections from then on, and runs on.
    drains: u64,
    dies: u64,
    /// When the list tells that it is there, drains, and is gone.
    told_up: u64,
    told: u64,
    told_gone: u64,
}

/// What happens to an address.
#[derive(Clone, Debug)]
struct Slot {
    cut: (u64, u64),
    resets: Vec<u64>,
}

struct Ran {
    batch: BatchId,
    process: usize,
    from: u64,
    ends: u64,
    asked: u64,
    /// It ends then, where notes keep it running.
    stops: u64,
    /// A call is held since then.
    held: Option<u64>,
    to: Option<u64>,
    good: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Start,
    News,
    GiveUp,
}

#[derive(Clone, Copy, Debug)]
enum Doing {
    Connects { since: u64, then: Call },
    Calls { since: u64, call: Call, reached: bool },
    Pauses { until: u64 },
    GivesUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Good,
    NotYet,
    Full,
    Unknown,
    GivenUp,
    Spoilt,
}

/// A dispatch as the gateway sees it.
struct Out {
    batch: BatchId,
    engine: EngineId,
    number: u32,
    id: DispatchId,
    sent: u64,
    time_out: u64,
    doing: Doing,
    asking: Asking,
    /// The connection that is up, to which process.
    up: Option<usize>,
    connection: u32,
    refused: bool,
    /// When the connection that is coming up is there.
    comes_up: Option<u64>,
    may_have_come: bool,
    unwanted: bool,
    late: bool,
    /// What the module is told once it is proved over.
    end: Option<End>,
}

struct Held {
    group: usize,
    key: Option<u64>,
    /// Where it stands among all that came.
    place: usize,
    limit: u64,
    left: bool,
    answered: Option<(u64, bool)>,
    dispatches: Vec<(u64, EngineId)>,
}

struct World {
    slip: Slip,
    /// Engines tell notes, each of which keeps its dispatch running.
    notes: bool,
    dice: Dice,
    now: u64,
    starved: (u64, u64),
    control: Control,
    ledger: Ledger,
    processes: Vec<Process>,
    slots: Vec<Slot>,
    ran: Vec<Ran>,
    out: Vec<Out>,
    batches: Vec<Held>,
    further: Vec<u64>,
    broken: Vec<(Rule, String)>,
}

fn seconds(ms: u64) -> f64 {
    1000.0 + ms as f64 / 1000.0
}

fn group(effect: Effect, in_order: bool) -> ServiceGroup {
    ServiceGroup {
        goal: 2.0,
        goal_stretch: 2.0,
        limit: 5.0,
        utility: 1.0,
        late_share: 0.5,
        effect,
        in_order,
        zones: None,
        kinds: None,
        threads: 1.0,
        is_load: false,
        waits_for_loads: false,
        further: None,
    }
}

impl World {
    fn new(seed: u64, slip: Slip) -> World {
        let mut dice = Dice(seed ^ 0x9e37_79b9_7f4a_7c15);
        dice.roll(2);
        let mut processes = Vec::new();
        for slot in 0..ENGINES {
            let drains = dice.between(1000, 9000);
            let dies = drains + dice.between(0, 5000);
            let told = drains + dice.roll(3000);
            let next = drains + dice.between(20, 4000);
            let far = 10 * DAY;
            let lasts = slot == 0 || dice.one_in(3);
            let (drains, dies, told) = if lasts { (far, far, far) } else { (drains, dies, told) };
            let told_gone = dies.max(told) + dice.roll(2000);
            processes.push(Process { slot, up: 0, drains, dies, told_up: 0, told, told_gone });
            if !lasts {
                // It takes the address, perhaps while the old one runs on.
                let told_up = next + dice.roll(1000);
                let heir =
                    Process { slot, up: next, drains: far, dies: far, told_up, told: far, told_gone: far };
                processes.push(heir);
            }
        }
        let slots = (0..ENGINES).map(|_| {
            let from = dice.between(500, DAY);
            let cut = if dice.one_in(3) { (from, from + dice.between(500, 6000)) } else { (0, 0) };
            Slot { cut, resets: (0..dice.roll(5)).map(|_| dice.between(300, DAY) / STEP * STEP).collect() }
        });
        let slots = slots.collect();
        let referenced = Effect::Referenced { scope: Scope::Zone, window: WINDOW };
        let mut groups =
            vec![group(Effect::Repeatable, false), group(Effect::OnceOnly, true), group(referenced, true)];
        groups[0].zones = (slip != Slip::OverlooksZones).then(|| vec![0]);
        let settings = Settings {
            groups,
            tenants: 1,
            gateways: 1.0,
            kind_cores: vec![Some(CORES)],
            may_cancel: true,
            names_return: true,
            longest_return: 1.0,
            max_dispatches: 4,
            key_rest: if slip == Slip::RestsNoKeys { 0.0 } else { REST as f64 / 1000.0 },
            further: (slip != Slip::OverlooksBudget).then_some(FURTHER),
            cold: (slip != Slip::OverlooksColdness).then_some(COLD),
            ..Settings::default()
        };
        let starved = dice.between(1000, DAY);
        let starved = if dice.one_in(2) { (starved, starved + dice.between(100, 2500)) } else { (0, 0) };
        let notes = (seed >> 8) % 4 == 1;
        let bounds = Bounds { notes: notes && slip != Slip::OverlooksNotes, ..BOUNDS };
        let mut world = World {
            slip,
            notes,
            now: 0,
            starved,
            control: Control::new(settings, seed | 1, seconds(0)),
            ledger: Ledger::new(bounds),
            processes,
            slots,
            ran: Vec::new(),
            out: Vec::new(),
            batches: Vec::new(),
            further: Vec::new(),
            broken: Vec::new(),
            dice,
        };
        let lines: Vec<Listed> = (0..world.processes.len()).filter_map(|e| world.line(e, 0)).collect();
        world.control.listed(&lines, true);
        world
    }

    fn breaks(&mut self, rule: Rule, what: String) {
        self.broken.push((rule, format!("at {} ms: {what}", self.now)));
    }

    fn zone(&self, engine: EngineId) -> u32 {
        (self.processes[engine].slot % 2) as u32
    }

    /// What the list says of a process at a time.
    fn line(&self, engine: EngineId, at: u64) -> Option<Listed> {
        let p = &self.processes[engine];
        let condition = match at {
            _ if at < p.told_up => return None,
            _ if at >= p.told_gone => Condition::Gone,
            _ if at >= p.told && self.slip != Slip::OverlooksDrains => Condition::Draining,
            _ => Condition::Ready,
        };
        let came_up = (p.up > 0).then(|| seconds(p.up));
        Some(Listed {
            engine,
            zone: self.zone(engine),
            kind: 0,
            cell: p.slot as u32,
            came_up,
            condition,
            holders: None,
        })
    }

    fn listens(&self, slot: usize) -> Option<usize> {
        let t = self.now;
        let there = |p: &Process| p.slot == slot && p.up <= t && t < p.drains && t < p.dies;
        self.processes.iter().rposition(there)
    }

    fn is_cut(&self, slot: usize) -> bool {
        let (from, to) = self.slots[slot].cut;
        (from..to).contains(&self.now)
    }

    fn is_starved(&self) -> bool {
        (self.starved.0..self.starved.1).contains(&self.now)
    }

    fn ledger_now(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// Engines: what ends by itself, with its process, or unasked.
    fn engines(&mut self) {
        for r in self.ran.iter_mut().filter(|r| r.to.is_none()) {
            let p = &self.processes[r.process];
            // A call for news is answered by then, whether or not the answer comes through.
            if let Some(since) = r.held.filter(|since| self.now >= since + NEWS) {
                (r.asked, r.held) = (since + NEWS, None);
            }
            let unasked = match self.notes {
                true => self.now >= r.stops,
                false => r.held.is_none() && self.now >= r.asked + UNASKED,
            };
            r.good = self.now >= r.ends && self.now < p.dies;
            if self.now >= r.ends || self.now >= p.dies || unasked {
                r.to = Some(self.now);
            }
        }
        // What a cut, a reset or a dead process leaves of connections.
        let broken: Vec<usize> = (0..self.out.len()).filter(|n| self.loses(&self.out[*n])).collect();
        for n in broken {
            let held = self.out[n].batch;
            let o = &mut self.out[n];
            self.ran.iter_mut().filter(|r| r.batch == held && r.to.is_none()).for_each(|r| r.held = None);
            o.up = None;
        }
    }

    fn loses(&self, o: &Out) -> bool {
        o.up.is_some_and(|p| {
            let p = &self.processes[p];
            self.now >= p.dies || self.slots[p.slot].resets.contains(&self.now) && !self.is_cut(p.slot)
        })
    }

    // ---- the gateway ----

    fn gateway(&mut self) {
        for n in (0..self.out.len()).rev() {
            self.drive(n);
        }
        self.pump();
    }

    fn pump(&mut self) {
        loop {
            match self.control.wait(seconds(self.now)) {
                Wait::For(_) => return,
                Wait::Subscribe | Wait::Probe(_) => {}
                Wait::Cancel(id, n) => {
                    if let Some(o) = self.out.iter_mut().find(|o| o.batch == id && o.number == n) {
                        o.unwanted = true;
                    }
                }
                Wait::Ask(id) => match self.control.place(seconds(self.now), id) {
                    Place::NotYet => {}
                    Place::Over(answer) => self.answer(id, answer),
                    Place::To { engine, time_out, .. } => self.send(id, engine, time_out),
                },
            }
        }
    }

    fn answer(&mut self, id: BatchId, answer: Answer) {
        let pushed_back = matches!(answer, Answer::PushBack { .. });
        if self.slip == Slip::LosesAnswers && self.dice.one_in(20) {
            return;
        }
        self.answered(id, pushed_back);
    }

    fn answered(&mut self, id: BatchId, pushed_back: bool) {
        let (now, starved) = (self.now, self.starved);
        let h = &mut self.batches[id as usize];
        if h.left {
            return;
        }
        if h.answered.replace((now, pushed_back)).is_some() {
            self.breaks(Rule::Answer, format!("batch {id} has two answers"));
            return;
        }
        // A gateway that gets no time can't answer; it does so at once when it does.
        let woke = if (starved.0..=starved.1 + STEP).contains(&h.limit) { starved.1 + STEP } else { 0 };
        if now > h.limit.max(woke) + SLACK {
            let limit = h.limit;
            self.breaks(Rule::Answer, format!("batch {id} answered after its limit {limit}"));
        }
        let ran = self.ran.iter().any(|r| r.batch == id);
        if pushed_back && ran && self.batches[id as usize].group != 0 {
            self.breaks(Rule::Effect, format!("batch {id} ran and was pushed back"));
        }
    }

    fn send(&mut self, id: BatchId, engine: EngineId, time_out: f64) {
        self.judge_send(id, engine);
        let now = self.now;
        let h = &mut self.batches[id as usize];
        let number = h.dispatches.len() as u32;
        h.dispatches.push((now, engine));
        self.out.push(Out {
            batch: id,
            engine,
            number,
            id: self.ledger.open(Duration::from_millis(now), Duration::from_millis(KEPT)),
            sent: now,
            time_out: now + (time_out * 1000.0) as u64,
            doing: Doing::Connects { since: now, then: Call::Start },
            asking: Asking::new(Duration::from_millis(now), BOUNDS, Duration::from_millis(DIAL)),
            up: None,
            connection: 0,
            refused: false,
            comes_up: None,
            may_have_come: false,
            unwanted: false,
            late: false,
            end: None,
        });
    }

    fn tell(&mut self, n: usize, fact: Fact) {
        let now = self.ledger_now();
        self.ledger.tell(now, self.out[n].id, fact);
    }

    fn outcome(&self, n: usize, end: End) -> Outcome {
        let o = &self.out[n];
        let closed = self.batches[o.batch as usize].answered.is_some() || self.batches[o.batch as usize].left;
        let latency = (self.now - o.sent) as f64 / 1000.0;
        let work = (end == End::Returned).then_some(latency);
        Outcome { engine: o.engine, dispatch: o.number, end, latency, closed, work, memory: None }
    }

    fn in_doubt(&mut self, n: usize, end: End) {
        let (id, outcome) = (self.out[n].batch, self.outcome(n, end));
        if let Next::Over(answer) = self.control.in_doubt(seconds(self.now), id, outcome) {
            self.answer(id, answer);
        }
    }

    /// The dispatch is over as far as the gateway can know.
    fn over(&mut self, n: usize, end: End) {
        let end = if self.out[n].late && end != End::Moot { End::TimedOut } else { end };
        let (id, outcome) = (self.out[n].batch, self.outcome(n, end));
        let closed = outcome.closed;
        let next = self.control.after(seconds(self.now), id, outcome);
        self.ledger.close(self.out[n].id);
        self.out.remove(n);
        match next {
            _ if end == End::Returned && !closed => self.answered(id, false),
            Next::Over(answer) => self.answer(id, answer),
            Next::Nothing => {}
        }
    }

    fn give_up(&mut self, n: usize, end: End) {
        self.out[n].end = Some(end);
        self.out[n].doing = Doing::GivesUp;
    }

    fn doubts(&mut self, n: usize) {
        if !self.out[n].unwanted {
            self.in_doubt(n, End::Broken);
        }
        self.give_up(n, End::Broken);
    }

    fn drive(&mut self, n: usize) {
        if self.now >= self.out[n].time_out && !self.out[n].late {
            (self.out[n].late, self.out[n].unwanted) = (true, true);
            let unsent = matches!(self.out[n].doing, Doing::Connects { then: Call::Start, .. });
            if !unsent || self.slip == Slip::StartsLate {
                self.in_doubt(n, End::TimedOut);
            }
        }
        match self.out[n].doing {
            Doing::Connects { since, then } => self.connect(n, since, then),
            Doing::Calls { since, call, reached } => self.await_reply(n, since, call, reached),
            Doing::Pauses { until } if self.now >= until => {
                self.out[n].doing = Doing::Connects { since: self.now, then: Call::News };
            }
            Doing::Pauses { .. } => {}
            Doing::GivesUp => {
                let (now, id) = (self.ledger_now(), self.out[n].id);
                let trusted = self.slip == Slip::TrustsRefusals && self.out[n].refused;
                match self.ledger.next(now, id) {
                    Then::Over(proof) => {
                        let never = proof == garnetwall_ledger::Proof::NeverCame;
                        let end = self.out[n].end.unwrap_or(End::Withdrawn);
                        self.over(n, if never { End::Unconnected } else { end });
                    }
                    _ if trusted => self.over(n, End::Broken),
                    Then::Wait(_) => {}
                    Then::FindOut => {
                        self.out[n].doing = Doing::Connects { since: self.now, then: Call::News };
                    }
                    Then::GiveUp(_) => {
                        self.out[n].doing = Doing::Connects { since: self.now, then: Call::GiveUp };
                    }
                }
            }
        }
    }

    fn connect(&mut self, n: usize, since: u64, then: Call) {
        if then == Call::Start && self.out[n].unwanted && self.slip != Slip::StartsLate {
            self.tell(n, Fact::NeverCame);
            return self.over(n, if self.out[n].late { End::Moot } else { End::Unconnected });
        }
        let slot = self.processes[self.out[n].engine].slot;
        if self.out[n].up.is_none() {
            if self.is_cut(slot) {
                if self.now >= since + DIAL {
                    self.lost(n, then, Lost::OnItsWay);
                }
                return;
            }
            let Some(process) = self.listens(slot) else {
                self.tell(n, Fact::Refused);
                self.out[n].refused = true;
                self.lost(n, then, Lost::Refused);
                return;
            };
            // Some connections come up late, and the batch may have its answer meanwhile.
            let late = if self.dice.one_in(5) { self.dice.between(STEP, DIAL) } else { 0 };
            if self.now < *self.out[n].comes_up.get_or_insert(self.now + late) {
                return;
            }
            self.out[n].comes_up = None;
            self.out[n].up = Some(process);
            self.out[n].connection += 1;
        }
        if then != Call::GiveUp {
            self.out[n].may_have_come = true;
            self.tell(n, Fact::Asked);
        }
        // A cut takes what is written into it; a reset may come under it.
        let lost = self.is_cut(slot) || self.dice.one_in(12);
        if lost && !self.is_cut(slot) {
            self.out[n].up = None;
        }
        self.out[n].doing = Doing::Calls { since: self.now, call: then, reached: !lost };
        if !lost {
            self.arrives(n, then);
        }
    }

    /// A call has come whole to the process at the end of the connection.
    fn arrives(&mut self, n: usize, call: Call) {
        let (now, Some(process)) = (self.now, self.out[n].up) else { return };
        let batch = self.out[n].batch;
        match call {
            Call::Start if self.dice.one_in(15) => {}
            Call::Start => {
                let ends = now + if self.dice.one_in(4) { 6000 } else { self.dice.between(20, 900) };
                self.judge_start(batch, process);
                let ran = Ran {
                    batch,
                    process,
                    from: now,
                    ends,
                    asked: now,
                    stops: now + KEPT,
                    held: Some(now),
                    to: None,
                    good: false,
                };
                self.ran.push(ran);
            }
            Call::News | Call::GiveUp => {
                let mine = |r: &&mut Ran| r.batch == batch && r.process == process && r.to.is_none();
                if let Some(r) = self.ran.iter_mut().find(mine) {
                    match call {
                        Call::GiveUp => r.to = Some(now),
                        _ => (r.asked, r.held) = (now, Some(now)),
                    }
                }
            }
        }
    }

    /// What the process at the end of the connection answers by now.
    fn reply(&mut self, n: usize, since: u64, call: Call) -> Option<Reply> {
        let (batch, process) = (self.out[n].batch, self.out[n].up?);
        if self.is_cut(self.processes[process].slot) {
            return None;
        }
        let mine = |r: &&Ran| r.batch == batch && r.process == process;
        let sent = self.out[n].sent;
        let spoilt = self.dice.one_in(40);
        let reply = match self.ran.iter().rfind(mine).filter(|r| r.from >= sent) {
            _ if call == Call::GiveUp => Reply::GivenUp,
            None if call == Call::Start => Reply::Full,
            None => Reply::Unknown,
            // It was answered when its time was up, however late the gateway gets to reading that.
            Some(r) if r.to.is_some_and(|to| to >= since + NEWS) => Reply::NotYet,
            Some(r) if r.good => Reply::Good,
            Some(r) if r.to.is_some() => Reply::Unknown,
            Some(_) if self.now >= since + NEWS => Reply::NotYet,
            Some(_) => return None,
        };
        Some(if spoilt { Reply::Spoilt } else { reply })
    }

    fn await_reply(&mut self, n: usize, since: u64, call: Call, reached: bool) {
        if self.out[n].up.is_none() {
            self.tell(n, Fact::Reset(self.out[n].connection));
            return self.lost(n, call, Lost::OnItsWay);
        }
        let reply = if reached { self.reply(n, since, call) } else { None };
        let Some(reply) = reply else {
            if self.now > since + NEWS + SLACK {
                self.drops(n);
                self.lost(n, call, Lost::OnItsWay);
            }
            return;
        };
        let on = self.out[n].connection;
        let now = self.ledger_now();
        match reply {
            Reply::Spoilt => {
                self.drops(n);
                self.lost(n, call, Lost::Spoilt);
            }
            Reply::Good => {
                self.tell(n, Fact::Ended);
                if self.out[n].end.is_some() {
                    return self.out[n].doing = Doing::GivesUp;
                }
                let unwanted = self.out[n].unwanted && self.out[n].late;
                self.over(n, if unwanted { End::Withdrawn } else { End::Returned });
            }
            Reply::Full => {
                self.tell(n, Fact::Ended);
                self.over(n, End::Full);
            }
            Reply::Unknown => {
                self.tell(n, Fact::Failed(on));
                if self.out[n].end.is_some() {
                    return self.out[n].doing = Doing::GivesUp;
                }
                let id = self.out[n].id;
                let over = self.ledger.may_run_until(id).is_none() || self.slip == Slip::TrustsAddresses;
                match weigh(call == Call::Start, true, over) {
                    Verdict::AsTold => self.over(n, End::Errored),
                    Verdict::CutShort => self.over(n, End::Broken),
                    Verdict::InDoubt => self.doubts(n),
                }
            }
            Reply::GivenUp => {
                self.tell(n, Fact::GivenUp(on));
                self.out[n].doing = Doing::GivesUp;
            }
            Reply::NotYet => {
                self.tell(n, Fact::Runs(on));
                self.out[n].asking.heard(now);
                match self.out[n].unwanted {
                    _ if self.out[n].end.is_some() => self.out[n].doing = Doing::GivesUp,
                    true => self.give_up(n, End::Withdrawn),
                    false => self.out[n].doing = Doing::Connects { since: self.now, then: Call::News },
                }
            }
        }
    }

    /// A connection of no further use; the process's machine hears of it, but for one that is cut off.
    fn drops(&mut self, n: usize) {
        self.tell(n, Fact::Useless(self.out[n].connection));
        let (batch, up) = (self.out[n].batch, self.out[n].up.take());
        let held = self.ran.iter_mut().filter(|r| r.batch == batch && Some(r.process) == up);
        held.for_each(|r| r.held = None);
    }

    fn lost(&mut self, n: usize, call: Call, how: Lost) {
        if call == Call::GiveUp || self.out[n].end.is_some() {
            if how != Lost::Refused {
                self.tell(n, Fact::Missed);
            }
            self.out[n].doing = Doing::GivesUp;
            return;
        }
        if call == Call::Start && !self.out[n].may_have_come {
            self.tell(n, Fact::NeverCame);
            return self.over(n, End::Unconnected);
        }
        if self.out[n].unwanted {
            return self.give_up(n, End::Withdrawn);
        }
        let now = self.ledger_now();
        match self.out[n].asking.lost(now, how) {
            Step::Ask(after) => {
                let until = self.now + after.as_millis() as u64;
                self.out[n].doing = Doing::Pauses { until };
            }
            Step::Stop => self.doubts(n),
        }
    }

    // ---- the rules, by what really is ----

    /// As the gateway decides to send.
    fn judge_send(&mut self, id: BatchId, engine: EngineId) {
        let (now, h, p) = (self.now, &self.batches[id as usize], self.processes[engine]);
        let (group, first) = (h.group, h.dispatches.is_empty());
        if h.answered.is_some() || h.left {
            self.breaks(Rule::Answer, format!("batch {id} is sent after its end"));
        }
        if now >= p.told + 2000 || now >= p.told_gone + 2000 {
            self.breaks(Rule::Drain, format!("batch {id} goes to engine {engine}, told draining"));
        }
        if group == 0 && self.zone(engine) != 0 {
            self.breaks(Rule::Placement, format!("batch {id} goes to zone {}", self.zone(engine)));
        }
        if !first {
            self.further.push(now);
            let since = now.saturating_sub((FURTHER.window * 1000.0) as u64);
            let made = self.further.iter().filter(|t| **t >= since).count() as f64;
            let taken = self.batches.len() as f64;
            if made > FURTHER.floor + FURTHER.per_batch * taken {
                self.breaks(Rule::Budget, format!("{made} further dispatches"));
            }
        }
        // Work of the first guess a batch; half as much again for chance.
        let warm = p.up + (COLD.warm_after * 1000.0) as u64;
        if p.up > 0 && now < warm {
            let since = now.saturating_sub((COLD.window * 1000.0) as u64);
            let sent = self.batches.iter().flat_map(|b| &b.dispatches);
            let sent = sent.filter(|(at, e)| *at >= since && *e == engine).count() as f64 + 1.0;
            let able = COLD.starts_at
                + (1.0 - COLD.starts_at) * (now.saturating_sub(p.up)) as f64 / (warm - p.up) as f64;
            if sent * 0.5 > COLD.multiple * able * CORES * COLD.window {
                self.breaks(Rule::Cold, format!("{sent} batches in a window to engine {engine}"));
            }
        }
    }

    /// As a start comes whole to a process, which runs it from now on.
    fn judge_start(&mut self, id: BatchId, process: usize) {
        let h = &self.batches[id as usize];
        let ended = h.answered.map(|(at, _)| at).filter(|at| *at < self.now);
        if let Some(at) = ended {
            self.breaks(Rule::Answer, format!("batch {id} was sent on after its answer at {at} ms"));
        }
        let h = &self.batches[id as usize];
        let (group, key, place) = (h.group, h.key, h.place);
        let zone = self.zone(process);
        let mine: Vec<&Ran> = self.ran.iter().filter(|r| r.batch == id).collect();
        let runs = mine.iter().any(|r| r.to.is_none());
        let again = match (group, mine.first()) {
            (_, None) | (0, _) => false,
            (ONCE, _) => true,
            (_, Some(r)) => {
                self.now > r.from + (WINDOW * 1000.0) as u64 + SLACK || self.zone(r.process) != zone
            }
        };
        if runs || again {
            self.breaks(Rule::Effect, format!("batch {id} runs again; the one before runs still: {runs}"));
        }
        if group == 0 || key.is_none() {
            return;
        }
        let earlier = self.batches.iter().enumerate().filter(|(_, b)| b.key == key && b.place < place);
        let mut what = None;
        for (other, b) in earlier {
            if b.answered.is_none() && !b.left {
                what = Some(format!("batch {id} passes batch {other}, which is not over"));
            }
            for r in self.ran.iter().filter(|r| r.batch as usize == other) {
                let cancelled = !r.good;
                match r.to {
                    None => what = Some(format!("batch {id} runs beside batch {other} of its key")),
                    Some(to) if cancelled && self.now + SLACK < to + REST => {
                        what = Some(format!("batch {id} starts before its key has rested from {other}"));
                    }
                    Some(_) => {}
                }
            }
        }
        if let Some(what) = what {
            self.breaks(Rule::Order, what);
        }
    }

    // ---- the day ----

    fn comes(&mut self, waiting: &mut Vec<(usize, Option<u64>, u64)>) {
        let (group, key) = (self.dice.roll(3) as usize, self.dice.roll(3));
        waiting.push((group, (group != 0).then_some(key), self.now));
    }

    fn take(&mut self, place: usize, group: usize, key: Option<u64>, came: u64) {
        let id = self.batches.len() as BatchId;
        let limit = came + if self.dice.one_in(6) { 900 } else { 5000 };
        let held = Held { group, key, place, limit, left: false, answered: None, dispatches: Vec::new() };
        self.batches.push(held);
        let left = limit.saturating_sub(self.now) as f64 / 1000.0;
        let data_set = id % 3;
        let b = Batch { id, group, tenant: 0, key, left, cost: None, memory: None, data_set, lane: None };
        self.control.take(seconds(self.now), b);
    }

    fn leaves(&mut self) {
        let n = self.dice.roll(self.batches.len() as u64) as usize;
        let h = &mut self.batches[n];
        if h.answered.is_none() && !h.left {
            h.left = true;
            self.control.client_gone(seconds(self.now), n as BatchId);
        }
    }

    fn play(mut self) -> Vec<(Rule, String)> {
        let mut waiting = Vec::new();
        let mut places = 0;
        let mut told = 0;
        while self.now < DAY + 10_000 {
            self.engines();
            if self.now < DAY && self.dice.one_in(6) {
                self.comes(&mut waiting);
            }
            if !self.is_starved() {
                for engine in 0..self.processes.len() {
                    let before = self.line(engine, told).map(|l| l.condition);
                    let line = self.line(engine, self.now).filter(|l| before != Some(l.condition));
                    self.control.listed(line.as_slice(), false);
                }
                told = self.now;
                let mut came: Vec<_> = waiting.drain(..).enumerate().collect();
                if self.slip == Slip::MixesArrivals {
                    came.reverse();
                }
                let all = came.len();
                for (n, (group, key, at)) in came {
                    self.take(places + n, group, key, at);
                }
                places += all;
                if !self.batches.is_empty() && self.dice.one_in(60) {
                    self.leaves();
                }
                self.gateway();
            }
            self.now += STEP;
        }
        let open = self.batches.iter().filter(|b| b.answered.is_none() && !b.left).count();
        if open > 0 {
            self.breaks(Rule::Answer, format!("{open} batches have no answer"));
        }
        self.broken
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn no_rule_breaks_in_any_world(seed in any::<u64>()) {
        let broken = World::new(seed, Slip::None).play();
        prop_assert!(broken.is_empty(), "{:#?}", &broken[..broken.len().min(5)]);
    }
}

/// Found by the worlds: a gateway without processor time for 2.4 s, whose engine had dropped a dispatch that nobody asked
/// for; the 500 for its news was taken for a failure, and the key did not rest.
#[test]
fn a_key_rests_after_a_dispatch_that_was_dropped_unasked() {
    assert_eq!(World::new(2_929_970_749_735_284_927, Slip::None).play(), []);
}

#[test]
fn a_slip_for_each_rule_is_found() {
    let slips = [
        (Slip::LosesAnswers, Rule::Answer),
        (Slip::TrustsRefusals, Rule::Order),
        (Slip::TrustsAddresses, Rule::Order),
        (Slip::OverlooksDrains, Rule::Drain),
        (Slip::OverlooksColdness, Rule::Cold),
        (Slip::RestsNoKeys, Rule::Order),
        (Slip::MixesArrivals, Rule::Order),
        (Slip::OverlooksZones, Rule::Placement),
        (Slip::OverlooksBudget, Rule::Budget),
        (Slip::TrustsRefusals, Rule::Effect),
        (Slip::OverlooksNotes, Rule::Order),
        (Slip::StartsLate, Rule::Answer),
    ];
    for (slip, rule) in slips {
        let found = (0..300).find(|seed| World::new(*seed, slip).play().iter().any(|(r, _)| *r == rule));
        assert!(found.is_some(), "{slip:?} breaks {rule:?} nowhere");
    }
}
