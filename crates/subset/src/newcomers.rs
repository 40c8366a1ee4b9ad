//! Admits engines into the subset at a pace: connections that are being made, and engines that could not be reached.

use crate::engine::EngineKey;
use crate::score::GatewayHash;
use std::collections::{BTreeMap, BTreeSet};

/// The most connections that are made at the same time.
const MAX_WARMING: usize = 64;

/// An engine whose connection is not made within this time counts as not reached.
const WARM_TIMEOUT_SECONDS: f64 = 10.0;

/// The longest jitter before the first newcomer, so that gateways do not act in step.
const MAX_JITTER_SECONDS: f64 = 2.0;

/// The first backoff of an engine that was not reached; it doubles with each failure.
const BACKOFF_SECONDS: f64 = 5.0;

/// The longest backoff.
const MAX_BACKOFF_SECONDS: f64 = 60.0;

/// The most unreached engines that are remembered; the one that would be retried next is forgotten first.
const MAX_UNREACHED: usize = 1_024;

/// A connection that is being made.
#[derive(Clone, Copy, Debug)]
struct Warming {
    deadline: f64,
    /// It fills a vacated place, which does not wait for the pace.
    refill: bool,
}

/// An engine that was not reached.
#[derive(Clone, Copy, Debug)]
struct Unreached {
    retry_at: f64,
    failures: i32,
}

/// Engines on their way into the subset.
#[derive(Clone, Debug)]
pub(crate) struct Newcomers {
    gateway: GatewayHash,
    /// Seconds between two newcomers at the pace.
    interval: f64,
    warming: BTreeMap<EngineKey, Warming>,
    /// Engines whose connection was made, and which wait to join.
    reached: BTreeSet<EngineKey>,
    unreached: BTreeMap<EngineKey, Unreached>,
    /// Vacated places that may be filled without waiting for the pace.
    refills: usize,
    /// When the next newcomer at the pace is admitted, while one waits.
    next_at: Option<f64>,
    /// When the last one was.
    last_at: Option<f64>,
    jitter_draws: u64,
}

impl Newcomers {
    pub fn new(gateway: GatewayHash, joins_per_second: f64) -> Self {
        Newcomers {
            gateway,
            interval: joins_per_second.recip(),
            warming: BTreeMap::new(),
            reached: BTreeSet::new(),
            unreached: BTreeMap::new(),
            refills: 0,
            next_at: None,
            last_at: None,
            jitter_draws: 0,
        }
    }

    fn jitter(&mut self) -> f64 {
        self.jitter_draws += 1;
        self.gateway.jitter(self.jitter_draws)
    }

    /// A member's place was vacated.
    pub fn vacate(&mut self, reserve: usize) {
        self.refills = (self.refills + 1).min(reserve);
    }

    /// No engine is missing: no vacated place is left to refill.
    pub fn end_refill(&mut self) {
        self.refills = 0;
    }

    /// No engine waits for the pace.
    pub fn end_wait(&mut self) {
        self.next_at = None;
    }

    /// Forgets an engine that has joined or that has left the list.
    pub fn forget(&mut self, engine: EngineKey) {
        self.warming.remove(&engine);
        self.reached.remove(&engine);
        self.unreached.remove(&engine);
    }

    /// Takes in whether a connection was made; returns whether that was awaited.
    pub fn warmed(&mut self, now: f64, engine: EngineKey, reached: bool) -> bool {
        let Some(warming) = self.warming.remove(&engine) else {
            return false;
        };
        if reached {
            self.unreached.remove(&engine);
            self.reached.insert(engine);
            return true;
        }
        self.refills += usize::from(warming.refill);
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
    pub fn expire(&mut self, now: f64) -> bool {
        let is_expired = |(engine, warming): (&EngineKey, &Warming)| {
            (warming.deadline <= now).then_some(*engine)
        };
        let expired: Vec<EngineKey> = self.warming.iter().filter_map(is_expired).collect();
        for engine in &expired {
            self.warmed(now, *engine, false);
        }
        !expired.is_empty()
    }

    /// Starts the retries that are due; the engines that are to be connected to.
    pub fn retries(&mut self, now: f64) -> Vec<EngineKey> {
        let free_slots = MAX_WARMING.saturating_sub(self.warming.len());
        let is_due = |(engine, unreached): (&EngineKey, &Unreached)| {
            (unreached.retry_at <= now && !self.warming.contains_key(engine)).then_some(*engine)
        };
        let due = self.unreached.iter().filter_map(is_due);
        let due: Vec<EngineKey> = due.take(free_slots).collect();
        for engine in &due {
            self.warm(now, *engine, false);
        }
        due
    }

    fn warm(&mut self, now: f64, engine: EngineKey, refill: bool) {
        let deadline = now + WARM_TIMEOUT_SECONDS;
        self.warming.insert(engine, Warming { deadline, refill });
    }

    /// Whether a connection to this missing engine may be made now; it counts as being made then.
    pub fn admit(&mut self, now: f64, engine: EngineKey, urgent: bool) -> bool {
        if self.warming.len() >= MAX_WARMING {
            return false;
        }
        if urgent {
            self.warm(now, engine, true);
            return true;
        }
        if self.refills > 0 {
            self.refills -= 1;
            self.warm(now, engine, true);
            return true;
        }
        self.admit_at_pace(now, engine)
    }

    fn admit_at_pace(&mut self, now: f64, engine: EngineKey) -> bool {
        if self.next_at.is_none() {
            let earliest = self
                .last_at
                .map_or(now, |last| (last + self.interval).max(now));
            self.next_at = Some(earliest + MAX_JITTER_SECONDS * self.jitter());
        }
        if self.next_at.is_some_and(|next| now < next) {
            return false;
        }
        self.last_at = Some(now);
        self.next_at = Some(now + self.interval);
        self.warm(now, engine, false);
        true
    }

    /// Whether a connection to the engine is being made.
    pub fn is_warming(&self, engine: EngineKey) -> bool {
        self.warming.contains_key(&engine)
    }

    /// Whether the connection was made, and the engine waits to join.
    pub fn is_reached(&self, engine: EngineKey) -> bool {
        self.reached.contains(&engine)
    }

    /// Forgets reached engines that are not to join after all.
    pub fn drop_reached(&mut self) {
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
    pub fn forgive_unreached(&mut self) {
        self.unreached.clear();
    }

    /// When something is due, if nothing is reported until then.
    pub fn wake(&self) -> Option<f64> {
        let deadlines = self.warming.values().map(|warming| warming.deadline);
        let not_warming =
            |(engine, _): &(&EngineKey, &Unreached)| !self.warming.contains_key(engine);
        let retries = self
            .unreached
            .iter()
            .filter(not_warming)
            .map(|(_, unreached)| unreached.retry_at);
        let has_free_slot = self.warming.len() < MAX_WARMING;
        deadlines
            .chain(retries.chain(self.next_at).filter(|_| has_free_slot))
            .reduce(f64::min)
    }
}
