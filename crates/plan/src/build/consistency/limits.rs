//! Reports limits that contradict one another or can never take effect.

use super::ConsistencyCheck;
use crate::diagnostic::Diagnostic;
use crate::model::{Limit, LimitDimension, Tenant};

impl ConsistencyCheck<'_> {
    pub(super) fn check_limits(&mut self) {
        let limits = &self.plan.limits;
        for (index, limit) in limits.iter().enumerate() {
            for earlier in &limits[..index] {
                self.report_duplicate(earlier, limit);
                self.report_never_binding(earlier, limit);
                self.report_never_binding(limit, earlier);
            }
        }
        for tenant in &self.plan.tenants {
            for limit in limits.iter().filter(|limit| covers(limit, tenant)) {
                self.report_tenant_over_limit(tenant, limit);
            }
        }
    }

    /// Reports two limits that set the same quantity (queries in flight, rate or bytes) for the same queries.
    fn report_duplicate(&mut self, first: &Limit, second: &Limit) {
        let shares_figure = (first.max_in_flight.is_some() && second.max_in_flight.is_some())
            || (first.rate.is_some() && second.rate.is_some())
            || (first.bytes.is_some() && second.bytes.is_some());
        if !shares_figure || !have_same_scope(first, second) {
            return;
        }
        let text = format!(
            "limits `{}` and `{}` limit the same quantity of the same queries",
            first.name, second.name
        );
        let diagnostic = Diagnostic::new(second.span.clone(), text);
        self.diagnostics
            .push(diagnostic.related(first.span.clone(), "the other limit is defined here"));
    }

    /// Reports `narrow` if it can never be reached, because `wide` counts at least the same queries and allows fewer of
    /// them in flight.
    fn report_never_binding(&mut self, wide: &Limit, narrow: &Limit) {
        let (Some(fewer), Some(more)) = (wide.max_in_flight, narrow.max_in_flight) else {
            return;
        };
        let counts_all_together = wide.per.is_empty() && contains(wide, narrow);
        if !counts_all_together || more <= fewer || have_same_scope(wide, narrow) {
            return;
        }
        let text = format!(
            "limit `{}` of {more} queries in flight can never be reached: limit `{}` allows only {fewer}",
            narrow.name, wide.name
        );
        let diagnostic = Diagnostic::new(narrow.span.clone(), text);
        self.diagnostics
            .push(diagnostic.related(wide.span.clone(), "the lower limit is defined here"));
    }

    /// Reports a tenant's own limit on queries in flight that is above `limit`, which counts all its queries too.
    fn report_tenant_over_limit(&mut self, tenant: &Tenant, limit: &Limit) {
        let (Some(own), Some(most)) = (tenant.max_in_flight, limit.max_in_flight) else {
            return;
        };
        if own <= most {
            return;
        }
        let text = format!(
            "tenant `{}` may have {own} queries in flight, but limit `{}` allows only {most}",
            tenant.name, limit.name
        );
        let diagnostic = Diagnostic::new(tenant.span.clone(), text);
        self.diagnostics
            .push(diagnostic.related(limit.span.clone(), "the lower limit is defined here"));
    }
}

/// Returns whether a limit counts every query of a tenant, with or without the queries of other tenants.
fn covers(limit: &Limit, tenant: &Tenant) -> bool {
    let counts_tenants = limit.per.iter().all(|per| *per == LimitDimension::Tenant);
    let is_tenant = limit.tenants.is_empty() || limit.tenants == [tenant.name.clone()];
    counts_tenants && limit.classes.is_empty() && limit.clients.is_empty() && is_tenant
}

/// Returns whether `wide` counts every query that `narrow` counts. The comparison uses only the lists of names and is
/// therefore conservative: `false` may also mean unknown.
fn contains(wide: &Limit, narrow: &Limit) -> bool {
    let within = |narrow: &[String], wide: &[String]| {
        wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|name| wide.contains(name)))
    };
    within(&narrow.classes, &wide.classes)
        && within(&narrow.tenants, &wide.tenants)
        && (wide.clients.is_empty() || wide.clients == narrow.clients)
}

/// Returns whether two limits count the same queries by the same attributes, whatever the order of their lists.
fn have_same_scope(a: &Limit, b: &Limit) -> bool {
    fn sorted<Item: Ord>(items: &[Item]) -> Vec<&Item> {
        let mut sorted: Vec<&Item> = items.iter().collect();
        sorted.sort_unstable();
        sorted
    }
    a.per == b.per
        && sorted(&a.classes) == sorted(&b.classes)
        && sorted(&a.tenants) == sorted(&b.tenants)
        && sorted(&a.clients) == sorted(&b.clients)
}
