//! A simulation of a fleet of lease issuers and holders, without I/O and in simulated time. The seed determines the
//! run.

mod faults;
mod invariants;

use crate::common::Rng;
use garnetwall_fleet::wire::{DatagramCodec, Message};
use garnetwall_fleet::{
    Epoch, HolderId, IssuerLimits, LeaseHolder, LeaseIssuer, LeaseTerms, Resource,
};
use invariants::{Actor, InvariantChecker, Outcome};
use std::time::Duration;

const GATEWAYS: usize = 4;
const RESOURCES: usize = 5;
const FAULT_PHASE_MS: u64 = 20_000;
/// The time after the faults end in which the fleet must recover.
const RECOVERY_PHASE_MS: u64 = 8_000;
pub const LEASE_MS: u64 = 2_000;
const DRIFT_PPM: u32 = 50_000;
const STEP_MS: u64 = 5;
const LIMITS: IssuerLimits = IssuerLimits {
    max_holders: 64,
    max_resources: 64,
};

/// A bug that the simulation must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// The duration of a lease is the same for holders as for issuers, without a margin for clock drift.
    NoDriftMargin,
    /// A restarted issuer replies at once, instead of after the duration of a lease.
    NoStartupSilence,
    /// A gateway acts after a pause on the leases that it held before, without checking whether they have expired.
    ActsOnExpiredLease,
}

#[derive(Clone, Copy)]
struct HeldLease {
    resource: Resource,
    epoch: Epoch,
}

struct Gateway {
    /// The time by which the gateway's clock is ahead of simulated time at the start.
    clock_offset_ms: u64,
    /// The fraction by which the clock is faster than simulated time; negative for a slow clock.
    clock_drift: f64,
    paused_until_ms: u64,
    /// The time at which a killed gateway restarts; `None` if it is not killed.
    down_until_ms: Option<u64>,
    incarnation: u64,
    holder: LeaseHolder,
    issuer: Option<LeaseIssuer>,
    held_when_paused: Vec<HeldLease>,
}

struct InFlight {
    due_ms: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A one-way partition: datagrams from one gateway to another are lost until `until_ms`.
struct Partition {
    from: usize,
    to: usize,
    until_ms: u64,
}

pub struct Simulation {
    bug: InjectedBug,
    rng: Rng,
    now_ms: u64,
    terms: LeaseTerms,
    /// The number of issuers. The gateways with an index below it are issuers, too.
    issuers: usize,
    gateways: Vec<Gateway>,
    datagrams: DatagramCodec,
    in_flight: Vec<InFlight>,
    /// If set, the only fault is that holders that are not issuers are killed, one after another.
    pub kills_only_holders: bool,
    partitions: Vec<Partition>,
    pub loss_percent: u64,
    checker: InvariantChecker,
}

fn resources() -> impl Iterator<Item = Resource> {
    (0..RESOURCES as u64).map(Resource)
}

impl Simulation {
    pub fn new(seed: u64, bug: InjectedBug) -> Simulation {
        let mut rng = Rng(seed ^ 0x51_7c_c1_b7);
        rng.below(1);
        let issuers = if rng.below(4) == 0 { 1 } else { 3 };
        let loss_percent = [0, 10, 30][rng.below(3) as usize];
        let mut simulation = Simulation {
            bug,
            now_ms: 0,
            terms: terms(issuers, bug),
            issuers,
            gateways: Vec::new(),
            datagrams: DatagramCodec::new("simulated", (rng.below(2) == 0).then_some(b"a key")),
            in_flight: Vec::new(),
            kills_only_holders: false,
            partitions: Vec::new(),
            loss_percent,
            checker: InvariantChecker::default(),
            rng,
        };
        for index in 0..GATEWAYS {
            simulation.add_gateway(index);
            simulation.start_gateway(index);
        }
        simulation
    }

    fn add_gateway(&mut self, index: usize) {
        let clock_offset_ms = self.rng.below(1 << 20);
        // The drift of each clock is 80 % to 100 % of the bound, fast or slow.
        let part_of_bound = 1.0 - self.rng.below(3) as f64 / 10.0;
        let sign = if self.one_in(2) { 1.0 } else { -1.0 };
        let clock_drift = sign * part_of_bound * f64::from(DRIFT_PPM) / 1e6;
        let incarnation = self.rng.below(u64::MAX);
        self.gateways.push(Gateway {
            clock_offset_ms,
            clock_drift,
            paused_until_ms: 0,
            down_until_ms: None,
            incarnation,
            holder: LeaseHolder::new(holder_id(index, incarnation), self.terms, incarnation),
            issuer: None,
            held_when_paused: Vec::new(),
        });
    }

    /// Starts a gateway as a new incarnation that wants all resources.
    fn start_gateway(&mut self, index: usize) {
        let now = self.clock(index);
        let incarnation = self.rng.below(1 << 62);
        let issuer = (index < self.issuers).then(|| self.start_issuer(index, now, incarnation));
        let gateway = &mut self.gateways[index];
        gateway.incarnation = incarnation;
        gateway.holder = LeaseHolder::new(holder_id(index, incarnation), self.terms, incarnation);
        gateway.held_when_paused.clear();
        gateway.issuer = issuer;
        for resource in resources() {
            gateway.holder.want(now, resource);
        }
    }

    fn start_issuer(&self, index: usize, now: Duration, incarnation: u64) -> LeaseIssuer {
        // The wall clocks of issuers differ by up to half the duration of a lease.
        let clock_offset_ms = self.gateways[index].clock_offset_ms % (LEASE_MS / 2);
        let unix_ms = 1_000_000 + self.now_ms + clock_offset_ms;
        let is_restart = self.now_ms > 0;
        match self.bug == InjectedBug::NoStartupSilence && is_restart {
            true => {
                LeaseIssuer::start_without_silence(now, unix_ms, incarnation, &self.terms, LIMITS)
            }
            false => LeaseIssuer::start(now, unix_ms, incarnation, &self.terms, LIMITS),
        }
    }

    /// Returns true with a probability of 1 in `times`.
    fn one_in(&mut self, times: u64) -> bool {
        self.rng.below(times) == 0
    }

    /// Returns the time by a gateway's own clock.
    fn clock(&self, index: usize) -> Duration {
        let gateway = &self.gateways[index];
        let passed_ms = self.now_ms as f64 * (1.0 + gateway.clock_drift);
        Duration::from_secs_f64((gateway.clock_offset_ms as f64 + passed_ms) / 1000.0)
    }

    fn is_running(&self, index: usize) -> bool {
        let gateway = &self.gateways[index];
        let down_until_ms = gateway.down_until_ms.unwrap_or(0);
        self.now_ms >= gateway.paused_until_ms && self.now_ms >= down_until_ms
    }

    fn held_leases(&self, index: usize) -> Vec<HeldLease> {
        let now = self.clock(index);
        let holder = &self.gateways[index].holder;
        resources()
            .filter_map(|resource| {
                let epoch = holder.holds(now, resource)?;
                Some(HeldLease { resource, epoch })
            })
            .collect()
    }

    /// Sends a message. While faults are injected, the message may be lost, duplicated, delayed or altered.
    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let Some(datagram) = self.datagrams.encode(message) else {
            let violation = format!("message does not fit into a datagram: {message:?}");
            return self.checker.record_violation(violation);
        };
        let is_fault_phase = self.now_ms < FAULT_PHASE_MS;
        if is_fault_phase && self.rng.below(100) < self.loss_percent {
            return;
        }
        let copies = if is_fault_phase && self.one_in(20) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_delayed = is_fault_phase && self.one_in(10);
            let max_delay_ms = if is_delayed { 3000 } else { 40 };
            let mut bytes = datagram.clone();
            if is_fault_phase && self.one_in(50) {
                self.alter(&mut bytes);
            }
            let due_ms = self.now_ms + 1 + self.rng.below(max_delay_ms);
            self.in_flight.push(InFlight {
                due_ms,
                from,
                to,
                bytes,
            });
        }
    }

    fn alter(&mut self, bytes: &mut [u8]) {
        let index = self.rng.below(bytes.len() as u64) as usize;
        // A fleet without a key detects altered bytes only in the header, so that only header bytes are altered.
        let index = if self.loss_percent == 0 {
            index.min(8)
        } else {
            0
        };
        bytes[index] ^= 1 << self.rng.below(8);
    }

    fn deliver(&mut self, datagram: &InFlight) {
        let (from, to) = (datagram.from, datagram.to);
        let is_partitioned = self.partitions.iter().any(|partition| {
            (partition.from, partition.to) == (from, to) && self.now_ms < partition.until_ms
        });
        if is_partitioned {
            return;
        }
        let now = self.clock(to);
        let gateway = &mut self.gateways[to];
        match self.datagrams.decode(&datagram.bytes) {
            Ok(Message::Request(request)) => {
                let issuer = gateway.issuer.as_mut();
                let reply = issuer.and_then(|issuer| issuer.handle_request(now, &request).ok());
                if let Some(reply) = reply {
                    self.send(to, from, &Message::Reply(reply));
                }
            }
            Ok(Message::Reply(reply)) => gateway.holder.handle_reply(from, &reply),
            Ok(Message::Swim(_)) | Err(_) => {}
        }
    }

    /// Checks the invariants at this moment, with every running gateway acting on all leases that it holds.
    fn check_invariants(&mut self) {
        let mut actors: [Vec<Actor>; RESOURCES] = Default::default();
        for index in 0..GATEWAYS {
            if !self.is_running(index) {
                continue;
            }
            let mut leases = self.held_leases(index);
            let held_when_paused = std::mem::take(&mut self.gateways[index].held_when_paused);
            if self.bug == InjectedBug::ActsOnExpiredLease {
                leases.extend(held_when_paused);
            }
            for lease in leases {
                actors[lease.resource.0 as usize].push(Actor {
                    gateway: index,
                    incarnation: self.gateways[index].incarnation,
                    epoch: lease.epoch,
                });
            }
        }
        for (resource, actors) in actors.into_iter().enumerate() {
            self.checker.record_actors(self.now_ms, resource, actors);
        }
    }

    fn restart_gateways(&mut self) {
        for index in 0..GATEWAYS {
            let gateway = &mut self.gateways[index];
            let is_due = gateway
                .down_until_ms
                .is_some_and(|until| self.now_ms >= until);
            if is_due {
                gateway.down_until_ms = None;
                self.start_gateway(index);
            }
        }
    }

    /// Removes and returns the datagrams to be delivered now. Datagrams to a paused gateway are delivered when it
    /// resumes, and those to a killed gateway are lost.
    fn take_due_datagrams(&mut self) -> Vec<InFlight> {
        let mut due = Vec::new();
        for datagram in std::mem::take(&mut self.in_flight) {
            let is_due = datagram.due_ms <= self.now_ms;
            if is_due && self.is_running(datagram.to) {
                due.push(datagram);
            } else if !is_due || self.gateways[datagram.to].down_until_ms.is_none() {
                self.in_flight.push(datagram);
            }
        }
        due
    }

    fn send_requests(&mut self) {
        for index in 0..GATEWAYS {
            if !self.is_running(index) {
                continue;
            }
            let now = self.clock(index);
            for addressed in self.gateways[index].holder.requests(now) {
                let request = Message::Request(addressed.request);
                self.send(index, addressed.issuer, &request);
            }
        }
    }

    /// Runs the simulation to its end and returns the outcome.
    pub fn run(mut self) -> Outcome {
        while self.now_ms < FAULT_PHASE_MS + RECOVERY_PHASE_MS {
            self.inject_faults();
            self.restart_gateways();
            let due = self.take_due_datagrams();
            self.check_invariants();
            for datagram in due {
                self.deliver(&datagram);
            }
            self.send_requests();
            self.check_invariants();
            self.now_ms += STEP_MS;
        }
        let held: Vec<HeldLease> = (0..GATEWAYS)
            .flat_map(|index| self.held_leases(index))
            .collect();
        let mut outcome = self.checker.outcome;
        outcome.without_holder = resources()
            .filter(|resource| !held.iter().any(|lease| lease.resource == *resource))
            .collect();
        outcome
    }
}

fn terms(issuers: usize, bug: InjectedBug) -> LeaseTerms {
    let names: Vec<u64> = (0..issuers as u64).collect();
    let lease_duration = Duration::from_millis(LEASE_MS);
    let round_trip = Duration::from_millis(100);
    let checked = LeaseTerms::new(lease_duration, DRIFT_PPM, round_trip, &names).unwrap();
    match bug {
        InjectedBug::NoDriftMargin => {
            LeaseTerms::unchecked(lease_duration, lease_duration, issuers)
        }
        _ => checked,
    }
}

fn holder_id(index: usize, incarnation: u64) -> HolderId {
    HolderId {
        gateway: index as u64,
        incarnation,
    }
}
