//! Final answers of queries that are over, kept for clients whose connection ended before they had theirs: the same call made again
//! gets the same answer, and nothing runs again. Bounded in bytes and by each query's deadline.

use super::QueryAnswer;
use std::collections::{BTreeMap, HashMap};

/// What an answer takes beside its rows, in bytes.
const ENTRY_BYTES: usize = 256;

/// A fingerprint of all that makes two calls the same, but for the time that they allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Fingerprint(pub(super) u64);

/// What is known of the answer to a call that was made before.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Kept {
    Answer(QueryAnswer),
    /// Another call has this id.
    Other,
    /// It was not kept, or no longer.
    Nothing,
}

struct Entry {
    fingerprint: Fingerprint,
    answer: QueryAnswer,
    /// The query's deadline, in seconds on the gateway's clock.
    until: f64,
    /// Its place in the order in which answers were kept.
    number: u64,
}

impl Entry {
    fn bytes(&self) -> usize {
        ENTRY_BYTES + self.answer.bytes()
    }
}

/// The answers that are kept, by the queries' ids.
pub(super) struct AnswerCache {
    entries: HashMap<u64, Entry>,
    /// Ids by the number of their entry, the oldest first.
    order: BTreeMap<u64, u64>,
    /// Of the next entry.
    next: u64,
    bytes: usize,
    most_bytes: usize,
}

impl AnswerCache {
    /// Keeps so many bytes at most.
    pub(super) fn new(most_bytes: usize) -> Self {
        AnswerCache {
            entries: HashMap::new(),
            order: BTreeMap::new(),
            next: 0,
            bytes: 0,
            most_bytes,
        }
    }

    /// Keeps the answer of a query until its deadline, or until newer ones need the room.
    pub(super) fn keep(
        &mut self,
        now: f64,
        id: u64,
        fingerprint: Fingerprint,
        answer: QueryAnswer,
        until: f64,
    ) {
        let number = self.next;
        let entry = Entry {
            fingerprint,
            answer,
            until,
            number,
        };
        if until <= now || entry.bytes() > self.most_bytes {
            return;
        }
        self.remove(id);
        self.next += 1;
        self.bytes += entry.bytes();
        self.entries.insert(id, entry);
        self.order.insert(number, id);
        self.make_room(now);
    }

    /// What is known of the answer to a call.
    pub(super) fn get(&self, now: f64, id: u64, fingerprint: Fingerprint) -> Kept {
        match self.entries.get(&id) {
            Some(entry) if entry.fingerprint != fingerprint => Kept::Other,
            Some(entry) if entry.until > now => Kept::Answer(entry.answer.clone()),
            _ => Kept::Nothing,
        }
    }

    /// Lets go of the oldest while they are past their deadlines or over the bound.
    pub(super) fn make_room(&mut self, now: f64) {
        while let Some((&number, &oldest)) = self.order.first_key_value() {
            let is_past = self
                .entries
                .get(&oldest)
                .is_none_or(|entry| entry.until <= now);
            if !is_past && self.bytes <= self.most_bytes {
                return;
            }
            self.remove(oldest);
            self.order.remove(&number);
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            self.bytes -= entry.bytes();
            self.order.remove(&entry.number);
        }
    }
}

#[cfg(test)]
mod tests;
