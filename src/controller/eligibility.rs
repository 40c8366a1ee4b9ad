//! Whether the rules let a batch leave now, and to which engines: placement, drains, effects, windows.

use super::MARGIN;
use crate::api::{DeduplicationScope, EndpointState, EngineId, Idempotency};
use crate::state::{AdmissionController, Candidate, InHand, Stage};

impl AdmissionController {
    /// Whether the rules let this batch leave now, wherever it goes.
    pub(super) fn may_leave(&self, now: f64, h: &InHand) -> bool {
        h.stage == Stage::Queued
            && !h.unattended
            && h.out.is_none()
            && now < h.limit - MARGIN
            && (h.dispatches == 0 || self.may_go_again(now, h))
    }

    /// Whether the rules let a batch that may leave go to this engine now.
    pub(super) fn allowed(&self, now: f64, h: &InHand, work: f64, c: &Candidate) -> bool {
        let (Some(line), group) = (self.engines[c.engine].line, &self.s.classes[h.b.class]) else {
            return false;
        };
        let named = |list: &Option<Vec<u32>>, v: u32| list.as_ref().is_none_or(|l| l.contains(&v));
        line.state == EndpointState::Ready
            && named(&group.zones, line.zone)
            && named(&group.kinds, line.kind as u32)
            && h.b
                .endpoint_subset
                .is_none_or(|lane| self.tiers(lane).iter().any(|tier| tier.contains(c.engine)))
            && self.in_scope(h, c.engine)
            && self.cold_room(now, c, work)
    }

    /// Whether the rules let a batch have another dispatch anywhere.
    pub(super) fn may_go_again(&self, now: f64, h: &InHand) -> bool {
        self.window_left(now, h) > 0.0
            && !h.unkept
            && now < h.limit - MARGIN
            && h.dispatches < self.s.max_attempts
            && self.further_left(now, h.b.class)
    }

    /// How long a dispatch of this batch can still come to an engine without a second effect.
    pub(super) fn window_left(&self, now: f64, h: &InHand) -> f64 {
        match (h.may_have_run, self.s.classes[h.b.class].idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => f64::INFINITY,
            (Some(_), Idempotency::NonIdempotent) => 0.0,
            (Some(first), Idempotency::IdempotentByKey { window, .. }) => {
                first.at + window - MARGIN - now
            }
        }
    }

    pub(super) fn in_scope(&self, h: &InHand, engine: EngineId) -> bool {
        let Idempotency::IdempotentByKey { scope, .. } = self.s.classes[h.b.class].idempotency
        else {
            return true;
        };
        let cell = u32::from(scope == DeduplicationScope::Cell);
        let place = |e: EngineId| self.engines[e].line.map(|l| (l.zone, l.cell * cell));
        h.may_have_run.is_none_or(|first| {
            scope == DeduplicationScope::Everywhere || place(first.engine) == place(engine)
        })
    }
}
