//! Tracks the engines that are about to join the subset: limits the pace of connections, and retries unreached engines
//! with a backoff.

use crate::engine::EngineKey;
use crate::score::GatewayHash;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of connections in progress at the same time.
const MAX_CONNECTING: usize = 64;

/// An engine counts as not reached if no outcome of its connection is reported within this time.
const CONNECT_TIMEOUT_SECONDS: f64 = 10.0;

/// Maximum jitter before the first engine that joins at the pace. The jitter prevents gateways from connecting to the
/// same engine at the same time.
const MAX_JITTER_SECONDS: f64 = 2.0;

/// Initial backoff before the retry of an unreached engine; doubles with each failure.
const BACKOFF_SECONDS: f64 = 5.0;

/// Upper bound of the backoff before jitter.
const MAX_BACKOFF_SECONDS: f64 = 60.0;

/// Maximum number of unreached engines that are remembered. Above it, the engine with the earliest retry is forgotten.
const MAX_UNREACHED: usize = 1_024;

/// The outcome of a connection to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The connection was established; the engine may join.
    Reached,
    /// The connection failed. Another engine takes the place, and this engine is retried later.
    NotReached,
}

/// The reason for which a connection was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartReason {
    /// The engine fills a vacated place or is urgent, so that it does not wait for the pace.
    Refill,
    /// The engine was due according to the pace, or its retry was due.
    Due,
}

/// A connection in progress.
#[derive(Clone, Copy, Debug)]
struct Connecting {
    deadline: f64,
    reason: StartReason,
}

/// The retry of an engine that could not be reached.
#[derive(Clone, Copy, Debug)]
struct Unreached {
    retry_at: f64,
    failures: i32,
}

/// The engines that should join the subset, until they join or leave the list.
#[derive(Clone, Debug)]
pub(crate) struct JoinQueue {
    gateway: GatewayHash,
    /// Seconds between the connections to two engines that join at the pace.
    interval: f64,
    connecting: BTreeMap<EngineKey, Connecting>,
    /// Engines whose connection was established and that wait to join.
    reached: BTreeSet<EngineKey>,
    unreached: BTreeMap<EngineKey, Unreached>,
    /// Number of vacated places that may be refilled without waiting for the pace.
    refills: usize,
    /// Earliest time of the next connection according to the pace; `None` while no engine waits for the pace.
    next_start_at: Option<f64>,
    /// Time of the last connection that was started according to the pace.
    last_start_at: Option<f64>,
    /// Number of jitter values drawn so far.
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

    /// Allows one more refill, up to `reserve` in total. Called when a member drains or leaves the list.
    pub fn add_refill(&mut self, reserve: usize) {
        self.refills = (self.refills + 1).min(reserve);
    }

    /// Cancels all refills. Called when no engine is missing.
    pub fn clear_refills(&mut self) {
        self.refills = 0;
    }

    /// Cancels the wait for the pace. Called when no engine waits for it.
    pub fn clear_pace_wait(&mut self) {
        self.next_start_at = None;
    }

    /// Forgets an engine that has joined or has left the list.
    pub fn forget(&mut self, engine: EngineKey) {
        self.connecting.remove(&engine);
        self.reached.remove(&engine);
        self.unreached.remove(&engine);
    }

    /// Records the outcome of a connection. Returns false if no connection to the engine was in progress; the outcome
    /// is then ignored.
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

    /// Schedules the retry of an unreached engine after a backoff of 0.5 to 1.5 times its nominal length.
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

    /// Records connections whose deadline has passed as not reached. Returns whether there were any.
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

    /// Starts the retries that are due, and returns the engines to connect to.
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

    /// Starts a connection to a missing engine if the engine is urgent, a refill is left, or the pace allows it. Starts
    /// none while [`MAX_CONNECTING`] connections are in progress. Returns whether the connection was started.
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

    /// Returns whether a connection to the engine is in progress.
    pub fn is_connecting(&self, engine: EngineKey) -> bool {
        self.connecting.contains_key(&engine)
    }

    /// Returns whether the connection to the engine was established and the engine waits to join.
    pub fn is_reached(&self, engine: EngineKey) -> bool {
        self.reached.contains(&engine)
    }

    /// Forgets the reached engines that are no longer needed.
    pub fn clear_reached(&mut self) {
        self.reached.clear();
    }

    /// Returns the engines that could not be reached. They are passed over until they are reached.
    pub fn unreached(&self) -> BTreeSet<EngineKey> {
        self.unreached.keys().copied().collect()
    }

    /// Returns the number of engines that could not be reached.
    pub fn unreached_count(&self) -> usize {
        self.unreached.len()
    }

    /// Forgets all unreached engines, so that they may be chosen again.
    pub fn clear_unreached(&mut self) {
        self.unreached.clear();
    }

    /// Returns the time of the next deadline, retry or connection, or `None` if nothing is pending.
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
