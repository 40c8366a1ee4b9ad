//! The desk: the decision module behind one lock, its one timer, and the batches in hand. It hands facts in
//! and orders out, and decides nothing.

use crate::attended::Attended;
use crate::clock::{minute_of_day, Clock};
use crate::discovery::EngineUpdate;
use crate::engines::Call;
use crate::keeping::millis;
use crate::planning::{LaneTold, Passage, Planner, Turned};
use bytes::Bytes;
use garnetwall::api::{
    Answer, Batch, BatchId, Effect, End, EngineId, Next, Note, Outcome, Place, Report, ServiceGroup, Wait,
};
use garnetwall::control::Control;
use garnetwall_ledger::book::{Sent, CLEAR};
use garnetwall_plan::Plan;
use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, Instant};

/// Protocol: a call that its connection lost comes again on a new one within this.
const COMES_AGAIN: Duration = Duration::from_millis(50);

/// What a batch's task is to do next.
#[derive(Debug)]
pub enum Order {
    Go {
        engine: EngineId,
        /// Nobody waits for the dispatch from then on.
        until: std::time::Instant,
        /// Its start has come whole by then, or is not sent.
        comes_by: std::time::Instant,
    },
    TakeBack {
        dispatch: u32,
    },
    Over(Answer),
    /// The client has gone: no answer is owed.
    Gone,
}

/// The one final answer of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    Returned(Bytes),
    PushedBack { come_back: Option<f64> },
    Errored,
}

impl Final {
    fn name(&self) -> &'static str {
        match self {
            Final::Returned(_) => "returned",
            Final::PushedBack { .. } => "pushed back",
            Final::Errored => "errored",
        }
    }
}

impl From<Answer> for Final {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::PushBack { come_back } => Final::PushedBack { come_back },
            Answer::Error => Final::Errored,
        }
    }
}

/// A batch as it comes, before it has its number.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub job: u64,
    pub group: usize,
    pub tenant: usize,
    pub key: Option<u64>,
    /// When the client gives up.
    pub limit: f64,
    /// What the client takes it to need: seconds of work, MB of memory.
    pub cost: Option<f64>,
    pub memory: Option<f64>,
    pub data_set: u32,
    /// Where its client is.
    pub client: IpAddr,
    /// Of its statement.
    pub bytes: u64,
}

/// What became of a call that brought a batch.
pub enum Taken {
    New {
        id: BatchId,
        orders: UnboundedReceiver<Order>,
        waiter: Waiter,
        /// What is written down before it is sent, where it is once-only.
        once_only: Option<Sent>,
        /// Whether a client waits for it.
        attended: Attended,
    },
    /// The batch of this id is in hand already.
    Joined(Waiter),
    /// A batch that is not this one has this id.
    Other,
    /// The batch of this id is over already.
    Over,
    /// An earlier process sent it, and it may have run.
    MayHaveRun,
    /// The plan does not let it in.
    Turned(Turned),
}

/// An id or a key as clients write it, for the log.
struct Hex(u64);

impl std::fmt::Debug for Hex {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

pub struct Desk {
    clock: Clock,
    seats: Mutex<Seats>,
    earlier: Notify,
    probes: UnboundedSender<EngineId>,
    in_hand: watch::Sender<usize>,
    ends: watch::Sender<Option<f64>>,
    /// How long an id that is over is remembered.
    remembered: f64,
}

struct Seats {
    control: Control,
    planner: Option<Planner>,
    next: BatchId,
    jobs: HashMap<u64, Job>,
    in_hand: HashMap<BatchId, InHand>,
    over: VecDeque<(f64, u64)>,
    /// Once-only batches that an earlier process sent, and until when their ids count.
    recovered: HashMap<u64, f64>,
    /// By service group.
    once_only: Vec<bool>,
    wake: f64,
}

enum Job {
    InHand(BatchId),
    Over,
}

/// A batch in hand, until it is over and every dispatch has its outcome.
struct InHand {
    job: u64,
    tenant: usize,
    key: Option<u64>,
    call: Arc<Call>,
    orders: UnboundedSender<Order>,
    answer: watch::Sender<Option<Final>>,
    waiters: usize,
    /// How many waiters it has had, so that one who has left is told from one who came after.
    waited: u64,
    attended: Attended,
    limit: f64,
    /// What the plan let it in with.
    passage: Option<Passage>,
}

impl InHand {
    fn order(&self, order: Order) {
        // A task that no longer listens has nothing out and owes nothing.
        let _ = self.orders.send(order);
    }

    fn is_over(&self) -> bool {
        self.answer.borrow().is_some()
    }
}

impl Desk {
    /// A desk, and the engines that the module wants to have probed.
    pub fn new(
        control: Control,
        planner: Option<Planner>,
        clock: Clock,
        remembered: f64,
    ) -> (Self, UnboundedReceiver<EngineId>) {
        let (probes, wanted) = unbounded_channel();
        let seats = Seats {
            control,
            planner,
            next: 0,
            jobs: HashMap::new(),
            in_hand: HashMap::new(),
            over: VecDeque::new(),
            recovered: HashMap::new(),
            once_only: Vec::new(),
            wake: clock.now(),
        };
        let (in_hand, ends) = (watch::Sender::new(0), watch::Sender::new(None));
        let seats = Mutex::new(seats);
        (Desk { clock, seats, earlier: Notify::new(), probes, in_hand, ends, remembered }, wanted)
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    fn seats(&self) -> MutexGuard<'_, Seats> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands a fact to the module, then asks it what is due until it wants to wait.
    fn fact<T>(&self, tell: impl FnOnce(&mut Seats, f64) -> T) -> T {
        let now = self.clock.now();
        let mut seats = self.seats();
        let told = tell(&mut seats, now);
        let armed = seats.wake;
        loop {
            match seats.control.wait(now) {
                Wait::Ask(id) => seats.ask(&self.clock, now, id),
                Wait::Probe(engine) => drop(self.probes.send(engine)),
                // The change log is followed at all times.
                Wait::Subscribe => {}
                Wait::Cancel(id, dispatch) => seats.order(id, Order::TakeBack { dispatch }),
                Wait::For(span) => {
                    seats.wake = now + span;
                    break;
                }
            }
        }
        if seats.wake < armed {
            self.earlier.notify_one();
        }
        told
    }

    /// Wakes the module when it wants to be woken, for as long as the gateway runs.
    pub async fn keep_time(&self) {
        loop {
            let wake = Instant::from_std(self.clock.instant(self.seats().wake));
            tokio::select! {
                () = sleep_until(wake) => self.fact(|_, _| ()),
                () = self.earlier.notified() => {}
            }
        }
    }

    pub fn listed(&self, lines: &[EngineUpdate], whole: bool) {
        let told: Vec<_> = lines.iter().map(|line| line.listed).collect();
        self.fact(|seats, _| {
            seats.control.listed(&told, whole);
            let lanes = seats.planner.as_mut().map(|planner| planner.listed(lines, whole));
            seats.tell(lanes.unwrap_or_default());
        });
    }

    /// The groups as they are now: which are once-only.
    pub fn grouped(&self, groups: &[ServiceGroup]) {
        let once_only = groups.iter().map(|g| g.effect == Effect::OnceOnly).collect();
        self.fact(|seats, _| seats.once_only = once_only);
    }

    /// Once-only batches that an earlier process sent, and whether each is proved over: none is sent again, and the keys
    /// of those that are not rest for as long as a dispatch can run that nobody asks for.
    pub fn recovered(&self, known: &[(Sent, bool)], unasked: Duration) {
        self.fact(|seats, now| {
            for (sent, over) in known {
                seats.recovered.insert(sent.id, sent.until as f64 / 1000.0);
                if let Some(key) = sent.key.filter(|_| !over) {
                    seats.control.rest(key, now + unasked.as_secs_f64());
                }
            }
        });
    }

    /// Whether batches of a group are once-only now.
    pub fn is_once_only(&self, group: usize) -> bool {
        self.seats().once_only.get(group).copied().unwrap_or_default()
    }

    /// Takes up another plan, with the groups as it has them; whether there is one to take the place of.
    pub fn replan(&self, plan: Arc<Plan>, groups: &[ServiceGroup]) -> bool {
        self.fact(|seats, _| {
            let Some(planner) = seats.planner.as_mut() else { return false };
            let lanes = planner.replan(plan);
            seats.tell(lanes);
            seats.control.regroup(groups);
            seats.once_only = groups.iter().map(|g| g.effect == Effect::OnceOnly).collect();
            true
        })
    }

    pub fn probed(&self, engine: EngineId, end: End, report: Option<Report>) {
        self.fact(|seats, now| {
            seats.control.probed(now, engine, end);
            if let Some(report) = report {
                seats.control.report(now, engine, report);
            }
        });
    }

    /// Takes a batch, or finds the one that has its id.
    pub fn take(self: &Arc<Self>, a: Arrival, call: Arc<Call>) -> Taken {
        self.fact(|seats, now| {
            seats.forget_over(now);
            match seats.jobs.get(&a.job) {
                Some(Job::Over) => return Taken::Over,
                Some(&Job::InHand(id)) => return self.join(seats, now, id, &a, &call),
                None => {}
            }
            if seats.recovered.contains_key(&a.job) {
                return Taken::MayHaveRun;
            }
            let passage = match seats.planner.as_mut().map(|planner| planner.admit(now, &routed(now, &a))) {
                Some(Err(turned)) => return Taken::Turned(turned),
                Some(Ok(passage)) => Some(passage),
                None => None,
            };
            let Arrival { group, tenant, key, cost, memory, data_set, .. } = a;
            let group = passage.as_ref().map_or(group, |p| p.group);
            let lane = passage.as_ref().and_then(|p| p.lane);
            let shorter = passage.as_ref().and_then(|p| p.limit).map(|limit| now + limit.as_secs_f64());
            let limit = shorter.map_or(a.limit, |at| a.limit.min(at));
            let id = seats.next;
            seats.next = id.wrapping_add(1);
            let (sender, orders) = unbounded_channel();
            let (answer, receiver) = watch::channel(None);
            seats.jobs.insert(a.job, Job::InHand(id));
            let attended = Attended::default();
            let new = InHand {
                job: a.job,
                tenant,
                key,
                call,
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
            let b = Batch { id, group, tenant, key, left, cost, memory, data_set, lane };
            let (job, line) = (Hex(a.job), key.map(Hex));
            tracing::debug!(batch = id, ?job, group, key = ?line, left, "taken");
            seats.control.take(now, b);
            let until = millis(limit + CLEAR.as_secs_f64());
            let once_only = seats.once_only.get(group).copied().unwrap_or_default();
            let once_only = once_only.then_some(Sent { id: a.job, key, until });
            let waiter = Waiter { desk: self.clone(), id, answer: receiver };
            Taken::New { id, orders, waiter, once_only, attended }
        })
    }

    fn join(self: &Arc<Self>, seats: &mut Seats, now: f64, id: BatchId, a: &Arrival, call: &Call) -> Taken {
        let Some(b) = seats.in_hand.get_mut(&id) else { return Taken::Over };
        if (b.tenant, b.key) != (a.tenant, a.key) || *b.call != *call {
            return Taken::Other;
        }
        (b.waiters, b.waited) = (b.waiters + 1, b.waited + 1);
        b.attended.set(true);
        let waiter = Waiter { desk: self.clone(), id, answer: b.answer.subscribe() };
        seats.control.attended(now, id, true);
        Taken::Joined(waiter)
    }

    /// What follows an outcome.
    pub fn after(&self, id: BatchId, outcome: Outcome, report: Option<Report>) -> Next {
        self.fact(|seats, now| {
            if let Some(report) = report {
                seats.control.report(now, outcome.engine, report);
            }
            let closed = outcome.closed || seats.in_hand.get(&id).is_none_or(InHand::is_over);
            seats.control.after(now, id, Outcome { closed, ..outcome })
        })
    }

    /// A note of its engine on a dispatch that is out.
    pub fn noted(&self, id: BatchId, dispatch: u32, note: Note) {
        self.fact(|seats, now| seats.control.noted(now, id, dispatch, note));
    }

    /// A batch's body is not there any more for a further dispatch.
    pub fn not_kept(&self, id: BatchId) {
        self.fact(|seats, _| seats.control.not_kept(id));
    }

    /// What is answered for a dispatch whose end is not known; it stays out until `after`.
    pub fn in_doubt(&self, id: BatchId, outcome: Outcome) -> Next {
        self.fact(|seats, now| seats.control.in_doubt(now, id, outcome))
    }

    /// Gives a batch its final answer; only the first counts.
    pub fn answer(&self, id: BatchId, last: Final) {
        if let Some(b) = self.seats().in_hand.get(&id).filter(|b| !b.is_over()) {
            tracing::debug!(batch = id, left = b.limit - self.clock.now(), end = last.name(), "answer");
            b.answer.send_replace(Some(last));
        }
    }

    /// Lets a batch go: it is over and every dispatch has its outcome.
    pub fn let_go(&self, id: BatchId) {
        let mut seats = self.seats();
        if let Some(b) = seats.in_hand.remove(&id) {
            seats.jobs.insert(b.job, Job::Over);
            let now = self.clock.now();
            seats.over.push_back((now + self.remembered, b.job));
            if let Some((planner, passage)) = seats.planner.as_mut().zip(b.passage) {
                planner.over(now, passage);
            }
        }
        self.in_hand.send_replace(seats.in_hand.len());
    }

    /// The client of this id withdraws it; whether it was in hand.
    pub fn withdraw(&self, job: u64) -> bool {
        self.fact(|seats, now| match seats.jobs.get(&job) {
            Some(&Job::InHand(id)) => {
                seats.gone(now, id);
                true
            }
            _ => false,
        })
    }

    /// The gateway ends then: everything in hand, and what still comes, is to be answered before.
    pub fn ends(&self, at: f64) {
        self.fact(|seats, _| seats.control.ends(at));
        self.ends.send_replace(Some(at));
    }

    /// Until the gateway ends.
    pub async fn ended(&self) {
        // It fails only with the sender gone, which this desk holds.
        let at = self.ends.subscribe().wait_for(Option::is_some).await.ok().and_then(|at| *at);
        sleep_until(Instant::from_std(self.clock.instant(at.unwrap_or_default()))).await;
    }

    pub fn in_hand(&self) -> usize {
        *self.in_hand.borrow()
    }

    /// Until nothing is in hand.
    pub async fn emptied(&self) {
        // It fails only with the sender gone, which this desk holds.
        let _ = self.in_hand.subscribe().wait_for(|n| *n == 0).await;
    }

    /// One who waited has left. Nothing is sent for a batch that nobody waits for; how many had waited for it by then.
    fn leaves(&self, id: BatchId) -> Option<u64> {
        self.fact(|seats, now| {
            let b = seats.in_hand.get_mut(&id)?;
            b.waiters -= 1;
            if b.waiters > 0 || b.is_over() {
                return None;
            }
            b.attended.set(false);
            let waited = b.waited;
            seats.control.attended(now, id, false);
            Some(waited)
        })
    }

    /// Nobody has come again for a batch since so many had waited for it: its clients have gone.
    fn stays_away(&self, id: BatchId, waited: u64) {
        self.fact(|seats, now| {
            if seats.in_hand.get(&id).is_some_and(|b| b.waiters == 0 && b.waited == waited) {
                seats.gone(now, id);
            }
        });
    }
}

/// A batch as routing sees it.
fn routed(now: f64, a: &Arrival) -> garnetwall_routing::Batch {
    garnetwall_routing::Batch {
        group: a.group,
        tenant: a.tenant,
        client: a.client,
        key: a.key.is_some(),
        data_set: a.data_set,
        minute: minute_of_day(now),
        bytes: a.bytes,
    }
}

impl Seats {
    /// Tells the module of ways that batches may go.
    fn tell(&mut self, lanes: Vec<LaneTold>) {
        for (lane, tiers) in lanes {
            self.control.lane(lane, tiers);
        }
    }

    fn order(&self, id: BatchId, order: Order) {
        if let Some(b) = self.in_hand.get(&id) {
            b.order(order);
        }
    }

    fn ask(&mut self, clock: &Clock, now: f64, id: BatchId) {
        match self.control.place(now, id) {
            Place::NotYet => {}
            Place::Over(answer) => self.order(id, Order::Over(answer)),
            Place::To { engine, time_out, within, .. } => {
                let (until, comes_by) = (clock.instant(now + time_out), clock.instant(now + within));
                self.order(id, Order::Go { engine, until, comes_by });
            }
        }
    }

    /// Nobody waits for this batch any more; whoever still asks for it finds it errored.
    fn gone(&mut self, now: f64, id: BatchId) {
        let Some(b) = self.in_hand.get(&id).filter(|b| !b.is_over()) else { return };
        tracing::debug!(batch = id, left = b.limit - now, "client gone");
        b.answer.send_replace(Some(Final::Errored));
        b.order(Order::Gone);
        self.control.client_gone(now, id);
    }

    fn forget_over(&mut self, now: f64) {
        while let Some((_, job)) = self.over.front().copied().filter(|(until, _)| *until < now) {
            self.over.pop_front();
            self.jobs.remove(&job);
        }
        if !self.recovered.is_empty() {
            self.recovered.retain(|_, until| *until > now);
        }
    }
}

/// A client that waits for a batch; dropped before the answer, it has gone unless it comes again at once.
pub struct Waiter {
    desk: Arc<Desk>,
    id: BatchId,
    answer: watch::Receiver<Option<Final>>,
}

impl Waiter {
    pub async fn answer(mut self) -> Final {
        let last = self.answer.wait_for(Option::is_some).await;
        last.ok().and_then(|last| last.clone()).unwrap_or(Final::Errored)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let Some(waited) = self.desk.leaves(self.id) else { return };
        let (desk, id) = (self.desk.clone(), self.id);
        match Handle::try_current() {
            Ok(runtime) => drop(runtime.spawn(async move {
                sleep(COMES_AGAIN).await;
                desk.stays_away(id, waited);
            })),
            Err(_) => desk.stays_away(id, waited),
        }
    }
}
