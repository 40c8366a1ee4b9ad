//! Tracks attempts and non-idempotent queries until it is proved that they no longer run.
//!
//! - [`Ledger`] holds every attempt that was sent to an engine and has not finished. Callers record observations as
//!   [`Evidence`] and ask for the next step towards the attempt's end. The ledger does no I/O.
//! - [`PollSchedule`] decides when an attempt is polled again.
//! - [`ReportedEnd`] decides whether an engine's report of an attempt's end is trusted.
//! - [`journal`] stores non-idempotent queries on disk, so that a later process does not send them again.
//! - [`records`] encodes the records of the journal file.
//!
//! An attempt is not bound to a connection. It runs at its engine until it completes, it is cancelled, the engine
//! process ends, or no poll has arrived for [`ProtocolLimits::poll_expiry`]. It keeps running when the gateway stops
//! waiting for it. No proof relies on the endpoint list or on the process that listens at an address: the list may be
//! out of date, and a draining engine may refuse new connections while it still runs attempts.
//!
//! # Conclusions from evidence
//!
//! A connection is *identified* if the process at its far end has shown that it has the attempt
//! ([`Evidence::Running`]) and the connection has not failed since. At most one connection of an attempt is identified.
//! Once there is a proof, later evidence does not change it.
//!
//! | evidence | on the identified connection, or while there is one | on another connection, or without one |
//! |---|---|---|
//! | [`RequestSent`](Evidence::RequestSent) | the attempt may run for [`ProtocolLimits::long_poll`] plus [`ProtocolLimits::poll_expiry`] from now on | the same |
//! | [`Running`](Evidence::Running) | the attempt runs, and may run for [`ProtocolLimits::poll_expiry`] from now on | the same, and this connection is now the identified one |
//! | [`Ended`](Evidence::Ended) | [`Proof::Ended`] | [`Proof::Ended`] |
//! | [`NeverReached`](Evidence::NeverReached) | [`Proof::NeverReached`] | [`Proof::NeverReached`] |
//! | [`ReportedFailed`](Evidence::ReportedFailed) | [`Proof::Ended`] | nothing: another process may have reported it, or the request may not have arrived yet |
//! | [`Cancelled`](Evidence::Cancelled) | [`Proof::Cancelled`] | nothing: another process may have answered; no further cancellation is sent until a connection is identified |
//! | [`ConnectionLost`](Evidence::ConnectionLost), [`ConnectionUnusable`](Evidence::ConnectionUnusable) | nothing; no connection is identified from now on | nothing |
//! | [`ConnectionRefused`](Evidence::ConnectionRefused) | nothing; if the identified connection fails later, no cancellation is sent until one is identified again | nothing; no cancellation is sent until a connection is identified |
//! | [`CancelFailed`](Evidence::CancelFailed) | nothing; the next cancellation is sent after [`ProtocolLimits::cancel_pause`] at the earliest | the same |
//! | none until the latest time at which the attempt may run | [`Proof::Expired`]; [`Proof::NeverReached`] at any time if no request was sent | the same |
//!
//! If progress events keep attempts running, the time passed to [`Ledger::open`] replaces
//! [`ProtocolLimits::poll_expiry`] in this table if it is longer.
//!
//! docs/ledger.md compares the alternatives and states the assumption behind each proof.
//!
//! Times are durations since a fixed start time, which is the same for all calls. They must not decrease from call to
//! call.

mod attempts;
pub mod journal;
mod polling;
pub mod records;
mod reported_end;

pub use attempts::{
    AttemptId, CancelStep, ConnectionId, Evidence, Ledger, ProgressEvents, Proof, ProtocolLimits,
};
pub use polling::{CallFailure, PollSchedule, PollStep};
pub use reported_end::{ReportVerdict, ReportedEnd};
