//! Connects the gateway to its storage: the journal of non-idempotent queries, and the store of request bodies.

pub mod body_store;
pub mod query_journal;
