//! Changes in limits.

use super::Change;
use crate::address;
use crate::explain::limit_in_words;
use crate::model::{Limit, Plan};
use std::collections::{BTreeMap, BTreeSet};

/// The limits of one plan that the other does not have, paired by name.
pub(super) fn changes(old: &Plan, new: &Plan) -> Vec<Change> {
    let old_meanings: BTreeSet<String> = meanings(old).collect();
    let new_meanings: BTreeSet<String> = meanings(new).collect();
    let removed = others(old, &new_meanings);
    let added = others(new, &old_meanings);
    let names: BTreeSet<&str> = removed.keys().chain(added.keys()).copied().collect();
    let mut changes = Vec::new();
    for name in names {
        let text = match (removed.get(name), added.get(name)) {
            (None, None) => continue,
            (Some(limit), None) => format!("`{name}` is gone: {}", limit_in_words(limit)),
            (None, Some(limit)) => format!("`{name}` is new: {}", limit_in_words(limit)),
            (Some(before), Some(after)) if scope(old, before) != scope(new, after) => {
                format!("`{name}` counts other queries now")
            }
            (Some(before), Some(after)) => {
                let before = limit_in_words(before);
                let after = limit_in_words(after);
                format!("`{name}`: {before} -> {after}")
            }
        };
        changes.push(Change {
            subject: "limit",
            text,
        });
    }
    changes
}

/// What a limit means, whatever it is called.
fn meaning(plan: &Plan, limit: &Limit) -> String {
    format!("{} {}", scope(plan, limit), limit_in_words(limit))
}

fn meanings(plan: &Plan) -> impl Iterator<Item = String> + '_ {
    plan.limits.iter().map(|limit| meaning(plan, limit))
}

/// The limits of a plan that mean something else than those of the other plan, by name.
fn others<'a>(plan: &'a Plan, meanings: &BTreeSet<String>) -> BTreeMap<&'a str, &'a Limit> {
    let is_other = |limit: &&Limit| !meanings.contains(&meaning(plan, limit));
    let others = plan.limits.iter().filter(is_other);
    others.map(|limit| (limit.name.as_str(), limit)).collect()
}

/// Which queries a limit counts, and by what, without the names of address sets.
fn scope(plan: &Plan, limit: &Limit) -> String {
    let sets = limit.clients.iter().map(|set| &plan.addresses[*set]);
    let ranges = sets.flat_map(|set| set.ranges.iter().copied());
    let ranges = address::union(ranges.collect());
    let classes: BTreeSet<&String> = limit.classes.iter().collect();
    let tenants: BTreeSet<&String> = limit.tenants.iter().collect();
    format!("{:?} {classes:?} {tenants:?} {ranges:?}", limit.per)
}
