//! Reports routes that can never match and routes that treat queries as a class with weaker rules.

use super::{is_subset, ConsistencyCheck};
use crate::build::SettingsClass;
use crate::diagnostic::Diagnostic;
use crate::region::{self, Region, ValueClasses};

impl ConsistencyCheck<'_> {
    pub(super) fn check_routes(&mut self) {
        let class_names: Vec<String> = self.settings.map_or(Vec::new(), |settings| {
            let classes = settings.classes.iter();
            classes.map(|class| class.name.clone()).collect()
        });
        let tenants = self.settings.map_or(&[][..], |settings| &settings.tenants);
        let value_classes = ValueClasses::of(&[self.plan], &class_names, tenants);
        let routes = self.plan.routes.iter();
        let regions: Vec<Region> = routes.map(|route| value_classes.region(route, 0)).collect();
        let effective = region::effective_regions(&regions, &region::all_queries(&value_classes));
        self.report_never_matching(&regions, &effective);
        self.check_treated_as();
        self.check_placement(&value_classes, &effective);
    }

    /// Reports routes that can never match, because earlier routes match all their queries.
    fn report_never_matching(&mut self, regions: &[Region], effective: &[Option<Vec<Region>>]) {
        for (index, route) in self.plan.routes.iter().enumerate() {
            let may_match = effective[index]
                .as_ref()
                .is_none_or(|pieces| !pieces.is_empty());
            if may_match {
                continue;
            }
            let covers = |earlier: &Region| region::difference(&regions[index], earlier).is_empty();
            let text = format!("unreachable route `{}`", route.name);
            let diagnostic = Diagnostic::new(route.span.clone(), text);
            self.diagnostics
                .push(match regions[..index].iter().position(covers) {
                    Some(earlier) => diagnostic.related(
                        self.plan.routes[earlier].span.clone(),
                        "this route matches all its queries",
                    ),
                    None => diagnostic.label("earlier routes together match all its queries"),
                });
        }
    }

    /// Reports routes that treat queries as another class which allows more than the settings allow for the queries'
    /// own class.
    fn check_treated_as(&mut self) {
        let Some(settings) = self.settings else {
            return;
        };
        for route in &self.plan.routes {
            let (Some(name), Some(span)) = (&route.as_class, &route.as_span) else {
                continue;
            };
            let Some(treated_as) = settings.class(name) else {
                continue;
            };
            for class in &settings.classes {
                let is_matched = route.classes.is_empty() || route.classes.contains(&class.name);
                let violation = violation(class, treated_as).filter(|_| is_matched);
                let Some(violation) = violation else {
                    continue;
                };
                let text = format!(
                    "queries of `{}` cannot be treated as `{name}`: they would {violation}",
                    class.name
                );
                self.diagnostics.push(Diagnostic::new(span.clone(), text));
            }
        }
    }
}

/// Returns the first rule of `class` that its queries would violate if they were treated as `treated_as`, in the words
/// of the error message.
fn violation(class: &SettingsClass, treated_as: &SettingsClass) -> Option<&'static str> {
    if !treated_as.idempotency.narrows(&class.idempotency) {
        return Some("run again where the settings do not allow it");
    }
    if class.in_order && !treated_as.in_order {
        return Some("no longer run in order");
    }
    let stays_inside =
        is_subset(&treated_as.kinds, &class.kinds) && is_subset(&treated_as.zones, &class.zones);
    (!stays_inside).then_some("run on engines that the settings do not allow")
}
