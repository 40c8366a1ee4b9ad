//! Engine subsets: which engines of the list a gateway works with.
//!
//! Each gateway chooses its subset for itself, from what it is told: its name, the number of gateways, and the
//! list of engines. The crate has no I/O and no clock: callers hand in times, in seconds on a clock of theirs.
//!
//! A [`Catalog`] keeps the whole list once; many subsets may read one catalog. A [`Subset`] keeps only its members and
//! a short reserve, and answers each change with [`Action`]s. A subset narrows what the decision module may choose
//! from and never widens it.

mod catalog;
mod settings;
mod subset;

pub use catalog::{Catalog, Change, Condition, EngineFacts, EngineKey, EngineLine};
pub use settings::{PlacementClass, RetryScope, SubsetError, SubsetSettings};
pub use subset::{Action, Subset};
