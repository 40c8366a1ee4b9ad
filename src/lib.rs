//! Admission control for queries on a pool of engines: decides when and on which engine each query runs.
//!
//! [`controller`] makes the decisions; [`api`] defines its input and output values. Network protocols are in separate
//! crates.

pub mod api;
pub mod attempt_guard;
pub mod controller;
pub mod key_arrivals;
