//! The order of a key: one batch at a time, in the order taken, and the rest after an outcome that tells little.

use crate::state::{micros, AdmissionController, Due, Stage};

impl AdmissionController {
    /// A dispatch of this key that an earlier process sent may still run: the key rests until then.
    pub fn pause_key(&mut self, key: u64, until: f64) {
        let k = self.keys.entry(key).or_default();
        k.rests_until = k.rests_until.max(until);
        self.due.insert((micros(k.rests_until), Due::Rested(key)));
    }

    /// Lets the first batch of a key go once the one before it is over and the key has rested.
    pub(super) fn release(&mut self, now: f64, key: u64) {
        let Some(k) = self.keys.get(&key) else { return };
        if micros(k.rests_until) > micros(now) {
            self.due.insert((micros(k.rests_until), Due::Rested(key)));
            return;
        }
        match k.line.front().copied() {
            None => drop(self.keys.remove(&key)),
            Some(id) if self.batches[&id].stage == Stage::Held => self.enqueue(id),
            Some(_) => {}
        }
    }
}
