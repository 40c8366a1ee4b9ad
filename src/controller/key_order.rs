//! Keeps the order within an ordering key: queries run one at a time in the order of admission, with a pause after an
//! attempt that may still be running.

use super::query_state::QueryPhase;
use super::timers::{microseconds, Timer};
use super::{AdmissionController, TIME_MARGIN_SECONDS};
use crate::api::{AttemptEnd, Query, QueryId};
use std::collections::VecDeque;

/// Queries of an ordering key that are not over or have an attempt in flight, oldest first.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub(crate) queries: VecDeque<QueryId>,
    /// Time before which no query of the key may start, in seconds.
    paused_until: f64,
}

impl AdmissionController {
    /// Pauses an ordering key until the time `until`, in seconds, because an attempt started by an earlier process may
    /// still be running. The caller must do this at start-up, before queries of the key are admitted. If a key is
    /// paused more than once, the latest end applies.
    pub fn pause_ordering_key(&mut self, key: u64, until: f64) {
        let key_queue = self.key_queues.entry(key).or_default();
        key_queue.paused_until = key_queue.paused_until.max(until);
        let paused_until = key_queue.paused_until;
        self.timers.schedule(paused_until, Timer::KeyPauseEnd(key));
    }

    /// Returns the query's ordering key; `None` if its class is not ordered.
    pub(super) fn ordering_key(&self, query: &Query) -> Option<u64> {
        query.ordering_key.filter(|_| self.keeps_order(query.class))
    }

    /// Whether the queries of an ordering key run in order in this class.
    pub fn keeps_order(&self, class: usize) -> bool {
        self.settings.classes[class].in_order
    }

    /// Appends a query to the queue of its key.
    pub(super) fn append_to_key(&mut self, now: f64, key: u64, id: QueryId) {
        let key_queue = self.key_queues.entry(key).or_default();
        key_queue.queries.push_back(id);
        self.release_key(now, key);
    }

    /// Removes a finished query from the queue of its key and releases the next one.
    pub(super) fn remove_from_key(&mut self, now: f64, key: u64, id: QueryId) {
        if let Some(key_queue) = self.key_queues.get_mut(&key) {
            key_queue.queries.retain(|other| *other != id);
        }
        self.release_key(now, key);
    }

    /// Pauses the query's key if its attempt may still be running although it has ended for this gateway. The new pause
    /// replaces an earlier one.
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

    /// Queues the first query of a key for placement, or schedules a timer if the key is still paused. Removes the
    /// state of a key that is not paused and has no queries.
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
