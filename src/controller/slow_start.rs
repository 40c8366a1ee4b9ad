//! A started engine counts with the part of its cores that it can use, and has a work budget, of which each gateway keeps its part.

use super::{KIND_LIFE, LEAST, YIELD};
use crate::api::Endpoint;
use crate::state::{AdmissionController, Candidate, Engine};

const COLD_PART: f64 = 0.6; // part of a cold budget that we use; the rest is for chance, uneven gateways
const COLD_LUMP: f64 = 0.1; // part of a cold budget one batch may be; few large ones add up by chance
const COLD_SAVED: f64 = 0.6; // windows of our part that may be sent late; more adds up when all send in step

impl AdmissionController {
    /// Cores that an engine can use: from the told start share, evenly up until told warm.
    pub(super) fn able_cores(&self, now: f64, e: &Engine) -> f64 {
        let (Some(at), Some(c)) = (e.line.and_then(|l| l.started_at), self.s.slow_start) else {
            return e.cores;
        };
        let warmed = ((now - at) / c.duration.max(LEAST)).clamp(0.0, 1.0);
        (e.cores * (c.initial_fraction + (1.0 - c.initial_fraction) * warmed)).max(LEAST)
    }

    /// Keeps our part of a cold engine's work budget.
    pub(super) fn cold_room(&self, now: f64, c: &Candidate, work: f64) -> bool {
        let (e, able) = (&self.engines[c.engine], c.able_cores);
        let (Some(rule), true) = (self.s.slow_start, able < e.cores - LEAST) else {
            return true;
        };
        let (due, gone) = self.cold_part(now, e);
        work <= COLD_LUMP * rule.overload_multiple * rule.window * able
            && gone + work <= due + LEAST
    }

    /// Work due to a started engine from us since we knew of it, and how much of that was sent or lapsed. It
    /// comes due in quanta of a batch, as the part of many gateways is less, by a lot drawn for each start:
    /// the sum over gateways stays the same, and chance adds little. What all of them save and send in step
    /// would push it over, so what is not sent in time lapses.
    pub(super) fn cold_part(&self, now: f64, e: &Engine) -> (f64, f64) {
        let Some(c) = self.s.slow_start else {
            return (0.0, 0.0);
        };
        let rate =
            c.overload_multiple * c.initial_fraction * e.cores * YIELD * COLD_PART / e.holders;
        let lump = COLD_LUMP * c.overload_multiple * c.window * self.able_cores(now, e);
        let usual = self.usual.mean(now, KIND_LIFE, 0.0);
        let quantum = e
            .sample
            .map_or(usual, |b| self.work(&b))
            .min(lump)
            .max(LEAST);
        let quanta =
            |at: f64| (rate * (at - e.known_at).max(0.0) - e.quanta_from) / quantum + 1.0 - e.lot;
        let until = |at: f64| e.quanta_from + quantum * quanta(at).floor().max(0.0);
        (
            until(now),
            until(now - COLD_SAVED * c.window).max(e.work_sent),
        )
    }
}

/// Gateways that work with an engine: this one at least and all at most; what is no number counts as all.
pub(super) fn holders(line: &Endpoint, all: f64) -> f64 {
    line.gateways
        .map_or(all, |told| told.min(all).max(all.min(1.0)))
}
