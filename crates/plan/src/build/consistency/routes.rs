//! Routes that never match, or that treat a group as one of weaker rules.

use super::ConsistencyCheck;
use crate::build::SettingsClass;
use crate::fault::Fault;
use crate::region::{self, Region, ValueClasses};

impl ConsistencyCheck<'_> {
    pub(super) fn routes(&mut self) {
        let groups: Vec<String> = self.settings.map_or(Vec::new(), |s| {
            s.classes.iter().map(|g| g.name.clone()).collect()
        });
        let tenants = self.settings.map_or(&[][..], |s| &s.tenants);
        let classes = ValueClasses::of(&[self.plan], &groups, tenants);
        let regions: Vec<Region> = self
            .plan
            .routes
            .iter()
            .map(|r| classes.region(r, 0))
            .collect();
        let whole = region::whole(&classes);
        let reach = region::reach(&regions, &whole);
        self.unreached(&regions, &reach);
        self.treated_as();
        self.placement(&classes, &reach);
    }

    /// A route that can never match as earlier ones take all.
    fn unreached(&mut self, regions: &[Region], reach: &[Option<Vec<Region>>]) {
        for (n, route) in self.plan.routes.iter().enumerate() {
            if reach[n].as_ref().is_none_or(|pieces| !pieces.is_empty()) {
                continue;
            }
            let alone = regions[..n]
                .iter()
                .position(|earlier| region::difference(&regions[n], earlier).is_empty());
            let text = format!("the route `{}` can never match", route.name);
            let fault = Fault::new(route.span.clone(), text);
            self.faults.push(match alone {
                Some(earlier) => fault.related(
                    self.plan.routes[earlier].span.clone(),
                    "this one takes all that it asks for",
                ),
                None => fault.label("earlier routes together take all that it asks for"),
            });
        }
    }

    /// What is treated as another group keeps the rules of its own.
    fn treated_as(&mut self) {
        let Some(settings) = self.settings else {
            return;
        };
        for route in &self.plan.routes {
            let (Some(other), Some(span)) = (&route.as_class, &route.as_span) else {
                continue;
            };
            let Some(to) = settings.class(other) else {
                continue;
            };
            let takes =
                |g: &&SettingsClass| route.classes.is_empty() || route.classes.contains(&g.name);
            for from in settings.classes.iter().filter(takes) {
                let within =
                    |narrow: &Option<Vec<String>>, wide: &Option<Vec<String>>| match (narrow, wide)
                    {
                        (_, None) => true,
                        (None, Some(_)) => false,
                        (Some(narrow), Some(wide)) => narrow.iter().all(|n| wide.contains(n)),
                    };
                let what = if !to.idempotency.narrows(&from.idempotency) {
                    "run again where they may not"
                } else if from.in_order && !to.in_order {
                    "lose their order"
                } else if !within(&to.kinds, &from.kinds) || !within(&to.zones, &from.zones) {
                    "run where they may not"
                } else {
                    continue;
                };
                let text = format!(
                    "batches of `{}` can't be treated as `{other}`: they would {what}",
                    from.name
                );
                self.faults.push(Fault::new(span.clone(), text));
            }
        }
    }
}
