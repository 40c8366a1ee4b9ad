//! Limits that contradict one another.

use super::ConsistencyCheck;
use crate::fault::Fault;
use crate::model::{Limit, Per};

impl ConsistencyCheck<'_> {
    /// Limits that contradict one another.
    pub(super) fn limits(&mut self) {
        let limits = &self.plan.limits;
        for (n, limit) in limits.iter().enumerate() {
            for other in &limits[..n] {
                let same = limit.per == other.per && scope_of(limit) == scope_of(other);
                let figures = |l: &Limit| {
                    [
                        l.max_in_flight.is_some(),
                        l.rate.is_some(),
                        l.bytes.is_some(),
                    ]
                };
                let both = figures(limit)
                    .iter()
                    .zip(figures(other))
                    .any(|(a, b)| *a && b);
                if same && both {
                    let text = format!(
                        "the limits `{}` and `{}` limit the same",
                        other.name, limit.name
                    );
                    let fault = Fault::new(limit.span.clone(), text);
                    self.faults
                        .push(fault.related(other.span.clone(), "the other one"));
                }
                let (wide, narrow) = (other, limit);
                self.never_binds(wide, narrow);
                self.never_binds(narrow, wide);
            }
        }
        for tenant in &self.plan.tenants {
            let covers = |l: &&Limit| {
                let whole = l.per.iter().all(|p| *p == Per::Tenant)
                    && l.classes.is_empty()
                    && l.clients.is_empty();
                whole && (l.tenants.is_empty() || l.tenants == [tenant.name.clone()])
            };
            for limit in limits.iter().filter(covers) {
                if let (Some(most), Some(own)) = (limit.max_in_flight, tenant.max_in_flight) {
                    if own > most {
                        let text = format!(
                            "`{}` may have {own} batches in hand, but the limit `{}` holds it to {most}",
                            tenant.name, limit.name
                        );
                        self.faults.push(
                            Fault::new(tenant.span.clone(), text)
                                .related(limit.span.clone(), "this one"),
                        );
                    }
                }
            }
        }
    }

    /// A limit that counts no more than another, wider one of fewer batches in hand.
    fn never_binds(&mut self, wide: &Limit, narrow: &Limit) {
        let within = |narrow: &[String], wide: &[String]| {
            wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|n| wide.contains(n)))
        };
        let clients = wide.clients.is_empty() || wide.clients == narrow.clients;
        let inside = within(&narrow.classes, &wide.classes)
            && within(&narrow.tenants, &wide.tenants)
            && clients;
        if let (true, true, Some(less), Some(more)) = (
            inside,
            wide.per.is_empty(),
            wide.max_in_flight,
            narrow.max_in_flight,
        ) {
            if more > less && (scope_of(wide) != scope_of(narrow) || wide.per != narrow.per) {
                let text = format!(
                    "the limit `{}` of {more} in hand can never bind: `{}` holds all of them to {less}",
                    narrow.name, wide.name
                );
                self.faults.push(
                    Fault::new(narrow.span.clone(), text).related(wide.span.clone(), "this one"),
                );
            }
        }
    }
}

fn scope_of(limit: &Limit) -> (Vec<&String>, Vec<&String>, Vec<usize>) {
    let mut groups: Vec<&String> = limit.classes.iter().collect();
    let mut tenants: Vec<&String> = limit.tenants.iter().collect();
    let mut clients = limit.clients.clone();
    groups.sort_unstable();
    tenants.sort_unstable();
    clients.sort_unstable();
    (groups, tenants, clients)
}
