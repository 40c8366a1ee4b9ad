//! Remembers what is known of attempts and of non-idempotent queries until they provably run no more.
//!
//! [`Ledger`] holds every attempt that was sent to an engine and is not finished: callers record what they observe as
//! [`Evidence`] and ask what follows. It does no I/O. [`PollSchedule`] says when an attempt is polled again,
//! [`ReportedEnd`] what an engine's report of an end is worth.
//! [`journal`] stores non-idempotent queries on a disk, so that a later process does not send them again;
//! [`records`] has the bytes of its file.
//!
//! An attempt belongs to no connection. It runs at its engine until it ends, is cancelled, its process ends, or nobody has
//! polled it for [`ProtocolLimits::poll_expiry`]. That the gateway no longer waits for it ends nothing. No proof rests on the
//! list of endpoints or on who listens at an address: a list may be late, and a draining engine may refuse new
//! connections and run on.
//!
//! # What each piece of evidence proves
//!
//! A connection is *identified* while [`Evidence::Running`] was the last that is known of it: the process at its end has
//! the attempt. Nothing undoes a proof.
//!
//! | evidence | on the identified connection | on any other, or on none |
//! |---|---|---|
//! | [`RequestSent`](Evidence::RequestSent) | the attempt may run for [`ProtocolLimits::poll_expiry`], from [`ProtocolLimits::long_poll`] later on | the same |
//! | [`Running`](Evidence::Running) | it runs; may run for [`ProtocolLimits::poll_expiry`] from now | the same, and this connection is identified |
//! | [`Ended`](Evidence::Ended) | [`Proof::Ended`] | [`Proof::Ended`] |
//! | [`NeverReached`](Evidence::NeverReached) | [`Proof::NeverReached`] | [`Proof::NeverReached`] |
//! | [`ReportedFailed`](Evidence::ReportedFailed) | [`Proof::Ended`] | nothing: another process may have reported it, or the request is on its way |
//! | [`Cancelled`](Evidence::Cancelled) | [`Proof::Cancelled`] | nothing: another process may have answered; it is not cancelled again until a connection is identified |
//! | [`ConnectionLost`](Evidence::ConnectionLost), [`ConnectionUnusable`](Evidence::ConnectionUnusable) | nothing; no connection is identified any more | nothing |
//! | [`ConnectionRefused`](Evidence::ConnectionRefused) | nothing | nothing; it is not cancelled until a connection is identified |
//! | [`CancelFailed`](Evidence::CancelFailed) | nothing; the next cancellation waits [`ProtocolLimits::cancel_pause`] | the same |
//! | the time until which it may run passes | [`Proof::Expired`]; [`Proof::NeverReached`] at once where no request was sent | the same |
//!
//! docs/ledger.md weighs the options and names the assumption behind each proof.
//!
//! Times are durations since one fixed point, the same for all calls, and never run backwards.

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
