//! Limits on admission: queries in flight, queries and bytes over time, for each tenant, query class, client or any
//! combination. Rates follow the generic cell rate algorithm (ITU-T I.371), with one arrival time for each key. Memory is
//! bounded however many clients there are: keys in use stand in a table, idle ones are evicted, and where all are in use
//! further ones share a sketch, which may limit a key to less than its own, and never allows it more.

mod rules;
mod state;

use crate::sketch::Usage;
use crate::{RoutedQuery, Routing};
use garnetwall_plan::model::{Bucket, Per};
use rules::limit_rules;
use state::{LimitKey, LimitState, Slot};
use std::time::Duration;

/// Keys of one limit that are counted exactly.
pub const MAX_EXACT_KEYS: usize = 16_384;
/// Weight of one query in the mean time in flight.
const HOLD_TIME_WEIGHT: f64 = 0.05;
/// Least Retry-After of a rejection.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Which quantity of a limit is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// Queries in flight.
    InFlight,
    /// Queries over time.
    Rate,
    /// Bytes of statements over time.
    Bytes,
}

/// A query is over a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The limit's name.
    pub limit: String,
    /// Which of its quantities is exceeded.
    pub kind: LimitKind,
    /// When it may come back: a rate has capacity for it then; of what is in flight one is usually over.
    pub retry_after: Duration,
}

/// The right of an admitted query to count in its limits, until it is released.
#[derive(Debug)]
pub struct LimitPermit {
    admitted_at: Duration,
    /// The rules that count it, by their number, and where.
    slots: Vec<(u64, Slot)>,
}

/// One limit with all that it is kept for.
#[derive(Debug)]
struct LimitRule {
    name: String,
    /// What it counts, in words: state is carried over where that stays.
    scope: String,
    per: Vec<Per>,
    /// By the settings' index; all where empty.
    classes: Vec<usize>,
    tenants: Vec<usize>,
    /// Its plan's address sets.
    clients: Vec<usize>,
    in_flight: Option<u32>,
    rate: Option<Bucket>,
    bytes: Option<Bucket>,
    state: LimitState,
}

/// All limits of a plan with what they hold.
#[derive(Debug)]
pub struct Limits {
    rules: Vec<LimitRule>,
    next_number: u64,
    max_exact_keys: usize,
}

impl Limits {
    /// The limits of a plan; `capacity` is the number of queries that this gateway can hold, of which tenants have shares.
    pub fn new(routing: &Routing, capacity: f64) -> Self {
        Limits::with_keys(routing, capacity, MAX_EXACT_KEYS)
    }

    /// With another number of keys that are counted exactly.
    pub fn with_keys(routing: &Routing, capacity: f64, max_exact_keys: usize) -> Self {
        let mut limits = Limits {
            rules: Vec::new(),
            next_number: 0,
            max_exact_keys,
        };
        limits.rules = limit_rules(routing, capacity);
        for rule in &mut limits.rules {
            rule.state.number = limits.next_number;
            limits.next_number += 1;
        }
        limits
    }

    /// Takes over another plan. A limit whose name and scope stay keeps its counts; queries in flight under a
    /// removed limit count nowhere.
    pub fn update_plan(&mut self, routing: &Routing, capacity: f64) {
        let mut old = std::mem::take(&mut self.rules);
        self.rules = limit_rules(routing, capacity);
        for rule in &mut self.rules {
            let same = old
                .iter()
                .position(|o| o.name == rule.name && o.scope == rule.scope);
            match same.map(|at| old.swap_remove(at)) {
                Some(old) => rule.state = old.state,
                None => {
                    rule.state.number = self.next_number;
                    self.next_number += 1;
                }
            }
        }
    }

    /// Admits a query within all limits that count it, or says which it exceeds; then it counts in none.
    ///
    /// # Errors
    ///
    /// Of the limits that it exceeds, the one with the longest Retry-After.
    pub fn admit(
        &mut self,
        routing: &Routing,
        now: Duration,
        query: &RoutedQuery,
    ) -> Result<LimitPermit, LimitExceeded> {
        let sets = routing.value_classes.clients();
        let members = sets.members(sets.class(query.client));
        let counting = |rule: &LimitRule| {
            let among = |list: &[usize], n: usize| list.is_empty() || list.contains(&n);
            among(&rule.classes, query.class)
                && among(&rule.tenants, query.tenant)
                && (rule.clients.is_empty()
                    || rule.clients.iter().any(|set| members.contains(*set)))
        };
        let counting: Vec<usize> = (0..self.rules.len())
            .filter(|n| counting(&self.rules[*n]))
            .collect();
        let over = counting
            .iter()
            .filter_map(|n| self.rules[*n].exceeded(now, query));
        if let Some(over) = over.max_by_key(|over| over.retry_after) {
            return Err(LimitExceeded {
                retry_after: over.retry_after.max(MIN_RETRY_AFTER),
                ..over
            });
        }
        let max_exact_keys = self.max_exact_keys;
        let slots = counting.into_iter().map(|n| {
            let rule = &mut self.rules[n];
            (rule.state.number, rule.count(now, query, max_exact_keys))
        });
        Ok(LimitPermit {
            admitted_at: now,
            slots: slots.collect(),
        })
    }

    /// An admitted query is over.
    pub fn release(&mut self, now: Duration, permit: LimitPermit) {
        for (number, slot) in permit.slots {
            // A removed limit counts nothing.
            if let Some(rule) = self.rules.iter_mut().find(|r| r.state.number == number) {
                rule.state.release(slot);
                let took = now.saturating_sub(permit.admitted_at).as_secs_f64();
                rule.state.mean_hold_seconds +=
                    HOLD_TIME_WEIGHT * (took - rule.state.mean_hold_seconds);
            }
        }
    }

    /// Keys that are counted exactly, over all limits.
    pub fn exact_keys(&self) -> usize {
        self.rules.iter().map(|r| r.state.usage.len()).sum()
    }
}

impl LimitRule {
    fn key(&self, query: &RoutedQuery) -> LimitKey {
        let mut key = LimitKey::default();
        for per in &self.per {
            match per {
                Per::Class => key.class = Some(query.class as u32),
                Per::Tenant => key.tenant = Some(query.tenant as u32),
                Per::Client => key.client = Some(query.client),
            }
        }
        key
    }

    /// Whether one more query is over, and when it would no longer be.
    fn exceeded(&self, now: Duration, query: &RoutedQuery) -> Option<LimitExceeded> {
        let load = self.state.usage_of_key(&self.key(query));
        let over = |which, come_back| LimitExceeded {
            limit: self.name.clone(),
            kind: which,
            retry_after: come_back,
        };
        let too_soon = |bucket: Option<Bucket>, due: Duration, cost: f64| {
            let bucket = bucket?;
            let after = arrival_time_after(&bucket, due, now, cost).saturating_sub(now);
            let burst = Duration::from_secs_f64(bucket.max_tokens / bucket.tokens_per_second);
            Some(after.saturating_sub(burst)).filter(|wait| !wait.is_zero())
        };
        if self.in_flight.is_some_and(|most| load.in_flight >= most) {
            let usual = Duration::from_secs_f64(
                self.state.mean_hold_seconds / f64::from(load.in_flight.max(1)),
            );
            return Some(over(LimitKind::InFlight, usual));
        }
        if let Some(wait) = too_soon(self.rate, load.queries_due, 1.0) {
            return Some(over(LimitKind::Rate, wait));
        }
        too_soon(self.bytes, load.bytes_due, query.statement_bytes as f64)
            .map(|wait| over(LimitKind::Bytes, wait))
    }

    fn count(&mut self, now: Duration, query: &RoutedQuery, max_exact_keys: usize) -> Slot {
        let key = self.key(query);
        let slot = self.state.slot_for(now, key, max_exact_keys);
        let load = self.state.usage_of_slot(&slot);
        let queries_due = self.rate.map_or(load.queries_due, |rate| {
            arrival_time_after(&rate, load.queries_due, now, 1.0)
        });
        let bytes_due = self.bytes.map_or(load.bytes_due, |rate| {
            arrival_time_after(&rate, load.bytes_due, now, query.statement_bytes as f64)
        });
        match (&slot, &mut self.state.sketch) {
            (Slot::Exact(at), _) => {
                let load = &mut self.state.usage[*at as usize].1;
                *load = Usage {
                    in_flight: load.in_flight + 1,
                    queries_due,
                    bytes_due,
                };
            }
            (Slot::Shared(cells), Some(sketch)) => sketch.add(cells, queries_due, bytes_due),
            (Slot::Shared(_), None) => {}
        }
        slot
    }
}

/// The time to which one more query of this cost moves a key's. What is larger than a whole burst counts as one.
fn arrival_time_after(bucket: &Bucket, due: Duration, now: Duration, cost: f64) -> Duration {
    due.max(now) + Duration::from_secs_f64(cost.min(bucket.max_tokens) / bucket.tokens_per_second)
}

#[cfg(test)]
mod tests;
