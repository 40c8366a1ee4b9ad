//! Every order of events of a small fleet, by exhaustive search: three issuers, two gateways, one resource, with loss,
//! duplicates, reordering, pause and restart of each at every step, and clocks that drift at the bound: issuers' fast,
//! holders' slow. Checked in every state: never two holders at once, and epochs grow. An injected bug must be found, with
//! its trace.

use garnetwall_fleet::{
    Epoch, HolderId, IssuerLimits, LeaseHolder, LeaseIssuer, LeaseReply, LeaseRequest, LeaseTerms,
    Resource,
};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

const ISSUERS: usize = 3;
const HOLDERS: usize = 2;
const RESOURCE: Resource = Resource(7);
/// A step of 10 ms of real time, by clocks that drift by a tenth.
const ISSUER_STEP: Duration = Duration::from_millis(11);
const HOLDER_STEP: Duration = Duration::from_millis(9);
const DRIFT_PPM: u32 = 100_000;
const LIMITS: IssuerLimits = IssuerLimits {
    max_holders: 8,
    max_resources: 8,
};
const LEASE_DURATION: Duration = Duration::from_millis(22);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedBug {
    None,
    /// The holder counts its lease as long as its issuers do.
    NoDriftMargin,
    /// A restarted issuer replies at once.
    NoStartupSilence,
}

#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
enum Message {
    /// From a holder to an issuer.
    Request(usize, usize, LeaseRequest),
    /// To a holder from an issuer.
    Reply(usize, usize, LeaseReply),
}

/// How many events of each kind may still happen: the search ends where all are used up.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct EventBudget {
    steps: u8,
    requests: [u8; HOLDERS],
    restarts: u8,
    duplicates: u8,
    releases: u8,
}

/// A gateway that holds the resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Holding {
    holder: usize,
    incarnation: u64,
    epoch: Epoch,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct FleetState {
    /// Each with its clock.
    issuers: Vec<(LeaseIssuer, Duration)>,
    /// Each with its clock.
    holders: Vec<(LeaseHolder, Duration)>,
    in_flight: BTreeSet<Message>,
    last_incarnation: u64,
    budget: EventBudget,
    /// The last to hold the resource.
    last_holding: Option<Holding>,
    /// By holder.
    incarnations: [u64; HOLDERS],
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Step,
    SendRequests(usize),
    /// A message, and whether it is delivered again later.
    Deliver(Message, bool),
    RestartIssuer(usize),
    RestartHolder(usize),
    /// The holder releases the resource and claims it again.
    Release(usize),
}

fn terms(bug: InjectedBug) -> LeaseTerms {
    let checked = LeaseTerms::new(
        LEASE_DURATION,
        DRIFT_PPM,
        Duration::from_millis(4),
        &[1, 2, 3],
    )
    .unwrap();
    match bug {
        InjectedBug::NoDriftMargin => {
            LeaseTerms::unchecked(LEASE_DURATION, LEASE_DURATION, ISSUERS)
        }
        InjectedBug::None | InjectedBug::NoStartupSilence => checked,
    }
}

fn holder_id(n: usize, incarnation: u64) -> HolderId {
    HolderId {
        gateway: n as u64,
        incarnation,
    }
}

impl FleetState {
    fn new(bug: InjectedBug, budget: EventBudget) -> FleetState {
        let terms = terms(bug);
        let issuer = |n| {
            (
                LeaseIssuer::start_without_silence(
                    Duration::ZERO,
                    0,
                    1000 * (n as u64 + 1),
                    &terms,
                    LIMITS,
                ),
                Duration::ZERO,
            )
        };
        let holder = |n| {
            let mut holder = LeaseHolder::new(holder_id(n, n as u64), terms, n as u64);
            holder.observe_epoch(Epoch(100 + n as u64));
            holder.want(Duration::ZERO, RESOURCE);
            (holder, Duration::ZERO)
        };
        FleetState {
            issuers: (0..ISSUERS).map(issuer).collect(),
            holders: (0..HOLDERS).map(holder).collect(),
            in_flight: BTreeSet::new(),
            last_incarnation: 10,
            budget,
            last_holding: None,
            incarnations: [0, 1],
        }
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for message in &self.in_flight {
            events.push(Event::Deliver(message.clone(), false));
            if self.budget.duplicates > 0 {
                events.push(Event::Deliver(message.clone(), true));
            }
        }
        for n in 0..HOLDERS {
            if self.budget.requests[n] > 0
                && self.holders[n].1 >= self.holders[n].0.next_request_at()
            {
                events.push(Event::SendRequests(n));
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
            let holds = |n: &usize| {
                self.holders[*n]
                    .0
                    .holds(self.holders[*n].1, RESOURCE)
                    .is_some()
            };
            events.extend((0..HOLDERS).filter(holds).map(Event::Release));
        }
        events
    }

    fn apply(&mut self, event: &Event, bug: InjectedBug) {
        match event {
            Event::Step => {
                self.budget.steps -= 1;
                self.issuers
                    .iter_mut()
                    .for_each(|(_, clock)| *clock += ISSUER_STEP);
                self.holders
                    .iter_mut()
                    .for_each(|(_, clock)| *clock += HOLDER_STEP);
            }
            Event::SendRequests(n) => {
                self.budget.requests[*n] -= 1;
                let (holder, clock) = &mut self.holders[*n];
                let requests = holder
                    .requests(*clock)
                    .into_iter()
                    .map(|addressed| Message::Request(*n, addressed.issuer, addressed.request));
                self.in_flight.extend(requests);
            }
            Event::Deliver(message, is_duplicated) => {
                match is_duplicated {
                    true => self.budget.duplicates -= 1,
                    false => drop(self.in_flight.remove(message)),
                }
                match message {
                    Message::Request(holder, issuer, request) => {
                        let (lease_issuer, clock) = &mut self.issuers[*issuer];
                        if let Ok(reply) = lease_issuer.handle_request(*clock, request) {
                            let reply = Message::Reply(*holder, *issuer, reply);
                            self.in_flight.insert(reply);
                        }
                    }
                    Message::Reply(holder, issuer, reply) => {
                        self.holders[*holder].0.handle_reply(*issuer, reply);
                    }
                }
            }
            Event::RestartIssuer(n) => {
                self.budget.restarts -= 1;
                self.last_incarnation += 1;
                let (issuer, clock) = &mut self.issuers[*n];
                let (incarnation, unix, terms) = (
                    1000 * self.last_incarnation,
                    clock.as_millis() as u64,
                    terms(bug),
                );
                *issuer = match bug {
                    InjectedBug::NoStartupSilence => LeaseIssuer::start_without_silence(
                        *clock,
                        unix,
                        incarnation,
                        &terms,
                        LIMITS,
                    ),
                    _ => LeaseIssuer::start(*clock, unix, incarnation, &terms, LIMITS),
                };
            }
            Event::RestartHolder(n) => {
                self.budget.restarts -= 1;
                self.last_incarnation += 1;
                self.incarnations[*n] = self.last_incarnation;
                let (holder, clock) = &mut self.holders[*n];
                *holder =
                    LeaseHolder::new(holder_id(*n, self.last_incarnation), terms(bug), *n as u64);
                holder.observe_epoch(Epoch(100 + self.last_incarnation));
                holder.want(*clock, RESOURCE);
            }
            Event::Release(n) => {
                self.budget.releases -= 1;
                let (holder, clock) = &mut self.holders[*n];
                holder.release(*clock, RESOURCE);
                holder.want(*clock, RESOURCE);
            }
        }
    }

    /// The invariant that this state violates.
    fn violation(&mut self) -> Option<String> {
        let holding = |n: usize| {
            self.holders[n]
                .0
                .holds(self.holders[n].1, RESOURCE)
                .map(|epoch| (n, epoch))
        };
        let now: Vec<(usize, Epoch)> = (0..HOLDERS).filter_map(holding).collect();
        if now.len() > 1 {
            return Some(format!("two holders: {now:?}"));
        }
        if let Some((n, epoch)) = now.first().copied() {
            let this = Holding {
                holder: n,
                incarnation: self.incarnations[n],
                epoch,
            };
            if self
                .last_holding
                .is_some_and(|last| last != this && last.epoch >= epoch)
            {
                return Some(format!(
                    "epoch does not grow: {:?}, then {this:?}",
                    self.last_holding
                ));
            }
            self.last_holding = Some(this);
        }
        None
    }

    fn fingerprint(&self) -> u128 {
        let hash_with = |salt: u64| {
            let mut hasher = DefaultHasher::new();
            (salt, self).hash(&mut hasher);
            u128::from(hasher.finish())
        };
        hash_with(1) << 64 | hash_with(2)
    }
}

struct SearchResult {
    states: usize,
    /// Events after which the resource was held or had been.
    holdings: usize,
    /// What is wrong, and the events that led there.
    violation: Option<(String, Vec<Event>)>,
}

fn search(bug: InjectedBug, budget: EventBudget) -> SearchResult {
    let start = FleetState::new(bug, budget);
    let mut visited = HashSet::from([start.fingerprint()]);
    let mut holdings = 0;
    let mut path: Vec<(FleetState, Vec<Event>, Option<Event>)> = Vec::new();
    let events = start.events();
    path.push((start, events, None));
    while let Some((state, events, _)) = path.last_mut() {
        let Some(event) = events.pop() else {
            path.pop();
            continue;
        };
        let mut next = state.clone();
        next.apply(&event, bug);
        let violation = next.violation();
        holdings += usize::from(next.last_holding.is_some());
        if let Some(violation) = violation {
            let trace = path
                .iter()
                .filter_map(|(_, _, event)| event.clone())
                .chain([event])
                .collect();
            return SearchResult {
                states: visited.len(),
                holdings,
                violation: Some((violation, trace)),
            };
        }
        if visited.insert(next.fingerprint()) {
            let events = next.events();
            path.push((next, events, Some(event)));
        }
    }
    SearchResult {
        states: visited.len(),
        holdings,
        violation: None,
    }
}

#[test]
fn never_two_holders_and_epochs_grow_in_every_order_of_events() {
    // Each explores another corner; all at once are too many states for a test of seconds.
    let corners = [
        (
            "steps",
            EventBudget {
                steps: 2,
                requests: [1, 1],
                restarts: 0,
                duplicates: 0,
                releases: 0,
            },
        ),
        (
            "restart",
            EventBudget {
                steps: 1,
                requests: [1, 1],
                restarts: 1,
                duplicates: 0,
                releases: 0,
            },
        ),
        (
            "release",
            EventBudget {
                steps: 0,
                requests: [2, 1],
                restarts: 0,
                duplicates: 0,
                releases: 1,
            },
        ),
        (
            "duplicate",
            EventBudget {
                steps: 1,
                requests: [1, 1],
                restarts: 0,
                duplicates: 1,
                releases: 0,
            },
        ),
    ];
    for (name, budget) in corners {
        let result = search(InjectedBug::None, budget);
        println!(
            "{name}: {} states, {} with a holder so far",
            result.states, result.holdings
        );
        assert!(
            result.violation.is_none(),
            "{name}: {:#?}",
            result.violation
        );
        assert!(
            result.holdings > 0,
            "{name}: no gateway ever held it, so nothing was checked"
        );
    }
}

#[test]
fn search_finds_two_holders_without_drift_margin_or_startup_silence() {
    let budget = EventBudget {
        steps: 2,
        requests: [1, 1],
        restarts: 0,
        duplicates: 0,
        releases: 0,
    };
    let restart = EventBudget {
        steps: 0,
        requests: [1, 1],
        restarts: 1,
        duplicates: 0,
        releases: 0,
    };
    for (bug, budget) in [
        (InjectedBug::NoDriftMargin, budget),
        (InjectedBug::NoStartupSilence, restart),
    ] {
        let (violation, trace) = search(bug, budget)
            .violation
            .unwrap_or_else(|| panic!("{bug:?} was not found"));
        println!("{bug:?}: {violation} after {trace:#?}");
        assert!(violation.contains("two holders"), "{violation}");
        assert!(
            search(InjectedBug::None, budget).violation.is_none(),
            "without the bug nothing is wrong"
        );
    }
}
