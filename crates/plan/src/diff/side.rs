//! Computes, for each of the two compared plans, the regions that its routes decide on and the cells of its pools.

use crate::cells::Cells;
use crate::model::{Plan, Route};
use crate::region::{self, Region, ValueClasses};
use fixedbitset::FixedBitSet;

/// One of the two compared plans, with the regions of its routes and the cells of its pools.
pub(super) struct ComparedPlan<'a> {
    pub(super) plan: &'a Plan,
    /// Cells of each pool by index; `None` if there are too many cells to compute.
    pub(super) pools: Option<Vec<FixedBitSet>>,
    /// Regions that each route decides on; the last item holds the regions that no route matches.
    pub(super) effective: Vec<Vec<Region>>,
}

impl<'a> ComparedPlan<'a> {
    /// Computes the regions and cells of a plan; `None` if its routes divide queries into too many regions. `first_set`
    /// is the index of the plan's first address set among those of both plans.
    pub(super) fn of(
        plan: &'a Plan,
        first_set: usize,
        value_classes: &ValueClasses,
        cells: Option<&Cells>,
    ) -> Option<Self> {
        let regions = plan.routes.iter();
        let regions: Vec<Region> = regions
            .map(|route| value_classes.region(route, first_set))
            .collect();
        let effective = region::effective_regions(&regions, &region::all_queries(value_classes));
        Some(ComparedPlan {
            plan,
            pools: cells.map(|cells| cells.of_pools(plan, first_set)),
            effective: effective.into_iter().collect::<Option<_>>()?,
        })
    }
}

/// Returns the priority levels of a class on a route. Each level holds the cells that no earlier level has; empty
/// levels are omitted.
pub(super) fn priority_levels(
    side: &ComparedPlan,
    route: Option<&Route>,
    class: &str,
    cells: &Cells,
) -> Vec<FixedBitSet> {
    let Some(pools) = &side.pools else {
        return Vec::new();
    };
    let treated_as = route.and_then(|route| route.as_class.as_deref());
    let mut unused = allowed_cells(
        side.plan,
        pools,
        cells,
        &[class, treated_as.unwrap_or(class)],
    );
    let preferred: Vec<FixedBitSet> = match route.map(|route| route.pools.as_slice()) {
        None | Some([]) => vec![cells.all()],
        Some(to) => to.iter().map(|pool| pools[*pool].clone()).collect(),
    };
    let mut levels = Vec::new();
    for mut level in preferred {
        level.intersect_with(&unused);
        unused.difference_with(&level);
        if !level.is_clear() {
            levels.push(level);
        }
    }
    levels
}

/// Returns the cells on which the rules of all `classes` allow a query to run; `pools` holds the cells of each pool.
fn allowed_cells(
    plan: &Plan,
    pools: &[FixedBitSet],
    cells: &Cells,
    classes: &[&str],
) -> FixedBitSet {
    let mut allowed = cells.all();
    let rules = classes.iter().filter_map(|class| plan.class(class));
    for class in rules.filter(|class| !class.pools.is_empty()) {
        let mut bound = FixedBitSet::with_capacity(cells.count());
        for pool in &class.pools {
            bound.union_with(&pools[*pool]);
        }
        allowed.intersect_with(&bound);
    }
    allowed
}
