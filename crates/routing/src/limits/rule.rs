//! Applies one limit of a plan, or the share and limits of one tenant, to queries.

use super::cell_rate::{arrival_time_after, wait_until_conforming};
use super::exceeded::{LimitExceeded, LimitKind};
use super::sketch::Usage;
use super::state::{LimitKey, LimitState, Slot};
use crate::query::RoutedQuery;
use garnetwall_plan::model::{Bucket, LimitDimension, LimitScope};
use std::time::Duration;

/// Weight of the latest query in the exponentially weighted mean of the time in flight.
const TIME_IN_FLIGHT_WEIGHT: f64 = 0.05;

/// The queries that a rule counts. Together with the name it identifies the rule when the plan is replaced.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RuleScope {
    /// The queries that a limit of the plan counts.
    Limit(LimitScope),
    /// The queries of the tenant whose name is the rule's name.
    Tenant,
}

/// One limit: the queries that it counts, its bounds, and its current counts.
#[derive(Debug)]
pub(super) struct LimitRule {
    pub(super) name: String,
    /// The state is kept when the plan is replaced, if the name and the scope are unchanged.
    pub(super) scope: RuleScope,
    /// The properties of a query that form its key; queries with different keys are counted separately.
    pub(super) per: Vec<LimitDimension>,
    /// Query classes that the rule applies to, by their index in the settings. Empty for all.
    pub(super) classes: Vec<usize>,
    /// Tenants that the rule applies to, by their index in the settings. Empty for all.
    pub(super) tenants: Vec<usize>,
    /// Address sets of the plan; the rule applies to clients in any of them. Empty for all clients.
    pub(super) clients: Vec<usize>,
    pub(super) max_in_flight: Option<u32>,
    pub(super) rate: Option<Bucket>,
    pub(super) bytes: Option<Bucket>,
    pub(super) state: LimitState,
}

impl LimitRule {
    /// Returns whether the rule counts a query. `is_client_in` returns whether the query's client is in an address set
    /// of the plan, given by its index.
    pub(super) fn counts(&self, query: &RoutedQuery, is_client_in: impl Fn(usize) -> bool) -> bool {
        let matches = |list: &[usize], index: usize| list.is_empty() || list.contains(&index);
        matches(&self.classes, query.class)
            && matches(&self.tenants, query.tenant)
            && (self.clients.is_empty() || self.clients.iter().any(|set| is_client_in(*set)))
    }

    fn key(&self, query: &RoutedQuery) -> LimitKey {
        let mut key = LimitKey::default();
        for per in &self.per {
            match per {
                LimitDimension::Class => key.class = Some(query.class as u32),
                LimitDimension::Tenant => key.tenant = Some(query.tenant as u32),
                LimitDimension::Client => key.client = Some(query.client),
            }
        }
        key
    }

    /// Returns the quantity that one more query would exceed and when to retry, or `None` if the query is within the
    /// limit.
    pub(super) fn exceeded(&self, now: Duration, query: &RoutedQuery) -> Option<LimitExceeded> {
        let usage = self.state.usage_of_key(&self.key(query));
        let (kind, retry_after) = self
            .in_flight_exceeded(&usage)
            .or_else(|| {
                let wait = wait_for(self.rate, usage.queries_arrival_time, now, 1.0)?;
                Some((LimitKind::Rate, wait))
            })
            .or_else(|| {
                let cost = query.statement_bytes as f64;
                let wait = wait_for(self.bytes, usage.bytes_arrival_time, now, cost)?;
                Some((LimitKind::Bytes, wait))
            })?;
        Some(LimitExceeded {
            limit: self.name.clone(),
            kind,
            retry_after,
        })
    }

    /// Returns `None` while fewer than the maximum number of queries are in flight. Otherwise the duration estimates
    /// when the next of them ends: the mean time in flight divided by the number in flight.
    fn in_flight_exceeded(&self, usage: &Usage) -> Option<(LimitKind, Duration)> {
        let max_in_flight = self.max_in_flight?;
        if usage.in_flight < max_in_flight {
            return None;
        }
        let seconds = self.state.mean_seconds_in_flight / f64::from(usage.in_flight.max(1));
        Some((LimitKind::InFlight, Duration::from_secs_f64(seconds)))
    }

    /// Counts an admitted query. Returns the slot to pass to [`release`](Self::release) when the query ends.
    pub(super) fn count(
        &mut self,
        now: Duration,
        query: &RoutedQuery,
        max_exact_keys: usize,
    ) -> Slot {
        let key = self.key(query);
        let slot = self.state.slot_for(now, key, max_exact_keys);
        let usage = self.state.usage_of_slot(&slot);
        let queries_arrival_time = self.rate.map_or(usage.queries_arrival_time, |rate| {
            arrival_time_after(&rate, usage.queries_arrival_time, now, 1.0)
        });
        let bytes_arrival_time = self.bytes.map_or(usage.bytes_arrival_time, |rate| {
            arrival_time_after(
                &rate,
                usage.bytes_arrival_time,
                now,
                query.statement_bytes as f64,
            )
        });
        self.state
            .add(&slot, queries_arrival_time, bytes_arrival_time);
        slot
    }

    /// Stops counting a query that has ended, and adds its time in flight to the mean.
    pub(super) fn release(&mut self, slot: Slot, time_in_flight: Duration) {
        self.state.release(slot);
        let mean = &mut self.state.mean_seconds_in_flight;
        *mean += TIME_IN_FLIGHT_WEIGHT * (time_in_flight.as_secs_f64() - *mean);
    }
}

/// Returns the time until a query of this cost conforms to the rate, or `None` if it conforms now or there is no rate.
fn wait_for(
    rate: Option<Bucket>,
    arrival_time: Duration,
    now: Duration,
    cost: f64,
) -> Option<Duration> {
    wait_until_conforming(&rate?, arrival_time, now, cost)
}
