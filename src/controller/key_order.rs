//! The order of an ordering key: one query at a time, in the order admitted, with a pause after an attempt whose end
//! is uncertain.

use super::query_state::QueryPhase;
use super::timers::{microseconds, Timer};
use super::{AdmissionController, TIME_MARGIN_SECONDS};
use crate::api::{AttemptEnd, Query, QueryId};
use std::collections::VecDeque;

/// The queries of an ordering key that are not over, the oldest first.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub(crate) queries: VecDeque<QueryId>,
    /// No query of the key may begin before, in seconds.
    paused_until: f64,
}

impl AdmissionController {
    /// Holds back all queries of an ordering key until a time in seconds: an attempt that an earlier process began may
    /// still run. To be called at the start, before queries of the key are admitted; the longest pause counts.
    pub fn pause_key(&mut self, key: u64, until: f64) {
        let key_queue = self.key_queues.entry(key).or_default();
        key_queue.paused_until = key_queue.paused_until.max(until);
        let paused_until = key_queue.paused_until;
        self.timers.schedule(paused_until, Timer::KeyPauseEnd(key));
    }

    /// The key whose order the query has to keep.
    pub(super) fn ordering_key(&self, query: &Query) -> Option<u64> {
        let in_order = self.settings.classes[query.class].in_order;
        query.ordering_key.filter(|_| in_order)
    }

    /// Queues a query behind those of its key.
    pub(super) fn append_to_key(&mut self, now: f64, key: u64, id: QueryId) {
        let key_queue = self.key_queues.entry(key).or_default();
        key_queue.queries.push_back(id);
        self.release_key(now, key);
    }

    /// A query of the key is over: the next one may go.
    pub(super) fn remove_from_key(&mut self, now: f64, key: u64, id: QueryId) {
        if let Some(key_queue) = self.key_queues.get_mut(&key) {
            key_queue.queries.retain(|other| *other != id);
        }
        self.release_key(now, key);
    }

    /// Pauses the key of an attempt that may still run although it has ended for this gateway. It replaces a pause that was
    /// set before.
    pub(super) fn pause_after(&mut self, now: f64, query: &Query, end: AttemptEnd) {
        let uncertain = matches!(
            end,
            AttemptEnd::TimedOut | AttemptEnd::ConnectionLost | AttemptEnd::Cancelled
        );
        if !uncertain {
            return;
        }
        if let Some(key) = self.ordering_key(query) {
            let key_queue = self.key_queues.entry(key).or_default();
            key_queue.paused_until = now + self.settings.key_pause + TIME_MARGIN_SECONDS;
        }
    }

    /// Lets the first query of a key go once the one before it is over and the key's pause has ended.
    pub(super) fn release_key(&mut self, now: f64, key: u64) {
        let Some(key_queue) = self.key_queues.get(&key) else {
            return;
        };
        if microseconds(key_queue.paused_until) > microseconds(now) {
            let paused_until = key_queue.paused_until;
            self.timers.schedule(paused_until, Timer::KeyPauseEnd(key));
            return;
        }
        let Some(first) = key_queue.queries.front().copied() else {
            self.key_queues.remove(&key);
            return;
        };
        if self.queries[&first].phase == QueryPhase::WaitingForKey {
            self.enqueue(first);
        }
    }
}
