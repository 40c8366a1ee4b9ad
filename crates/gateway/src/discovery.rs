//! Service discovery: the list of engines, from the events of the change log.
//!
//! Events are decoded and applied once and in order, under the decision module's indices; where an engine subset is
//! configured, only its members are. This module knows neither the scheduler nor the connections to engines: it delivers
//! plain values.

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
pub use event::{event, event_of_text, EngineEntry, Event, EventError, EventErrorCause, NameIndex};
pub use list::{EngineList, EngineUpdate, ListChange, Target};
pub use selection::Selection;
pub use watch::Watch;
