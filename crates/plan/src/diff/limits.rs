//! Reports changes in admission limits, whatever their names and order.

use super::Change;
use crate::explain::describe_limit;
use crate::model::{Limit, LimitScope, Plan};
use std::collections::{BTreeMap, BTreeSet};

/// Returns the limits that only one of the plans has; limits with the same name are reported as one change.
pub(super) fn changes(old: &Plan, new: &Plan) -> Vec<Change> {
    let removed = unmatched(old, &contents(new));
    let added = unmatched(new, &contents(old));
    let names: BTreeSet<&str> = removed.keys().chain(added.keys()).copied().collect();
    let mut changes = Vec::new();
    for name in names {
        let text = match (removed.get(name), added.get(name)) {
            (None, None) => continue,
            (Some(limit), None) => format!("`{name}` is gone: {}", describe_limit(limit)),
            (None, Some(limit)) => format!("`{name}` is new: {}", describe_limit(limit)),
            (Some(before), Some(after)) if scope(old, before) != scope(new, after) => {
                format!("`{name}` now counts other queries")
            }
            (Some(before), Some(after)) => {
                let before = describe_limit(before);
                let after = describe_limit(after);
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

/// The effect of a limit, regardless of its name. Limits with equal content are interchangeable.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Content {
    scope: LimitScope,
    /// Printed form of the allowed quantities.
    allowed: String,
}

impl Content {
    fn of(plan: &Plan, limit: &Limit) -> Content {
        Content {
            scope: scope(plan, limit),
            allowed: describe_limit(limit),
        }
    }
}

fn contents(plan: &Plan) -> BTreeSet<Content> {
    let limits = plan.limits.iter();
    limits.map(|limit| Content::of(plan, limit)).collect()
}

/// Returns, by name, the limits of a plan whose content differs from that of each limit of the other plan.
fn unmatched<'a>(plan: &'a Plan, contents: &BTreeSet<Content>) -> BTreeMap<&'a str, &'a Limit> {
    let is_unmatched = |limit: &&Limit| !contents.contains(&Content::of(plan, limit));
    let unmatched = plan.limits.iter().filter(is_unmatched);
    unmatched
        .map(|limit| (limit.name.as_str(), limit))
        .collect()
}

fn scope(plan: &Plan, limit: &Limit) -> LimitScope {
    limit.scope(&plan.addresses).without_repeated_names()
}
