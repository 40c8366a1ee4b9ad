//! The garnetwall gateway: takes batches over HTTP, asks the decision module, and runs them on engines.
//!
//! Embed it with [`config::Config`] and [`gateway::Gateway`]; `src/main.rs` does no more.

pub mod attended;
pub mod cli;
pub mod clock;
pub mod config;
pub mod desk;
pub mod discovery;
pub mod engines;
pub mod front;
pub mod gateway;
pub mod guests;
pub mod inbound;
pub mod keeping;
pub mod life;
pub mod log;
pub mod machine_run;
pub mod plan_cli;
pub mod planning;
pub mod pulse;
pub mod reconnect;
pub mod rows;
pub mod signals;
pub mod socket;
pub mod sockets;
pub mod spacing;
pub mod statement;
pub mod system_fault;
