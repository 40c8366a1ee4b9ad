//! Reports changes in the engines that queries are routed to and in the queries that are rejected.

use super::side::{priority_levels, ComparedPlan};
use super::{placement, Change};
use crate::cells::{Cells, ConfiguredNames};
use crate::model::Plan;
use crate::region::{self, Dimension, Region, ValueClasses};
use fixedbitset::FixedBitSet;
use std::collections::{BTreeMap, BTreeSet};

/// Returns the changes in routing and placement.
pub(super) fn changes(old: &Plan, new: &Plan) -> Vec<Change> {
    let value_classes = ValueClasses::of(&[old, new], &[], &[]);
    let cells = Cells::of(&[old, new], ConfiguredNames::default());
    let old_side = ComparedPlan::of(old, 0, &value_classes, cells.as_ref());
    let new_side = ComparedPlan::of(new, old.addresses.len(), &value_classes, cells.as_ref());
    let (Some(old_side), Some(new_side)) = (old_side, new_side) else {
        return not_comparable(old, new);
    };
    let mut comparison = Comparison {
        class_names: class_names(old, new),
        value_classes: &value_classes,
        cells: cells.as_ref(),
        old: old_side,
        new: new_side,
        cell_sets: CellSets::default(),
    };
    let mut changes = comparison.placement_changes();
    changes.extend(comparison.routing_changes(&set_names(old, new)));
    changes
}

/// Returns the change reported if the routes divide queries into too many regions to be compared; none if the routes of
/// both plans are identical.
fn not_comparable(old: &Plan, new: &Plan) -> Vec<Change> {
    if format!("{:?}", old.routes) == format!("{:?}", new.routes) {
        return Vec::new();
    }
    let text = "cannot compare the routes: they divide queries into too many regions";
    vec![Change {
        subject: "routing",
        text: text.to_string(),
    }]
}

/// Returns the query classes that either plan names in its routes or rules.
fn class_names(old: &Plan, new: &Plan) -> BTreeSet<String> {
    let routes = old.routes.iter().chain(&new.routes);
    let rules = old.classes.iter().chain(&new.classes);
    routes
        .flat_map(|route| route.classes.iter().chain(&route.as_class))
        .chain(rules.map(|class| &class.name))
        .cloned()
        .collect()
}

fn set_names(old: &Plan, new: &Plan) -> Vec<String> {
    let sets = old.addresses.iter().chain(&new.addresses);
    sets.map(|set| set.name.clone()).collect()
}

/// Outcome of a plan for the queries of a region.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Decision {
    Rejected {
        reason: String,
    },
    Routed {
        /// Class that the query is treated as.
        class: String,
        /// For each priority level, the number of its set of cells in [`CellSets`]; the index of its pool if the cells
        /// are not computed.
        levels: Vec<usize>,
    },
}

/// Two different decisions on the same queries. Routes are given by index; the number of routes stands for no route.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Difference {
    old_route: usize,
    new_route: usize,
    old: Decision,
    new: Decision,
}

/// Assigns consecutive numbers to distinct sets of cells, so that decisions can be compared by number.
#[derive(Default)]
struct CellSets(BTreeMap<Vec<usize>, usize>);

impl CellSets {
    fn number(&mut self, cells: &FixedBitSet) -> usize {
        let next = self.0.len();
        *self.0.entry(cells.ones().collect()).or_insert(next)
    }
}

/// The two plans, with the value classes and cells that they distinguish together.
struct Comparison<'a> {
    class_names: BTreeSet<String>,
    value_classes: &'a ValueClasses,
    cells: Option<&'a Cells>,
    old: ComparedPlan<'a>,
    new: ComparedPlan<'a>,
    cell_sets: CellSets,
}

impl Comparison<'_> {
    /// Returns no changes if there are too many cells to be computed.
    fn placement_changes(&self) -> Vec<Change> {
        let Some(cells) = self.cells else {
            return Vec::new();
        };
        placement::changes(
            &self.class_names,
            self.value_classes,
            cells,
            &self.old,
            &self.new,
        )
    }

    fn routing_changes(&mut self, set_names: &[String]) -> Vec<Change> {
        let differences = self.differences();
        let changes = differences
            .iter()
            .map(|(difference, regions)| self.change(difference, regions, set_names));
        changes.collect()
    }

    /// Returns the regions of queries on which the two plans decide differently, grouped by both decisions.
    fn differences(&mut self) -> BTreeMap<Difference, Vec<Region>> {
        let mut differences: BTreeMap<Difference, Vec<Region>> = BTreeMap::new();
        for old_route in 0..self.old.effective.len() {
            for new_route in 0..self.new.effective.len() {
                for piece in self.common_pieces(old_route, new_route) {
                    for value_class in piece[Dimension::QueryClass.index()].ones() {
                        let Some(difference) = self.difference(old_route, new_route, value_class)
                        else {
                            continue;
                        };
                        let regions = differences.entry(difference).or_default();
                        regions.push(of_value_class(&piece, value_class));
                    }
                }
            }
        }
        differences
    }

    /// Returns the regions that `old_route` of the old plan and `new_route` of the new plan decide on.
    fn common_pieces(&self, old_route: usize, new_route: usize) -> Vec<Region> {
        let old_pieces = self.old.effective[old_route].iter();
        let new_pieces = &self.new.effective[new_route];
        let common = old_pieces.flat_map(|old| {
            let with_old = |new| region::intersection(old, new);
            new_pieces.iter().filter_map(with_old)
        });
        common.collect()
    }

    fn difference(
        &mut self,
        old_route: usize,
        new_route: usize,
        value_class: usize,
    ) -> Option<Difference> {
        let is_member = |name: &&String| self.value_classes.query_class(name) == value_class;
        let name = self.class_names.iter().find(is_member);
        let name = name.map_or("others", String::as_str);
        let old = decision(&self.old, old_route, name, self.cells, &mut self.cell_sets);
        let new = decision(&self.new, new_route, name, self.cells, &mut self.cell_sets);
        (old != new).then_some(Difference {
            old_route,
            new_route,
            old,
            new,
        })
    }

    fn change(&self, difference: &Difference, regions: &[Region], set_names: &[String]) -> Change {
        let first = self.value_classes.describe(&regions[0], set_names);
        let more = match regions.len() {
            1 => String::new(),
            count => format!(" (and {} more)", count - 1),
        };
        let old = describe(self.old.plan, difference.old_route, &difference.old);
        let mut new = describe(self.new.plan, difference.new_route, &difference.new);
        if old == new {
            new += ", with other engines";
        }
        Change {
            subject: "routing",
            text: format!("{first}{more}: {old} -> {new}"),
        }
    }
}

/// Restricts a region to one value class of the query class dimension.
fn of_value_class(region: &Region, value_class: usize) -> Region {
    let mut part = region.clone();
    let query_classes = &mut part[Dimension::QueryClass.index()];
    query_classes.clear();
    query_classes.insert(value_class);
    part
}

fn decision(
    side: &ComparedPlan,
    route: usize,
    class: &str,
    cells: Option<&Cells>,
    cell_sets: &mut CellSets,
) -> Decision {
    let route = side.plan.routes.get(route);
    if let Some(reason) = route.and_then(|route| route.reject_reason.clone()) {
        return Decision::Rejected { reason };
    }
    let treated_as = route.and_then(|route| route.as_class.as_deref());
    let levels = match cells {
        Some(cells) => {
            let levels = priority_levels(side, route, class, cells);
            levels.iter().map(|level| cell_sets.number(level)).collect()
        }
        None => route.map_or(Vec::new(), |route| route.pools.clone()),
    };
    Decision::Routed {
        class: treated_as.unwrap_or(class).to_string(),
        levels,
    }
}

fn describe(plan: &Plan, route: usize, decision: &Decision) -> String {
    let class = match decision {
        Decision::Rejected { reason } => return format!("rejected, \"{reason}\""),
        Decision::Routed { class, .. } => class,
    };
    let route = plan.routes.get(route);
    let pools = route.map_or(&[][..], |route| &route.pools);
    let name = |pool: &usize| plan.pools[*pool].name.as_str();
    let names: Vec<&str> = pools.iter().map(name).collect();
    let to = match names.is_empty() {
        true => "any engine".to_string(),
        false => format!("to {}", names.join(", ")),
    };
    match route.and_then(|route| route.as_class.as_ref()) {
        Some(_) => format!("as {class} {to}"),
        None => to,
    }
}
