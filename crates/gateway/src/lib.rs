//! The garnetwall gateway: receives queries over HTTP, lets the admission controller decide on them, and runs them on
//! engines.
//!
//! To embed a gateway, read a [`configuration::Config`] and run a [`gateway::Gateway`] with it, as [`cli::main`] does
//! for the command `serve`.

pub mod cli;
pub mod configuration;
pub mod discovery;
pub mod engines;
pub mod gateway;
pub mod http;
pub mod metrics;
pub mod phase;
pub mod scheduling;
pub mod storage;
pub mod supervision;
pub mod system;
pub mod whole_body;
