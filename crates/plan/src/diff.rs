//! Compares two plans by what they do, not by their text.
//!
//! Moved blocks, comments, renamed constants, pools, sets and routes, and 1s for 1000ms are no change. Routing is
//! compared over the value classes of queries and the cells of engines that the two plans tell apart.

mod figures;
mod limits;
mod placement;
mod routing;
mod side;

use crate::model::Plan;
use serde::Serialize;

/// A change in what a plan does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, PartialOrd, Ord)]
pub struct Change {
    /// What has changed: `routing`, `placement`, `group`, `tenant`, `limit` or `store`.
    #[serde(rename = "of")]
    pub subject: &'static str,
    /// The change, as it is printed.
    pub text: String,
}

/// All that the new plan does differently from the old one.
pub fn diff(old: &Plan, new: &Plan) -> Vec<Change> {
    let mut changes = routing::changes(old, new);
    changes.extend(figures::of_classes(old, new));
    changes.extend(figures::of_tenants(old, new));
    changes.extend(limits::changes(old, new));
    changes.extend(figures::of_storage(old, new));
    changes
}
