//! Limits on admission: queries in flight, queries and bytes over time, for each tenant, query class, client or any
//! combination. Rates follow the generic cell rate algorithm (ITU-T I.371), with one arrival time for each key. Memory is
//! bounded however many clients there are: keys in use are in a table, idle ones are evicted, and where all are in use
//! further ones share a sketch, which may limit a key to less than its own, and never allows it more.

mod cell_rate;
mod compile;
mod exceeded;
mod rule;
mod sketch;
mod state;

pub use exceeded::{LimitExceeded, LimitKind};

use crate::query::RoutedQuery;
use crate::routing::Routing;
use compile::limit_rules;
use rule::LimitRule;
use state::Slot;
use std::time::Duration;

/// Keys of one limit that are counted exactly.
pub const MAX_EXACT_KEYS: usize = 16_384;
/// Least Retry-After of a rejection.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// The right of an admitted query to count in its limits, until it is released.
#[derive(Debug)]
pub struct LimitPermit {
    admitted_at: Duration,
    counted: Vec<Counted>,
}

/// Where one limit counts a query.
#[derive(Debug)]
struct Counted {
    /// The id of the limit's state.
    state_id: u64,
    slot: Slot,
}

/// All limits of a plan, with what they have counted.
#[derive(Debug)]
pub struct Limits {
    rules: Vec<LimitRule>,
    next_state_id: u64,
    max_exact_keys: usize,
}

impl Limits {
    /// The limits of a plan; `capacity` is the number of queries that this gateway can have in flight, of which tenants have
    /// shares.
    pub fn new(routing: &Routing, capacity: f64) -> Self {
        Limits::with_keys(routing, capacity, MAX_EXACT_KEYS)
    }

    /// As [`Limits::new`], with another number of keys for each limit that are counted exactly.
    pub fn with_keys(routing: &Routing, capacity: f64, max_exact_keys: usize) -> Self {
        let mut limits = Limits {
            rules: Vec::new(),
            next_state_id: 0,
            max_exact_keys,
        };
        limits.rules = limit_rules(routing, capacity);
        for rule in &mut limits.rules {
            rule.state.id = limits.next_state_id;
            limits.next_state_id += 1;
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
                .position(|old| old.name == rule.name && old.scope == rule.scope);
            match same.map(|at| old.swap_remove(at)) {
                Some(old) => rule.state = old.state,
                None => {
                    rule.state.id = self.next_state_id;
                    self.next_state_id += 1;
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
        let counting = self.counting_rules(routing, query);
        let exceeded = counting
            .iter()
            .filter_map(|index| self.rules[*index].exceeded(now, query));
        if let Some(exceeded) = exceeded.max_by_key(|exceeded| exceeded.retry_after) {
            return Err(LimitExceeded {
                retry_after: exceeded.retry_after.max(MIN_RETRY_AFTER),
                ..exceeded
            });
        }
        let max_exact_keys = self.max_exact_keys;
        let counted = counting.into_iter().map(|index| {
            let rule = &mut self.rules[index];
            Counted {
                state_id: rule.state.id,
                slot: rule.count(now, query, max_exact_keys),
            }
        });
        Ok(LimitPermit {
            admitted_at: now,
            counted: counted.collect(),
        })
    }

    /// The indices of the rules that count a query.
    fn counting_rules(&self, routing: &Routing, query: &RoutedQuery) -> Vec<usize> {
        let address_sets = routing.value_classes.clients();
        let sets_of_client = address_sets.members(address_sets.class(query.client));
        let is_client_in = |set| sets_of_client.contains(set);
        let indices = 0..self.rules.len();
        indices
            .filter(|index| self.rules[*index].counts(query, is_client_in))
            .collect()
    }

    /// An admitted query has ended.
    pub fn release(&mut self, now: Duration, permit: LimitPermit) {
        let time_in_flight = now.saturating_sub(permit.admitted_at);
        for Counted { state_id, slot } in permit.counted {
            // A removed limit counts nothing.
            let rule = self.rules.iter_mut().find(|rule| rule.state.id == state_id);
            if let Some(rule) = rule {
                rule.release(slot, time_in_flight);
            }
        }
    }

    /// Keys that are counted exactly, over all limits.
    pub fn exact_keys(&self) -> usize {
        self.rules.iter().map(|rule| rule.state.exact_keys()).sum()
    }
}

#[cfg(test)]
mod tests;
