//! Limits on what is taken: batches in hand, batches and bytes over time, for each tenant, group, client or any
//! combination. Rates are kept by the generic cell rate algorithm (ITU-T I.371), one time a key. What is kept is
//! bounded however many clients are seen: keys in use stand in a table, idle ones give way, and where all are in use
//! further ones share a sketch, which may hold a key to less than it could have, and never lets it have more.

use crate::sketch::{Cells, CountMinSketch, Usage};
use crate::{RoutedQuery, Routing};
use garnetwall_plan::model::{Bucket, Limit, Per};
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Keys of one limit that are kept one by one.
pub const MAX_EXACT_KEYS: usize = 16_384;
/// Places looked at for an idle key that gives way.
const EVICTION_PROBES: usize = 8;
/// Weight of one batch in the usual time in hand.
const HOLD_TIME_WEIGHT: f64 = 0.05;
/// A time to come back is no shorter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Which limit a batch is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    InFlight,
    Rate,
    Bytes,
}

/// A batch is over a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The limit's name.
    pub limit: String,
    pub kind: LimitKind,
    /// When it may come back: a rate has room for it then; of what is in hand one is usually over.
    pub retry_after: Duration,
}

/// What a limit is kept for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct LimitKey {
    class: Option<u32>,
    tenant: Option<u32>,
    client: Option<IpAddr>,
}

#[derive(Clone, Copy, Debug)]
enum Slot {
    Exact(u32),
    Shared(Cells),
}

/// A batch that was taken, until it is over.
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

/// The state of a limit.
#[derive(Debug, Default)]
struct LimitState {
    number: u64,
    slots: HashMap<LimitKey, u32>,
    usage: Vec<(LimitKey, Usage)>,
    eviction_hand: usize,
    sketch: Option<CountMinSketch>,
    /// Usual seconds in hand.
    mean_hold_seconds: f64,
}

/// All limits of a plan with what they hold.
#[derive(Debug)]
pub struct Limits {
    rules: Vec<LimitRule>,
    next_number: u64,
    max_exact_keys: usize,
}

impl Limits {
    /// The limits of a plan; `room` is the batches that this gateway can hold, which tenants' shares are of.
    pub fn new(routing: &Routing, room: f64) -> Self {
        Limits::with_keys(routing, room, MAX_EXACT_KEYS)
    }

    /// With another number of keys that are kept one by one.
    pub fn with_keys(routing: &Routing, room: f64, most_keys: usize) -> Self {
        let mut limits = Limits {
            rules: Vec::new(),
            next_number: 0,
            max_exact_keys: most_keys,
        };
        limits.rules = limit_rules(routing, room);
        for rule in &mut limits.rules {
            rule.state.number = limits.next_number;
            limits.next_number += 1;
        }
        limits
    }

    /// Takes up another plan. A limit whose name and scope stay goes on with what it holds; batches in hand under a
    /// limit that is gone count nowhere.
    pub fn update_plan(&mut self, routing: &Routing, room: f64) {
        let mut old = std::mem::take(&mut self.rules);
        self.rules = limit_rules(routing, room);
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

    /// Takes a batch within all limits that count it, or says which it is over; then it counts in none.
    ///
    /// # Errors
    ///
    /// Of the limits that it is over, the one with the latest time to come back.
    pub fn admit(
        &mut self,
        routing: &Routing,
        now: Duration,
        b: &RoutedQuery,
    ) -> Result<LimitPermit, LimitExceeded> {
        let sets = routing.value_classes.clients();
        let members = sets.members(sets.class(b.client));
        let counting = |rule: &LimitRule| {
            let among = |list: &[usize], n: usize| list.is_empty() || list.contains(&n);
            among(&rule.classes, b.class)
                && among(&rule.tenants, b.tenant)
                && (rule.clients.is_empty()
                    || rule.clients.iter().any(|set| members.contains(*set)))
        };
        let counting: Vec<usize> = (0..self.rules.len())
            .filter(|n| counting(&self.rules[*n]))
            .collect();
        let over = counting
            .iter()
            .filter_map(|n| self.rules[*n].exceeded(now, b));
        if let Some(over) = over.max_by_key(|over| over.retry_after) {
            return Err(LimitExceeded {
                retry_after: over.retry_after.max(MIN_RETRY_AFTER),
                ..over
            });
        }
        let most = self.max_exact_keys;
        let held = counting.into_iter().map(|n| {
            let rule = &mut self.rules[n];
            (rule.state.number, rule.count(now, b, most))
        });
        Ok(LimitPermit {
            admitted_at: now,
            slots: held.collect(),
        })
    }

    /// A batch that was taken is over.
    pub fn release(&mut self, now: Duration, ticket: LimitPermit) {
        for (number, place) in ticket.slots {
            // A limit that is gone holds nothing.
            if let Some(rule) = self.rules.iter_mut().find(|r| r.state.number == number) {
                rule.state.release(place);
                let took = now.saturating_sub(ticket.admitted_at).as_secs_f64();
                rule.state.mean_hold_seconds +=
                    HOLD_TIME_WEIGHT * (took - rule.state.mean_hold_seconds);
            }
        }
    }

    /// Keys that are kept one by one, over all limits.
    pub fn exact_keys(&self) -> usize {
        self.rules.iter().map(|r| r.state.usage.len()).sum()
    }
}

fn limit_rules(routing: &Routing, room: f64) -> Vec<LimitRule> {
    let (plan, names) = (routing.plan(), routing.names());
    let index = |names: &[String], list: &[String]| -> Vec<usize> {
        list.iter()
            .filter_map(|name| names.iter().position(|n| n == name))
            .collect()
    };
    let spans = |limit: &Limit| {
        let sets = limit
            .clients
            .iter()
            .flat_map(|c| plan.addresses[*c].spans.clone());
        garnetwall_plan::address::union(sets.collect())
    };
    let sorted = |list: &[String]| {
        let mut list = list.to_vec();
        list.sort_unstable();
        list
    };
    let limits = plan.limits.iter().map(|limit| LimitRule {
        name: limit.name.clone(),
        scope: format!(
            "{:?} {:?} {:?} {:?}",
            limit.per,
            sorted(&limit.groups),
            sorted(&limit.tenants),
            spans(limit)
        ),
        per: limit.per.clone(),
        classes: index(&names.classes, &limit.groups),
        tenants: index(&names.tenants, &limit.tenants),
        clients: limit.clients.clone(),
        in_flight: limit.in_hand.map(|n| n.min(u64::from(u32::MAX)) as u32),
        rate: limit.rate,
        bytes: limit.bytes,
        state: LimitState::default(),
    });
    let tenants = plan.tenants.iter().map(|tenant| {
        let share = tenant.share.map(|share| (share * room).max(1.0));
        let in_hand = tenant
            .in_hand
            .map(|n| n as f64)
            .into_iter()
            .chain(share)
            .min_by(f64::total_cmp);
        LimitRule {
            name: tenant.name.clone(),
            scope: "tenant".to_string(),
            per: Vec::new(),
            classes: Vec::new(),
            tenants: index(&names.tenants, std::slice::from_ref(&tenant.name)),
            clients: Vec::new(),
            in_flight: in_hand
                .filter(|n| n.is_finite())
                .map(|n| n.min(f64::from(u32::MAX)) as u32),
            rate: tenant.rate,
            bytes: tenant.bytes,
            state: LimitState::default(),
        }
    });
    limits.chain(tenants).collect()
}

impl LimitRule {
    fn key(&self, b: &RoutedQuery) -> LimitKey {
        let mut key = LimitKey::default();
        for per in &self.per {
            match per {
                Per::Group => key.class = Some(b.class as u32),
                Per::Tenant => key.tenant = Some(b.tenant as u32),
                Per::Client => key.client = Some(b.client),
            }
        }
        key
    }

    /// Whether one more batch is over, and when it would no longer be.
    fn exceeded(&self, now: Duration, b: &RoutedQuery) -> Option<LimitExceeded> {
        let load = self.state.usage_of_key(&self.key(b));
        let over = |which, come_back| LimitExceeded {
            limit: self.name.clone(),
            kind: which,
            retry_after: come_back,
        };
        let too_soon = |bucket: Option<Bucket>, due: Duration, cost: f64| {
            let bucket = bucket?;
            let after = arrival_time_after(&bucket, due, now, cost).saturating_sub(now);
            let burst = Duration::from_secs_f64(bucket.burst / bucket.rate);
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
        too_soon(self.bytes, load.bytes_due, b.statement_bytes as f64)
            .map(|wait| over(LimitKind::Bytes, wait))
    }

    fn count(&mut self, now: Duration, b: &RoutedQuery, most_keys: usize) -> Slot {
        let key = self.key(b);
        let place = self.state.slot_for(now, key, most_keys);
        let load = self.state.usage_of_slot(&place);
        let batches = self.rate.map_or(load.queries_due, |rate| {
            arrival_time_after(&rate, load.queries_due, now, 1.0)
        });
        let bytes = self.bytes.map_or(load.bytes_due, |rate| {
            arrival_time_after(&rate, load.bytes_due, now, b.statement_bytes as f64)
        });
        match (&place, &mut self.state.sketch) {
            (Slot::Exact(at), _) => {
                let load = &mut self.state.usage[*at as usize].1;
                *load = Usage {
                    in_flight: load.in_flight + 1,
                    queries_due: batches,
                    bytes_due: bytes,
                };
            }
            (Slot::Shared(cells), Some(sketch)) => sketch.add(cells, batches, bytes),
            (Slot::Shared(_), None) => {}
        }
        place
    }
}

/// The time to which one more batch of this cost moves a key's. What is larger than a whole burst counts as one.
fn arrival_time_after(bucket: &Bucket, due: Duration, now: Duration, cost: f64) -> Duration {
    due.max(now) + Duration::from_secs_f64(cost.min(bucket.burst) / bucket.rate)
}

impl LimitState {
    fn usage_of_key(&self, key: &LimitKey) -> Usage {
        match (self.slots.get(key), &self.sketch) {
            (Some(at), _) => self.usage[*at as usize].1,
            (None, Some(sketch)) => sketch.usage(&sketch.cells(key)),
            (None, None) => Usage::default(),
        }
    }

    fn usage_of_slot(&self, place: &Slot) -> Usage {
        match (place, &self.sketch) {
            (Slot::Exact(at), _) => self.usage[*at as usize].1,
            (Slot::Shared(cells), Some(sketch)) => sketch.usage(cells),
            (Slot::Shared(_), None) => Usage::default(),
        }
    }

    /// A place for a key: its own, a new one, that of an idle key, or cells that it shares.
    fn slot_for(&mut self, now: Duration, key: LimitKey, most_keys: usize) -> Slot {
        if let Some(at) = self.slots.get(&key) {
            return Slot::Exact(*at);
        }
        // What the sketch holds of it must not be forgotten.
        if let Some(sketch) = &self.sketch {
            let cells = sketch.cells(&key);
            if !sketch.usage(&cells).is_idle(now) {
                return Slot::Shared(cells);
            }
        }
        if self.usage.len() < most_keys {
            self.usage.push((key, Usage::default()));
            self.slots.insert(key, self.usage.len() as u32 - 1);
            return Slot::Exact(self.usage.len() as u32 - 1);
        }
        for _ in 0..EVICTION_PROBES.min(self.usage.len()) {
            self.eviction_hand = (self.eviction_hand + 1) % self.usage.len();
            let (old, load) = self.usage[self.eviction_hand];
            if load.is_idle(now) {
                self.slots.remove(&old);
                self.usage[self.eviction_hand] = (key, Usage::default());
                self.slots.insert(key, self.eviction_hand as u32);
                return Slot::Exact(self.eviction_hand as u32);
            }
        }
        Slot::Shared(
            self.sketch
                .get_or_insert_with(CountMinSketch::new)
                .cells(&key),
        )
    }

    fn release(&mut self, place: Slot) {
        match (place, &mut self.sketch) {
            (Slot::Exact(at), _) => {
                let load = &mut self.usage[at as usize].1;
                load.in_flight = load.in_flight.saturating_sub(1);
            }
            (Slot::Shared(cells), Some(sketch)) => sketch.release(&cells),
            (Slot::Shared(_), None) => {}
        }
    }
}

#[cfg(test)]
mod tests;
