//! Explains what a plan does with one query and which blocks in which files decide it.

mod words;

use crate::files::Span;
use crate::model::{QueryFacts, Route};
use crate::quantity::time_of_day;
use crate::Compiled;
use std::fmt::{Result, Write};

pub(crate) use words::{
    bytes, describe_bucket, describe_idempotency, describe_limit, order, percent, seconds,
};
use words::{describe_class, describe_pool, describe_tenant};

/// Maximum number of non-matching routes that are printed; of the others only the number is printed.
const MAX_PRINTED_MISMATCHES: usize = 20;

/// Returns a text with the route that matches the query, the earlier routes that do not match, and the pools, class
/// rules and limits that apply.
pub fn explain(compiled: &Compiled, query: &QueryFacts) -> String {
    let mut explanation = Explanation {
        compiled,
        query,
        out: String::new(),
    };
    // Writing to a `String` never fails.
    let _ = explanation.write();
    explanation.out
}

struct Explanation<'a> {
    compiled: &'a Compiled,
    query: &'a QueryFacts<'a>,
    out: String,
}

impl Explanation<'_> {
    fn write(&mut self) -> Result {
        let plan = &self.compiled.plan;
        let route = plan.route_index_of(self.query);
        self.write_query()?;
        self.write_mismatches(&plan.routes[..route.unwrap_or(plan.routes.len())])?;
        let mut classes = vec![self.query.class];
        match route.map(|index| &plan.routes[index]) {
            None => writeln!(
                self.out,
                "no route matches: the query may run on any engine that the rules of its class allow"
            )?,
            Some(route) => {
                self.write_route(route)?;
                if route.reject_reason.is_some() {
                    return Ok(());
                }
                classes.extend(route.as_class.as_deref());
            }
        }
        self.write_classes(&classes)?;
        self.write_tenant()?;
        self.write_limits()
    }

    fn location(&self, span: &Span) -> String {
        self.compiled.files.location(span)
    }

    fn write_query(&mut self) -> Result {
        let query = self.query;
        let key = match query.has_key {
            true => "with a key",
            false => "without a key",
        };
        let time = time_of_day(query.minute_of_day);
        writeln!(
            self.out,
            "a query of class `{}` for tenant `{}` from {}, {key}, on data set {}, at {time} UTC",
            query.class, query.tenant, query.client, query.data_set
        )
    }

    /// Writes the routes before the matching one, each with the first entry that the query does not match.
    fn write_mismatches(&mut self, routes: &[Route]) -> Result {
        let plan = &self.compiled.plan;
        for route in routes.iter().take(MAX_PRINTED_MISMATCHES) {
            let unmet = route
                .first_unmet_entry(self.query, &plan.addresses)
                .unwrap_or_default();
            let place = self.location(&route.span);
            let name = &route.name;
            writeln!(
                self.out,
                "  does not match: route `{name}` ({place}), because of its entry `{unmet}`"
            )?;
        }
        match routes.len().saturating_sub(MAX_PRINTED_MISMATCHES) {
            0 => Ok(()),
            more => writeln!(self.out, "  and {more} more"),
        }
    }

    fn write_route(&mut self, route: &Route) -> Result {
        let plan = &self.compiled.plan;
        let place = self.location(&route.span);
        writeln!(self.out, "route `{}` ({place}) matches", route.name)?;
        if let Some(reason) = &route.reject_reason {
            return writeln!(self.out, "the query is rejected: {reason}");
        }
        if let Some(class) = &route.as_class {
            writeln!(self.out, "the query is treated as `{class}`")?;
        }
        for (index, pool) in route.pools.iter().enumerate() {
            let pool = &plan.pools[*pool];
            let place = self.location(&pool.span);
            let words = describe_pool(plan, pool);
            let number = index + 1;
            writeln!(
                self.out,
                "  {number}. pool `{}` ({place}): {words}",
                pool.name
            )?;
        }
        Ok(())
    }

    fn write_classes(&mut self, names: &[&str]) -> Result {
        let plan = &self.compiled.plan;
        for class in names.iter().filter_map(|name| plan.class(name)) {
            let place = self.location(&class.span);
            let words = describe_class(plan, class);
            writeln!(self.out, "group `{}` ({place}): {words}", class.name)?;
        }
        Ok(())
    }

    fn write_tenant(&mut self) -> Result {
        let Some(tenant) = self.compiled.plan.tenant(self.query.tenant) else {
            return Ok(());
        };
        let place = self.location(&tenant.span);
        let words = describe_tenant(tenant);
        writeln!(self.out, "tenant `{}` ({place}): {words}", tenant.name)
    }

    fn write_limits(&mut self) -> Result {
        let plan = &self.compiled.plan;
        for limit in &plan.limits {
            if !limit.applies_to(self.query, &plan.addresses) {
                continue;
            }
            let place = self.location(&limit.span);
            let words = describe_limit(limit);
            writeln!(self.out, "limit `{}` ({place}): {words}", limit.name)?;
        }
        Ok(())
    }
}
