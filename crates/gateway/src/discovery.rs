//! The list of engines: events of the change log, decoded, applied once and in order, under the decision module's
//! indices; where a subset is configured, only its members. It knows neither the scheduler nor the engines' connections: it hands out plain values.

mod connection;
mod connection_set;
mod driver;
mod event;
mod lenient;
mod list;
pub mod reconnect;
mod selection;
mod sequence;
mod start_times;
mod stream;
mod watch;

pub use driver::{Deliver, Discovery, Warmed};
pub use event::{event, event_of_text, EngineLine, Event, NameIndex};
pub use list::{EngineList, EngineUpdate, ListChange, Target};
pub use selection::Selection;
pub use watch::Watch;
