//! Enforces the limits of a plan on admission: queries in flight, queries per second and statement bytes per second,
//! for each tenant, query class, client or combination of them.
//!
//! Rates use the generic cell rate algorithm (ITU-T I.371), which stores one arrival time for each key. Memory is
//! bounded for any number of clients: keys in use have entries in a table, and a new key replaces an idle one. While no
//! idle entry is found, further keys share a count-min sketch, which may admit less for a key than its limit but never
//! more.

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

/// Maximum number of keys that one limit counts exactly.
pub const MAX_EXACT_KEYS: usize = 16_384;
/// Lower bound of the Retry-After of a rejection.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Records where an admitted query is counted. Callers pass it to [`Limits::release`] when the query ends.
#[derive(Debug)]
pub struct LimitPermit {
    admitted_at: Duration,
    counted: Vec<Counted>,
}

/// The place in one limit's state where a query is counted.
#[derive(Debug)]
struct Counted {
    /// The [`LimitState::id`](state::LimitState::id) of the limit.
    state_id: u64,
    slot: Slot,
}

/// All limits of a plan, with their current counts.
#[derive(Debug)]
pub struct Limits {
    rules: Vec<LimitRule>,
    next_state_id: u64,
    max_exact_keys: usize,
}

impl Limits {
    /// Creates the limits of a plan, with no queries counted. `capacity` is the maximum number of queries in flight at
    /// this gateway; the shares of tenants are fractions of it.
    pub fn new(routing: &Routing, capacity: f64) -> Self {
        Limits::with_keys(routing, capacity, MAX_EXACT_KEYS)
    }

    /// Like [`Limits::new`], but each limit counts at most `max_exact_keys` keys exactly instead of 16,384.
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

    /// Replaces the plan. A limit keeps its counts if its name and scope are unchanged. Queries in flight under a
    /// removed limit are no longer counted.
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

    /// Admits a query if it is within all limits that apply to it, and counts it in each of them until it is released.
    ///
    /// # Errors
    ///
    /// If the query exceeds any limit, it is counted in none, and the error names the exceeded limit with the longest
    /// Retry-After.
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

    /// Returns the indices of the rules that count a query.
    fn counting_rules(&self, routing: &Routing, query: &RoutedQuery) -> Vec<usize> {
        let address_sets = routing.value_classes.clients();
        let sets_of_client = address_sets.members(address_sets.class(query.client));
        let is_client_in = |set| sets_of_client.contains(set);
        let indices = 0..self.rules.len();
        indices
            .filter(|index| self.rules[*index].counts(query, is_client_in))
            .collect()
    }

    /// Ends the counting of an admitted query. Callers call this once, when the query has ended.
    pub fn release(&mut self, now: Duration, permit: LimitPermit) {
        let time_in_flight = now.saturating_sub(permit.admitted_at);
        for Counted { state_id, slot } in permit.counted {
            // No rule is found if a new plan has removed the limit.
            let rule = self.rules.iter_mut().find(|rule| rule.state.id == state_id);
            if let Some(rule) = rule {
                rule.release(slot, time_in_flight);
            }
        }
    }

    /// Returns the number of keys that are counted exactly, summed over all limits.
    pub fn exact_keys(&self) -> usize {
        self.rules.iter().map(|rule| rule.state.exact_keys()).sum()
    }
}

#[cfg(test)]
mod tests;
