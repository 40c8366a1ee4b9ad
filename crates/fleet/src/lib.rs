//! Gateways as a fleet: who is there, and who holds what until when, over any cut, kill, pause or restart. It does no I/O and looks at no clock:
//! callers hand it time and messages and carry out what it answers. docs/fleet.md weighs the options and says what is promised.
//!
//! * [`terms`]: how long a lease lasts for who gave it and for who has it, and what is refused as too short.
//! * [`grantor`]: what a grantor has given, to whom, until when.
//! * [`holder`]: what a gateway holds, by the word of a majority of grantors.
//! * [`shares`]: a budget of the fleet in units that are held like anything else.
//! * [`members`]: who is there, who is suspected, who has left on purpose, and what each tells of itself.
//! * [`message`]: what goes between them.
//! * [`wire`]: messages as datagrams: bounded, of one fleet, with a keyed hash where there is a key.
//!
//! Times are spans since any fixed point of the caller's own, on a clock that never runs backwards and runs on through a
//! pause of the process. No two parties need agree on them.

pub mod grantor;
pub mod holder;
pub mod members;
pub mod message;
pub mod shares;
pub mod terms;
pub mod wire;

pub use grantor::Grantor;
pub use holder::Holder;
pub use message::{Ask, Claim, Epoch, Member, Thing, Told, Verdict};
pub use terms::{Fault, Terms};
