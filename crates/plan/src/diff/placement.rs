//! Reports changes in the zones and kinds of engines that each query class may use.

use super::side::{priority_levels, ComparedPlan};
use super::Change;
use crate::cells::{Cells, Place};
use crate::region::{Dimension, ValueClasses};
use fixedbitset::FixedBitSet;
use std::collections::BTreeSet;

/// Returns, for each class, the zones and kinds of engines that it may use in only one of the plans.
pub(super) fn changes(
    class_names: &BTreeSet<String>,
    value_classes: &ValueClasses,
    cells: &Cells,
    old_side: &ComparedPlan,
    new_side: &ComparedPlan,
) -> Vec<Change> {
    let mut changes = Vec::new();
    for class in class_names {
        let value_class = value_classes.query_class(class);
        let old = places(old_side, class, value_class, cells);
        let new = places(new_side, class, value_class, cells);
        let left = old.difference(&new);
        changes.extend(left.map(|place| change(class, "may no longer", place)));
        let added = new.difference(&old);
        changes.extend(added.map(|place| change(class, "may now", place)));
    }
    changes
}

fn change(class: &str, permission: &str, place: &Place) -> Change {
    let kind = place.kind.unwrap_or("engines of other kinds");
    let zone = place.zone.unwrap_or("other zones");
    Change {
        subject: "placement",
        text: format!("`{class}` {permission} use {kind} in {zone}"),
    }
}

/// Returns the zones and kinds of engines that a class may use in a plan through any route that its queries may match.
fn places<'a>(
    side: &ComparedPlan,
    class: &str,
    value_class: usize,
    cells: &'a Cells,
) -> BTreeSet<Place<'a>> {
    let mut usable = FixedBitSet::with_capacity(cells.count());
    for (index, pieces) in side.effective.iter().enumerate() {
        let route = side.plan.routes.get(index);
        let is_rejected = route.is_some_and(|route| route.reject_reason.is_some());
        let is_matched = pieces
            .iter()
            .any(|piece| piece[Dimension::QueryClass.index()].contains(value_class));
        if is_rejected || !is_matched {
            continue;
        }
        for level in priority_levels(side, route, class, cells) {
            usable.union_with(&level);
        }
    }
    usable.ones().map(|cell| cells.place(cell)).collect()
}
