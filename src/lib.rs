//! garnetwall decides where and when queries go to a pool of engines. [`controller`] decides; [`api`] holds the plain
//! values it is asked with and answers in. Protocols live in crates of their own.

pub mod api;
pub mod controller;
