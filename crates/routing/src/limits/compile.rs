//! Compiles the limits of a plan and the shares and limits of its tenants into rules.

use super::rule::{LimitRule, RuleScope};
use super::state::LimitState;
use crate::routing::Routing;
use garnetwall_plan::model::{Limit, Tenant};

/// Returns one rule for each limit of a plan, then one for each tenant. `capacity` is the maximum number of queries in
/// flight at this gateway.
pub(super) fn limit_rules(routing: &Routing, capacity: f64) -> Vec<LimitRule> {
    let plan = routing.plan();
    let limits = plan
        .limits
        .iter()
        .map(|limit| rule_of_limit(routing, limit));
    let tenants = plan
        .tenants
        .iter()
        .map(|tenant| rule_of_tenant(routing, tenant, capacity));
    limits.chain(tenants).collect()
}

fn rule_of_limit(routing: &Routing, limit: &Limit) -> LimitRule {
    let names = routing.names();
    LimitRule {
        name: limit.name.clone(),
        scope: RuleScope::Limit(limit.scope(&routing.plan().addresses)),
        per: limit.per.clone(),
        classes: indices(&names.classes, &limit.classes),
        tenants: indices(&names.tenants, &limit.tenants),
        clients: limit.clients.clone(),
        max_in_flight: limit
            .max_in_flight
            .map(|n| n.min(u64::from(u32::MAX)) as u32),
        rate: limit.rate,
        bytes: limit.bytes,
        state: LimitState::default(),
    }
}

fn rule_of_tenant(routing: &Routing, tenant: &Tenant, capacity: f64) -> LimitRule {
    let by_share = tenant.share.map(|share| (share * capacity).max(1.0));
    let by_count = tenant.max_in_flight.map(|n| n as f64);
    let max_in_flight = by_count
        .into_iter()
        .chain(by_share)
        .min_by(f64::total_cmp)
        .filter(|n| n.is_finite());
    LimitRule {
        name: tenant.name.clone(),
        scope: RuleScope::Tenant,
        per: Vec::new(),
        classes: Vec::new(),
        tenants: indices(&routing.names().tenants, std::slice::from_ref(&tenant.name)),
        clients: Vec::new(),
        max_in_flight: max_in_flight.map(|n| n.min(f64::from(u32::MAX)) as u32),
        rate: tenant.rate,
        bytes: tenant.bytes,
        state: LimitState::default(),
    }
}

/// Returns the index in `all` of each of `names`. Names that are not in `all` are skipped.
fn indices(all: &[String], names: &[String]) -> Vec<usize> {
    names
        .iter()
        .filter_map(|name| all.iter().position(|other| other == name))
        .collect()
}
