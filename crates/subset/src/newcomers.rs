//! Engines on their way into the subset: connections that are being brought up, engines that could not be reached, and
//! the pace at which newcomers are taken.

use crate::score::GatewayHash;
use crate::EngineKey;
use std::collections::{BTreeMap, BTreeSet};

/// Connections brought up at the same time, at most.
const MAX_WARMING: usize = 64;

/// A connection that has not come up by then counts as not reached.
const WARM_SECONDS: f64 = 10.0;

/// The first newcomer at the pace waits up to so long, by the gateway's jitter, so that gateways don't act in step.
const SPREAD_SECONDS: f64 = 2.0;

/// An engine that was not reached is tried again after this time, doubled with each failure.
const RETRY_SECONDS: f64 = 5.0;

/// The longest time between two tries.
const MAX_RETRY_SECONDS: f64 = 60.0;

/// Unreached engines that are remembered, at most; the one that would be tried next is forgotten first.
const MAX_UNREACHED: usize = 1_024;

/// A connection that is being brought up.
#[derive(Clone, Copy, Debug)]
struct Warming {
    deadline: f64,
    /// Whether it fills a vacated place, which does not wait for the pace.
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
    interval: f64,
    warming: BTreeMap<EngineKey, Warming>,
    reached: BTreeSet<EngineKey>,
    unreached: BTreeMap<EngineKey, Unreached>,
    /// Vacated places that may be filled without waiting for the pace.
    refills: usize,
    next_at: Option<f64>,
    last_at: Option<f64>,
    draws: u64,
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
            draws: 0,
        }
    }

    fn jitter(&mut self) -> f64 {
        self.draws += 1;
        self.gateway.jitter(self.draws)
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

    /// Forgets an engine that has joined or is not in the list any more.
    pub fn forget(&mut self, engine: EngineKey) {
        self.warming.remove(&engine);
        self.reached.remove(&engine);
        self.unreached.remove(&engine);
    }

    /// Takes in whether a connection came up; whether that was awaited.
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
        self.note_unreached(now, engine);
        true
    }

    fn note_unreached(&mut self, now: f64, engine: EngineKey) {
        let failures = self
            .unreached
            .get(&engine)
            .map_or(0, |unreached| unreached.failures);
        let delay = (RETRY_SECONDS * 2.0_f64.powi(failures)).min(MAX_RETRY_SECONDS);
        let retry_at = now + delay * (0.5 + self.jitter());
        let failures = failures.saturating_add(1);
        self.unreached
            .insert(engine, Unreached { retry_at, failures });
        if self.unreached.len() > MAX_UNREACHED {
            let by_time = |(_, a): &(&EngineKey, &Unreached), (_, b): &(&EngineKey, &Unreached)| {
                a.retry_at.total_cmp(&b.retry_at)
            };
            let first = self
                .unreached
                .iter()
                .min_by(by_time)
                .map(|(engine, _)| *engine);
            first.map(|engine| self.unreached.remove(&engine));
        }
    }

    /// Gives up connections that have not come up in time; whether there were any.
    pub fn expire(&mut self, now: f64) -> bool {
        let late = |(engine, warming): (&EngineKey, &Warming)| {
            (warming.deadline <= now).then_some(*engine)
        };
        let late: Vec<EngineKey> = self.warming.iter().filter_map(late).collect();
        for engine in &late {
            self.warmed(now, *engine, false);
        }
        !late.is_empty()
    }

    /// The unreached engines to be tried again now.
    pub fn retries(&mut self, now: f64) -> Vec<EngineKey> {
        let room = MAX_WARMING.saturating_sub(self.warming.len());
        let due = |(engine, unreached): (&EngineKey, &Unreached)| {
            (unreached.retry_at <= now && !self.warming.contains_key(engine)).then_some(*engine)
        };
        let due: Vec<EngineKey> = self.unreached.iter().filter_map(due).take(room).collect();
        due.iter().for_each(|engine| self.warm(now, *engine, false));
        due
    }

    fn warm(&mut self, now: f64, engine: EngineKey, refill: bool) {
        self.warming.insert(
            engine,
            Warming {
                deadline: now + WARM_SECONDS,
                refill,
            },
        );
    }

    /// Whether a connection to this missing engine may be brought up now; it is noted as being so if it may.
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
            self.next_at = Some(earliest + SPREAD_SECONDS * self.jitter());
        }
        if self.next_at.is_some_and(|next| now < next) {
            return false;
        }
        self.last_at = Some(now);
        self.next_at = Some(now + self.interval);
        self.warm(now, engine, false);
        true
    }

    pub fn is_warming(&self, engine: EngineKey) -> bool {
        self.warming.contains_key(&engine)
    }

    /// Whether the connection has come up, and the engine waits to join.
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

    pub fn unreached_count(&self) -> usize {
        self.unreached.len()
    }

    /// Tries the unreached engines like any other again.
    pub fn forgive_unreached(&mut self) {
        self.unreached.clear();
    }

    /// When something is due without any news.
    pub fn wake(&self) -> Option<f64> {
        let deadlines = self.warming.values().map(|warming| warming.deadline);
        let idle = |(engine, _): &(&EngineKey, &Unreached)| !self.warming.contains_key(engine);
        let retries = self
            .unreached
            .iter()
            .filter(idle)
            .map(|(_, unreached)| unreached.retry_at);
        let room = self.warming.len() < MAX_WARMING;
        deadlines
            .chain(retries.chain(self.next_at).filter(|_| room))
            .reduce(f64::min)
    }
}
