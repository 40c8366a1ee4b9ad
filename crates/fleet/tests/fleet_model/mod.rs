//! A model of a small fleet as a state machine, for the exhaustive search: three issuers and two holders that want one
//! resource.

use garnetwall_fleet::{
    Epoch, HolderId, IssuerLimits, LeaseHolder, LeaseIssuer, LeaseReply, LeaseRequest, LeaseTerms,
    Resource,
};
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::time::Duration;

const ISSUERS: usize = 3;
const HOLDERS: usize = 2;
const RESOURCE: Resource = Resource(7);
/// The time that passes in a step of 10 ms by the clocks of issuers, which are fast by a tenth, and of holders, which
/// are slow by a tenth.
const ISSUER_STEP: Duration = Duration::from_millis(11);
const HOLDER_STEP: Duration = Duration::from_millis(9);
const DRIFT_PPM: u32 = 100_000;
const LIMITS: IssuerLimits = IssuerLimits {
    max_holders: 8,
    max_resources: 8,
};
const LEASE_DURATION: Duration = Duration::from_millis(22);

/// A bug that the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// The duration of a lease is the same for holders as for issuers, without a margin for clock drift.
    NoDriftMargin,
    /// A restarted issuer replies at once, instead of after the duration of a lease.
    NoStartupSilence,
}

/// A message in flight between a holder and an issuer, which are given by their indices.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum Message {
    Request {
        holder: usize,
        issuer: usize,
        request: LeaseRequest,
    },
    Reply {
        holder: usize,
        issuer: usize,
        reply: LeaseReply,
    },
}

/// The number of events of each kind that may still happen, which bounds the search.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct EventBudget {
    pub steps: u8,
    /// The rounds of requests of each holder.
    pub requests: [u8; HOLDERS],
    pub restarts: u8,
    pub duplicates: u8,
    pub releases: u8,
}

/// One round of requests of each holder and no other events.
pub const ONE_REQUEST_EACH: EventBudget = EventBudget {
    steps: 0,
    requests: [1; HOLDERS],
    restarts: 0,
    duplicates: 0,
    releases: 0,
};

/// A holder of the resource, with the epoch under which it holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Holding {
    holder: usize,
    incarnation: u64,
    epoch: Epoch,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Issuer {
    state: LeaseIssuer,
    clock: Duration,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Holder {
    state: LeaseHolder,
    clock: Duration,
    incarnation: u64,
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub struct FleetState {
    issuers: Vec<Issuer>,
    holders: Vec<Holder>,
    in_flight: BTreeSet<Message>,
    last_incarnation: u64,
    budget: EventBudget,
    /// The last holding of the resource, which may have ended.
    pub last_holding: Option<Holding>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Step,
    SendRequests(usize),
    Deliver(Message),
    /// Delivers the message and leaves a copy of it in flight.
    DeliverDuplicate(Message),
    RestartIssuer(usize),
    RestartHolder(usize),
    /// The holder releases the resource and claims it again.
    Release(usize),
}

fn terms(bug: InjectedBug) -> LeaseTerms {
    let round_trip = Duration::from_millis(4);
    let checked = LeaseTerms::new(LEASE_DURATION, DRIFT_PPM, round_trip, &[1, 2, 3]).unwrap();
    match bug {
        InjectedBug::NoDriftMargin => {
            LeaseTerms::unchecked(LEASE_DURATION, LEASE_DURATION, ISSUERS)
        }
        InjectedBug::None | InjectedBug::NoStartupSilence => checked,
    }
}

/// Returns an issuer that replies at once, as one that started long ago.
fn running_issuer(index: usize, terms: &LeaseTerms) -> Issuer {
    let clock = Duration::ZERO;
    let incarnation = 1000 * (index as u64 + 1);
    Issuer {
        state: LeaseIssuer::start_without_silence(clock, 0, incarnation, terms, LIMITS),
        clock,
    }
}

/// Returns a holder that wants the resource.
fn claiming_holder(index: usize, incarnation: u64, clock: Duration, terms: LeaseTerms) -> Holder {
    let id = HolderId {
        gateway: index as u64,
        incarnation,
    };
    let mut state = LeaseHolder::new(id, terms, index as u64);
    state.observe_epoch(Epoch(100 + incarnation));
    state.want(clock, RESOURCE);
    Holder {
        state,
        clock,
        incarnation,
    }
}

impl Holder {
    fn holds(&self) -> Option<Epoch> {
        self.state.holds(self.clock, RESOURCE)
    }
}

impl FleetState {
    pub fn new(bug: InjectedBug, budget: EventBudget) -> FleetState {
        let terms = terms(bug);
        let holder = |index| claiming_holder(index, index as u64, Duration::ZERO, terms);
        FleetState {
            issuers: (0..ISSUERS)
                .map(|index| running_issuer(index, &terms))
                .collect(),
            holders: (0..HOLDERS).map(holder).collect(),
            in_flight: BTreeSet::new(),
            last_incarnation: 10,
            budget,
            last_holding: None,
        }
    }

    /// Returns the events that may happen next within the budget.
    pub fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for message in &self.in_flight {
            events.push(Event::Deliver(message.clone()));
            if self.budget.duplicates > 0 {
                events.push(Event::DeliverDuplicate(message.clone()));
            }
        }
        for (index, holder) in self.holders.iter().enumerate() {
            let is_due = holder.clock >= holder.state.next_request_at();
            if self.budget.requests[index] > 0 && is_due {
                events.push(Event::SendRequests(index));
            }
        }
        if self.budget.steps > 0 {
            events.push(Event::Step);
        }
        if self.budget.restarts > 0 {
            events.extend((0..ISSUERS).map(Event::RestartIssuer));
            events.extend((0..HOLDERS).map(Event::RestartHolder));
        }
        if self.budget.releases > 0 {
            let holds = |index: &usize| self.holders[*index].holds().is_some();
            events.extend((0..HOLDERS).filter(holds).map(Event::Release));
        }
        events
    }

    pub fn apply(&mut self, event: &Event, bug: InjectedBug) {
        match event {
            Event::Step => self.step(),
            Event::SendRequests(holder) => self.send_requests(*holder),
            Event::Deliver(message) => {
                self.in_flight.remove(message);
                self.deliver(message);
            }
            Event::DeliverDuplicate(message) => {
                self.budget.duplicates -= 1;
                self.deliver(message);
            }
            Event::RestartIssuer(issuer) => self.restart_issuer(*issuer, bug),
            Event::RestartHolder(holder) => self.restart_holder(*holder, bug),
            Event::Release(holder) => self.release(*holder),
        }
    }

    fn step(&mut self) {
        self.budget.steps -= 1;
        for issuer in &mut self.issuers {
            issuer.clock += ISSUER_STEP;
        }
        for holder in &mut self.holders {
            holder.clock += HOLDER_STEP;
        }
    }

    fn send_requests(&mut self, index: usize) {
        self.budget.requests[index] -= 1;
        let holder = &mut self.holders[index];
        for addressed in holder.state.requests(holder.clock) {
            self.in_flight.insert(Message::Request {
                holder: index,
                issuer: addressed.issuer,
                request: addressed.request,
            });
        }
    }

    fn deliver(&mut self, message: &Message) {
        match message {
            Message::Request {
                holder,
                issuer,
                request,
            } => {
                let receiver = &mut self.issuers[*issuer];
                if let Ok(reply) = receiver.state.handle_request(receiver.clock, request) {
                    self.in_flight.insert(Message::Reply {
                        holder: *holder,
                        issuer: *issuer,
                        reply,
                    });
                }
            }
            Message::Reply {
                holder,
                issuer,
                reply,
            } => self.holders[*holder].state.handle_reply(*issuer, reply),
        }
    }

    fn restart_issuer(&mut self, index: usize, bug: InjectedBug) {
        self.budget.restarts -= 1;
        self.last_incarnation += 1;
        let issuer = &mut self.issuers[index];
        let (clock, unix_ms) = (issuer.clock, issuer.clock.as_millis() as u64);
        let incarnation = 1000 * self.last_incarnation;
        let terms = terms(bug);
        issuer.state = match bug {
            InjectedBug::NoStartupSilence => {
                LeaseIssuer::start_without_silence(clock, unix_ms, incarnation, &terms, LIMITS)
            }
            _ => LeaseIssuer::start(clock, unix_ms, incarnation, &terms, LIMITS),
        };
    }

    fn restart_holder(&mut self, index: usize, bug: InjectedBug) {
        self.budget.restarts -= 1;
        self.last_incarnation += 1;
        let holder = &mut self.holders[index];
        *holder = claiming_holder(index, self.last_incarnation, holder.clock, terms(bug));
    }

    fn release(&mut self, index: usize) {
        self.budget.releases -= 1;
        let holder = &mut self.holders[index];
        holder.state.release(holder.clock, RESOURCE);
        holder.state.want(holder.clock, RESOURCE);
    }

    /// Returns a description of the invariant that this state violates, or `None`. Records the current holding.
    pub fn violation(&mut self) -> Option<String> {
        let holding = |(index, holder): (usize, &Holder)| {
            Some(Holding {
                holder: index,
                incarnation: holder.incarnation,
                epoch: holder.holds()?,
            })
        };
        let holdings: Vec<Holding> = self
            .holders
            .iter()
            .enumerate()
            .filter_map(holding)
            .collect();
        if holdings.len() > 1 {
            return Some(format!("two holders: {holdings:?}"));
        }
        let this = *holdings.first()?;
        if let Some(last) = self.last_holding {
            if last != this && last.epoch >= this.epoch {
                return Some(format!("epoch does not increase: {last:?}, then {this:?}"));
            }
        }
        self.last_holding = Some(this);
        None
    }

    pub fn fingerprint(&self) -> u128 {
        let hash_with = |salt: u64| {
            let mut hasher = DefaultHasher::new();
            (salt, self).hash(&mut hasher);
            u128::from(hasher.finish())
        };
        hash_with(1) << 64 | hash_with(2)
    }
}
