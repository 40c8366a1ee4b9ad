//! One limit of a plan, or the quota of a tenant: whether it counts a query, and whether it admits one more.

use super::cell_rate::{arrival_time_after, wait_until_conforming};
use super::exceeded::{LimitExceeded, LimitKind};
use super::sketch::Usage;
use super::state::{LimitKey, LimitState, Slot};
use crate::query::RoutedQuery;
use garnetwall_plan::model::{Bucket, LimitScope, Per};
use std::time::Duration;

/// Weight of one query in the mean time in flight.
const TIME_IN_FLIGHT_WEIGHT: f64 = 0.05;

/// Which queries a rule counts, so that it can be found again in another plan.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RuleScope {
    /// Those that a limit of the plan counts.
    Limit(LimitScope),
    /// Those of the tenant that has the rule's name.
    Tenant,
}

/// One limit: which queries it counts, how many it admits, and what it has counted.
#[derive(Debug)]
pub(super) struct LimitRule {
    pub(super) name: String,
    /// What it counts: where name and scope stay in another plan, so does the state.
    pub(super) scope: RuleScope,
    pub(super) per: Vec<Per>,
    /// By the settings' index; all where empty.
    pub(super) classes: Vec<usize>,
    pub(super) tenants: Vec<usize>,
    /// Its plan's address sets.
    pub(super) clients: Vec<usize>,
    pub(super) max_in_flight: Option<u32>,
    pub(super) rate: Option<Bucket>,
    pub(super) bytes: Option<Bucket>,
    pub(super) state: LimitState,
}

impl LimitRule {
    /// Whether it counts a query. `is_client_in` says whether an address set of the plan holds its client.
    pub(super) fn counts(&self, query: &RoutedQuery, is_client_in: impl Fn(usize) -> bool) -> bool {
        let concerns = |list: &[usize], index: usize| list.is_empty() || list.contains(&index);
        concerns(&self.classes, query.class)
            && concerns(&self.tenants, query.tenant)
            && (self.clients.is_empty() || self.clients.iter().any(|set| is_client_in(*set)))
    }

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

    /// Which quantity one more query would exceed, and when it would no longer.
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

    /// Where the most queries are in flight, about when the next of them ends.
    fn in_flight_exceeded(&self, usage: &Usage) -> Option<(LimitKind, Duration)> {
        let max_in_flight = self.max_in_flight?;
        if usage.in_flight < max_in_flight {
            return None;
        }
        let seconds = self.state.mean_seconds_in_flight / f64::from(usage.in_flight.max(1));
        Some((LimitKind::InFlight, Duration::from_secs_f64(seconds)))
    }

    /// Counts an admitted query; returns where, until it is released.
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

    /// A query that was counted in a slot has ended after this time.
    pub(super) fn release(&mut self, slot: Slot, time_in_flight: Duration) {
        self.state.release(slot);
        let mean = &mut self.state.mean_seconds_in_flight;
        *mean += TIME_IN_FLIGHT_WEIGHT * (time_in_flight.as_secs_f64() - *mean);
    }
}

/// The wait of a query of this cost for a rate, if there is one.
fn wait_for(
    rate: Option<Bucket>,
    arrival_time: Duration,
    now: Duration,
    cost: f64,
) -> Option<Duration> {
    wait_until_conforming(&rate?, arrival_time, now, cost)
}
