//! Whether routes keep to the pools, kinds and zones that a group is bound to.

use super::ConsistencyCheck;
use crate::cells::Cells;
use crate::fault::Fault;
use crate::files::Span;
use crate::model::{ClassRules, Route};
use crate::region::{Region, ValueClasses};
use fixedbitset::FixedBitSet;

impl ConsistencyCheck<'_> {
    /// No route sends a batch out of the pools that its group is bound to, and each leaves it some engine.
    pub(super) fn placement(&mut self, classes: &ValueClasses, reach: &[Option<Vec<Region>>]) {
        let cells = Cells::of(&[self.plan], self.known());
        let held = cells.as_ref().map(|cells| cells.of_pools(self.plan, 0));
        for (n, route) in self.plan.routes.iter().enumerate() {
            let Some(to_span) = &route.pools_span else {
                continue;
            };
            let reaches = |group: &str| {
                let class = classes.query_class(group);
                reach[n]
                    .as_ref()
                    .is_none_or(|pieces| pieces.iter().any(|p| p[0].contains(class)))
            };
            for group in self.plan.classes.iter().filter(|g| !g.pools.is_empty()) {
                let treated = route.treats_as(&group.name);
                if !(reaches(&group.name) || treated) {
                    continue;
                }
                for to in &route.pools {
                    let inside = match &held {
                        Some(held) => {
                            let mut rest = held[*to].clone();
                            group
                                .pools
                                .iter()
                                .for_each(|p| rest.difference_with(&held[*p]));
                            rest.is_clear()
                        }
                        None => group.pools.contains(to),
                    };
                    if !inside {
                        self.leaves(route, to_span, group, *to);
                    }
                }
            }
            self.settled(route, to_span, &reaches, cells.as_ref(), held.as_deref());
        }
    }

    fn leaves(&mut self, route: &Route, to_span: &Span, group: &ClassRules, to: usize) {
        let bound: Vec<&str> = group
            .pools
            .iter()
            .map(|p| self.plan.pools[*p].name.as_str())
            .collect();
        let to = &self.plan.pools[to].name;
        let text = format!(
            "the route `{}` may send `{}` to `{to}`, out of `{}`",
            route.name,
            group.name,
            bound.join("`, `")
        );
        let fault = Fault::new(to_span.clone(), text).label("this leaves the binding");
        let binding = group.pools_span.clone().unwrap_or(group.span.clone());
        let fault = fault.related(binding, format!("`{}` is bound here", group.name));
        self.faults.push(fault.help(format!(
            "take `{}` with an earlier route, or leave `{to}` out",
            group.name
        )));
    }

    /// The same for kinds and zones that the settings bind a group to.
    fn settled(
        &mut self,
        route: &Route,
        to_span: &Span,
        reaches: &dyn Fn(&str) -> bool,
        cells: Option<&Cells>,
        held: Option<&[FixedBitSet]>,
    ) {
        let (Some(settings), Some(cells), Some(held)) = (self.settings, cells, held) else {
            return;
        };
        let bound = settings
            .classes
            .iter()
            .filter(|g| g.kinds.is_some() || g.zones.is_some());
        for group in bound.filter(|g| reaches(&g.name) || route.treats_as(&g.name)) {
            let allowed = |cell: usize| {
                let (zone, kind) = cells.place(cell);
                let among = |list: &Option<Vec<String>>, name: Option<&str>| {
                    list.as_ref()
                        .is_none_or(|l| name.is_some_and(|n| l.iter().any(|m| m == n)))
                };
                among(&group.zones, zone) && among(&group.kinds, kind)
            };
            for to in &route.pools {
                if let Some(cell) = held[*to].ones().find(|cell| !allowed(*cell)) {
                    let (zone, kind) = cells.place(cell);
                    let place = match (zone, kind) {
                        (Some(zone), Some(kind)) => format!("{kind} in {zone}"),
                        (_, kind) => kind.unwrap_or("engines of other kinds").to_string(),
                    };
                    let pool = &self.plan.pools[*to].name;
                    let text = format!(
                        "the route `{}` may send `{}` to {place}, by the pool `{pool}`",
                        route.name, group.name
                    );
                    let list = |l: &Option<Vec<String>>| l.as_ref().map(|l| l.join(", "));
                    let only = [list(&group.kinds), list(&group.zones)]
                        .into_iter()
                        .flatten()
                        .collect::<Vec<_>>();
                    let fault = Fault::new(to_span.clone(), text).label("this leaves the binding");
                    let fault = fault.help(format!(
                        "the settings bind `{}` to {}; take it with an earlier route",
                        group.name,
                        only.join(" and ")
                    ));
                    self.faults.push(fault);
                }
            }
        }
    }
}
