//! Compares two plans by their behaviour instead of their text.
//!
//! Moved blocks, comments, different units for the same value, and renamed constants, pools, address sets and routes
//! are not reported as changes. Routing is compared over the value classes of queries ([`crate::region`]) and the cells
//! of engines ([`crate::cells`]) that the two plans distinguish.

mod figures;
mod limits;
mod placement;
mod routing;
mod side;

use crate::model::Plan;
use serde::Serialize;

/// A difference in behaviour between two plans.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, PartialOrd, Ord)]
pub struct Change {
    /// Area of the change: `routing`, `placement`, `group`, `tenant`, `limit` or `store`.
    #[serde(rename = "of")]
    pub subject: &'static str,
    /// Description of the change, for example ``limit of `lookup`: 1s -> 1.5s``.
    pub text: String,
}

/// Returns all differences in behaviour of the new plan from the old one; empty if both do the same.
pub fn diff(old: &Plan, new: &Plan) -> Vec<Change> {
    let mut changes = routing::changes(old, new);
    changes.extend(figures::class_changes(old, new));
    changes.extend(figures::tenant_changes(old, new));
    changes.extend(limits::changes(old, new));
    changes.extend(figures::storage_changes(old, new));
    changes
}
