//! Service discovery: maintains the engine list from the events of the change log.
//!
//! [`ChangeLogWatch`] follows the change log and passes on each decoded event once and in order. [`Discovery`] applies
//! the events to the [`EngineList`], which assigns the decision module's indices to engines. If an engine subset is
//! configured, [`SubsetSelection`] chooses its members, and only those are in the list. This module depends neither on
//! the scheduler nor on the connections to engines; it delivers plain values.

mod connection;
mod connection_set;
mod driver;
mod engine_health;
mod event;
mod lenient;
mod list;
pub mod reconnect;
mod selection;
mod sequence;
mod start_times;
mod stream;
mod watch;

pub use driver::{ChangeHandler, Discovery, HealthCheckOutcome};
pub use engine_health::{EngineHealth, Reachability, ReachabilityChange};
pub use event::{
    decode_event, decode_event_text, EngineEntry, Event, EventError, EventErrorCause, NameIndex,
};
pub use list::{EngineList, EngineTarget, EngineUpdate, ListChange};
pub use selection::SubsetSelection;
pub use watch::ChangeLogWatch;
