//! Engines on their way into the subset: connections are made at a pace, and engines that could not be reached are retried
//! with a backoff.

use crate::engine::EngineKey;
use crate::score::GatewayHash;
use std::collections::{BTreeMap, BTreeSet};

/// The most connections that are made at the same time.
const MAX_CONNECTING: usize = 64;

/// An engine whose connection is not made within this time counts as not reached.
const CONNECT_TIMEOUT_SECONDS: f64 = 10.0;

/// The longest jitter before the first engine that joins at the pace, so that gateways do not act in step.
const MAX_JITTER_SECONDS: f64 = 2.0;

/// The first backoff of an engine that was not reached; it doubles with each failure.
const BACKOFF_SECONDS: f64 = 5.0;

/// The longest backoff.
const MAX_BACKOFF_SECONDS: f64 = 60.0;

/// The most unreached engines that are remembered; the one that would be retried next is forgotten first.
const MAX_UNREACHED: usize = 1_024;

/// Whether the connection to an engine was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// It was made: the engine may join.
    Reached,
    /// It was not: another engine takes the place, and this one is retried later.
    NotReached,
}

/// Why a connection may be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartReason {
    /// The engine fills a vacated place, which does not wait for the pace.
    Refill,
    /// The engine was due at the pace, or its retry was.
    Due,
}

/// A connection that is being made.
#[derive(Clone, Copy, Debug)]
struct Connecting {
    deadline: f64,
    reason: StartReason,
}

/// An engine that was not reached.
#[derive(Clone, Copy, Debug)]
struct Unreached {
    retry_at: f64,
    failures: i32,
}

/// Engines that are to join the subset, until they do.
#[derive(Clone, Debug)]
pub(crate) struct JoinQueue {
    gateway: GatewayHash,
    /// Seconds between two engines that start to join at the pace.
    interval: f64,
    connecting: BTreeMap<EngineKey, Connecting>,
    /// Engines whose connection was made, and which wait to join.
    reached: BTreeSet<EngineKey>,
    unreached: BTreeMap<EngineKey, Unreached>,
    /// Vacated places that may be filled without waiting for the pace.
    refills: usize,
    /// When the next engine may start to join at the pace, while one waits.
    next_start_at: Option<f64>,
    /// When the last one was.
    last_start_at: Option<f64>,
    jitter_draws: u64,
}

impl JoinQueue {
    pub fn new(gateway: GatewayHash, joins_per_second: f64) -> Self {
        JoinQueue {
            gateway,
            interval: joins_per_second.recip(),
            connecting: BTreeMap::new(),
            reached: BTreeSet::new(),
            unreached: BTreeMap::new(),
            refills: 0,
            next_start_at: None,
            last_start_at: None,
            jitter_draws: 0,
        }
    }

    fn jitter(&mut self) -> f64 {
        self.jitter_draws += 1;
        self.gateway.jitter(self.jitter_draws)
    }

    /// A member's place was vacated.
    pub fn add_refill(&mut self, reserve: usize) {
        self.refills = (self.refills + 1).min(reserve);
    }

    /// No engine is missing: no vacated place is left to refill.
    pub fn clear_refills(&mut self) {
        self.refills = 0;
    }

    /// No engine waits for the pace.
    pub fn clear_pace_wait(&mut self) {
        self.next_start_at = None;
    }

    /// Forgets an engine that has joined or that has left the list.
    pub fn forget(&mut self, engine: EngineKey) {
        self.connecting.remove(&engine);
        self.reached.remove(&engine);
        self.unreached.remove(&engine);
    }

    /// Records whether a connection was made; returns whether the engine was waited for.
    pub fn connect_ended(&mut self, now: f64, engine: EngineKey, outcome: ConnectOutcome) -> bool {
        let Some(connecting) = self.connecting.remove(&engine) else {
            return false;
        };
        if outcome == ConnectOutcome::Reached {
            self.unreached.remove(&engine);
            self.reached.insert(engine);
            return true;
        }
        if connecting.reason == StartReason::Refill {
            self.refills += 1;
        }
        self.add_unreached(now, engine);
        true
    }

    /// An engine that was not reached is retried after a backoff with jitter.
    fn add_unreached(&mut self, now: f64, engine: EngineKey) {
        let failures = self
            .unreached
            .get(&engine)
            .map_or(0, |unreached| unreached.failures);
        let backoff = (BACKOFF_SECONDS * 2.0_f64.powi(failures)).min(MAX_BACKOFF_SECONDS);
        let retry_at = now + backoff * (0.5 + self.jitter());
        let failures = failures.saturating_add(1);
        self.unreached
            .insert(engine, Unreached { retry_at, failures });
        if self.unreached.len() > MAX_UNREACHED {
            self.forget_next_retry();
        }
    }

    fn forget_next_retry(&mut self) {
        let retries = self.unreached.iter();
        let next = retries.min_by(|(_, a), (_, b)| a.retry_at.total_cmp(&b.retry_at));
        if let Some(engine) = next.map(|(engine, _)| *engine) {
            self.unreached.remove(&engine);
        }
    }

    /// Counts connections that were not made in time as not reached; whether there were any.
    pub fn expire_connecting(&mut self, now: f64) -> bool {
        let is_expired = |(engine, connecting): (&EngineKey, &Connecting)| {
            (connecting.deadline <= now).then_some(*engine)
        };
        let expired: Vec<EngineKey> = self.connecting.iter().filter_map(is_expired).collect();
        for engine in &expired {
            self.connect_ended(now, *engine, ConnectOutcome::NotReached);
        }
        !expired.is_empty()
    }

    /// Starts the retries that are due; the engines that are to be connected to.
    pub fn start_retries(&mut self, now: f64) -> Vec<EngineKey> {
        let free_slots = MAX_CONNECTING.saturating_sub(self.connecting.len());
        let is_due = |(engine, unreached): (&EngineKey, &Unreached)| {
            (unreached.retry_at <= now && !self.connecting.contains_key(engine)).then_some(*engine)
        };
        let due = self.unreached.iter().filter_map(is_due);
        let due: Vec<EngineKey> = due.take(free_slots).collect();
        for engine in &due {
            self.start_connecting(now, *engine, StartReason::Due);
        }
        due
    }

    fn start_connecting(&mut self, now: f64, engine: EngineKey, reason: StartReason) {
        let deadline = now + CONNECT_TIMEOUT_SECONDS;
        self.connecting
            .insert(engine, Connecting { deadline, reason });
    }

    /// Starts to connect to a missing engine, if the pace, a refill or its urgency allows; whether it did.
    pub fn try_connect(&mut self, now: f64, engine: EngineKey, is_urgent: bool) -> bool {
        if self.connecting.len() >= MAX_CONNECTING {
            return false;
        }
        if is_urgent {
            self.start_connecting(now, engine, StartReason::Refill);
            return true;
        }
        if self.refills > 0 {
            self.refills -= 1;
            self.start_connecting(now, engine, StartReason::Refill);
            return true;
        }
        self.try_connect_at_pace(now, engine)
    }

    fn try_connect_at_pace(&mut self, now: f64, engine: EngineKey) -> bool {
        if self.next_start_at.is_none() {
            let earliest = self
                .last_start_at
                .map_or(now, |last| (last + self.interval).max(now));
            self.next_start_at = Some(earliest + MAX_JITTER_SECONDS * self.jitter());
        }
        if self.next_start_at.is_some_and(|next| now < next) {
            return false;
        }
        self.last_start_at = Some(now);
        self.next_start_at = Some(now + self.interval);
        self.start_connecting(now, engine, StartReason::Due);
        true
    }

    /// Whether a connection to the engine is being made.
    pub fn is_connecting(&self, engine: EngineKey) -> bool {
        self.connecting.contains_key(&engine)
    }

    /// Whether the connection was made, and the engine waits to join.
    pub fn is_reached(&self, engine: EngineKey) -> bool {
        self.reached.contains(&engine)
    }

    /// Forgets reached engines that are not to join after all.
    pub fn clear_reached(&mut self) {
        self.reached.clear();
    }

    /// Engines that are passed over until they are reached.
    pub fn unreached(&self) -> BTreeSet<EngineKey> {
        self.unreached.keys().copied().collect()
    }

    /// How many engines were not reached.
    pub fn unreached_count(&self) -> usize {
        self.unreached.len()
    }

    /// Forgets that engines were not reached.
    pub fn clear_unreached(&mut self) {
        self.unreached.clear();
    }

    /// When something is due, if nothing is reported until then.
    pub fn wake(&self) -> Option<f64> {
        let deadlines = self
            .connecting
            .values()
            .map(|connecting| connecting.deadline);
        let not_connecting =
            |(engine, _): &(&EngineKey, &Unreached)| !self.connecting.contains_key(engine);
        let retries = self
            .unreached
            .iter()
            .filter(not_connecting)
            .map(|(_, unreached)| unreached.retry_at);
        let has_free_slot = self.connecting.len() < MAX_CONNECTING;
        deadlines
            .chain(retries.chain(self.next_start_at).filter(|_| has_free_slot))
            .reduce(f64::min)
    }
}
