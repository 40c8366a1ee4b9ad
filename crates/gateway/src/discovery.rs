//! The list of engines: events of the change log, decoded, applied once and in order, under the decision module's
//! indices. It knows neither the scheduler nor the engines' connections: it hands out plain values.

mod connection;
mod event;
mod lenient;
mod list;
mod stream;
mod watch;

pub use event::{event, event_of_text, EngineLine, Event, NameIndex};
pub use list::{EngineList, EngineUpdate, Target};
pub use watch::Watch;
