//! Reports routes that may send queries to engines outside the pools, kinds or zones that their class is bound to.

use super::{is_bound, ConsistencyCheck};
use crate::build::SettingsClass;
use crate::cells::{Cells, Place};
use crate::diagnostic::Diagnostic;
use crate::files::Span;
use crate::model::{ClassRules, Route};
use crate::region::{Dimension, Region, ValueClasses};
use fixedbitset::FixedBitSet;

/// A route that names pools, with the regions of queries that it decides on.
struct PlacedRoute<'a> {
    route: &'a Route,
    /// Span of the entry that names the pools.
    pools_span: &'a Span,
    value_classes: &'a ValueClasses,
    /// Regions of queries for which this is the first matching route; `None` if there are too many to compute.
    pieces: Option<&'a [Region]>,
}

impl PlacedRoute<'_> {
    /// Returns whether the route may match queries of `class`, or treats the queries that it matches as `class`.
    /// Unknown regions count as a match.
    fn concerns(&self, class: &str) -> bool {
        let value_class = self.value_classes.query_class(class);
        let has_class = |piece: &Region| piece[Dimension::QueryClass.index()].contains(value_class);
        self.route.treats_as(class)
            || self
                .pieces
                .is_none_or(|pieces| pieces.iter().any(has_class))
    }
}

/// The cells that a plan distinguishes, and the cells of each of its pools by index.
struct PoolCells {
    cells: Cells,
    of_pools: Vec<FixedBitSet>,
}

impl ConsistencyCheck<'_> {
    /// Reports routes that may send queries out of the pools, kinds or zones that their class is bound to.
    pub(super) fn check_placement(
        &mut self,
        value_classes: &ValueClasses,
        effective: &[Option<Vec<Region>>],
    ) {
        let cells = Cells::of(&[self.plan], self.configured_names());
        let pool_cells = cells.map(|cells| PoolCells {
            of_pools: cells.of_pools(self.plan, 0),
            cells,
        });
        for (route, pieces) in self.plan.routes.iter().zip(effective) {
            let Some(pools_span) = &route.pools_span else {
                continue;
            };
            let placed = PlacedRoute {
                route,
                pools_span,
                value_classes,
                pieces: pieces.as_deref(),
            };
            self.check_plan_bindings(&placed, pool_cells.as_ref());
            if let Some(pool_cells) = &pool_cells {
                self.check_settings_bindings(&placed, pool_cells);
            }
        }
    }

    /// Reports the pools of a route that are not within the pools that the plan binds a class to.
    fn check_plan_bindings(&mut self, placed: &PlacedRoute, pool_cells: Option<&PoolCells>) {
        let bound = self.plan.classes.iter();
        let bound = bound.filter(|class| !class.pools.is_empty());
        for class in bound.filter(|class| placed.concerns(&class.name)) {
            for pool in &placed.route.pools {
                if !is_inside(*pool, &class.pools, pool_cells) {
                    let diagnostic = self.out_of_pools_diagnostic(placed, class, *pool);
                    self.diagnostics.push(diagnostic);
                }
            }
        }
    }

    fn out_of_pools_diagnostic(
        &self,
        placed: &PlacedRoute,
        class: &ClassRules,
        pool: usize,
    ) -> Diagnostic {
        let pool_name = |pool: &usize| self.plan.pools[*pool].name.as_str();
        let bound: Vec<&str> = class.pools.iter().map(pool_name).collect();
        let pool = pool_name(&pool);
        let text = format!(
            "route `{}` may send queries of `{}` to pool `{pool}`, but their class is bound to `{}`",
            placed.route.name,
            class.name,
            bound.join("`, `")
        );
        let binding = class.pools_span.as_ref().unwrap_or(&class.span);
        Diagnostic::new(placed.pools_span.clone(), text)
            .label("names a pool outside the binding")
            .related(binding.clone(), format!("`{}` is bound here", class.name))
            .help(format!(
                "match queries of `{}` in an earlier route, or remove `{pool}` from this one",
                class.name
            ))
    }

    /// Reports the pools of a route that contain engines outside the kinds and zones that the settings bind a class to.
    fn check_settings_bindings(&mut self, placed: &PlacedRoute, pool_cells: &PoolCells) {
        let Some(settings) = self.settings else {
            return;
        };
        let bound = settings.classes.iter().filter(|class| is_bound(class));
        for class in bound.filter(|class| placed.concerns(&class.name)) {
            for pool in &placed.route.pools {
                let mut cells = pool_cells.of_pools[*pool].ones();
                let places = &pool_cells.cells;
                let outside = cells.find(|cell| !is_allowed(class, places.place(*cell)));
                if let Some(cell) = outside {
                    let place = describe_place(places.place(cell));
                    let pool = &self.plan.pools[*pool].name;
                    let diagnostic = out_of_places_diagnostic(placed, class, &place, pool);
                    self.diagnostics.push(diagnostic);
                }
            }
        }
    }
}

/// Returns whether every engine of a pool is in one of the `bound` pools. If the cells are not known, the pool must
/// itself be one of them.
fn is_inside(pool: usize, bound: &[usize], pool_cells: Option<&PoolCells>) -> bool {
    let Some(PoolCells { of_pools, .. }) = pool_cells else {
        return bound.contains(&pool);
    };
    let mut outside = of_pools[pool].clone();
    for allowed in bound {
        outside.difference_with(&of_pools[*allowed]);
    }
    outside.is_clear()
}

/// Returns whether the settings allow a class to run in this zone and on this kind of engine.
fn is_allowed(class: &SettingsClass, place: Place) -> bool {
    let among = |allowed: &Option<Vec<String>>, name: Option<&str>| {
        let Some(allowed) = allowed else { return true };
        name.is_some_and(|name| allowed.iter().any(|other| other == name))
    };
    among(&class.zones, place.zone) && among(&class.kinds, place.kind)
}

fn describe_place(place: Place) -> String {
    match (place.zone, place.kind) {
        (Some(zone), Some(kind)) => format!("{kind} in {zone}"),
        (_, Some(kind)) => kind.to_string(),
        (_, None) => "engines of other kinds".to_string(),
    }
}

fn out_of_places_diagnostic(
    placed: &PlacedRoute,
    class: &SettingsClass,
    place: &str,
    pool: &str,
) -> Diagnostic {
    let text = format!(
        "route `{}` may send queries of `{}` to {place} through pool `{pool}`, which the settings do not allow",
        placed.route.name, class.name
    );
    let bound = class.kinds.iter().chain(&class.zones);
    let bound: Vec<String> = bound.map(|names| names.join(", ")).collect();
    Diagnostic::new(placed.pools_span.clone(), text)
        .label("names a pool outside the binding")
        .help(format!(
            "the settings bind `{}` to {}; match its queries in an earlier route",
            class.name,
            bound.join(" and ")
        ))
}
