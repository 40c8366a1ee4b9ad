//! The garnetwall gateway: admits queries over HTTP, asks the decision module, and runs them on engines.
//!
//! Embed it with [`configuration::Config`] and [`gateway::Gateway`]; `src/main.rs` does no more.

pub mod cli;
pub mod configuration;
pub mod discovery;
pub mod engines;
pub mod gateway;
pub mod http;
pub mod phase;
pub mod scheduling;
pub mod storage;
pub mod system;
