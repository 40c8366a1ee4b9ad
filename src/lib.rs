//! garnetwall decides where and when batches go to a pool of engines. `control` decides; `api` holds the
//! plain values it is asked with and answers in. Protocols live in crates of their own.
pub mod api;
pub mod controller;
mod state;
