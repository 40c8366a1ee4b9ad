//! An event queue ordered by time; events at the same time keep the order in which they were pushed.

use super::time::SimTime;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A queue that returns events in the order of their times.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    next_sequence: u64,
}

struct Scheduled<E> {
    at: SimTime,
    sequence: u64,
    event: E,
}

impl<E> EventQueue<E> {
    pub fn new() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    pub fn push(&mut self, at: SimTime, event: E) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Scheduled {
            at,
            sequence,
            event,
        }));
    }

    pub fn pop(&mut self) -> Option<(SimTime, E)> {
        self.heap
            .pop()
            .map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }

    /// Returns the number of events pushed so far.
    pub fn scheduled_total(&self) -> u64 {
        self.next_sequence
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

#[cfg(test)]
mod tests;
