//! What the number of holders of an engine depends on.

use crate::engine::EngineFacts;
use crate::ready::{EngineShape, RetryDomain};
use crate::settings::{PlacementClass, RetryScope, SubsetSettings};
use std::sync::Arc;

/// What the number of holders depends on, beside the list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HoldersParameters {
    /// Engines held now: the effective size and what failing members add; the configured size until the first poll.
    pub size: usize,
    pub class_floor: usize,
    pub classes: Arc<[PlacementClass]>,
    pub retry_scope: RetryScope,
    /// 1 where gateways do not know their zones.
    pub near_weight: f64,
    pub gateways: f64,
}

impl HoldersParameters {
    pub fn new(settings: &SubsetSettings) -> Self {
        HoldersParameters {
            size: settings.size,
            class_floor: settings.class_floor,
            classes: settings.classes.as_slice().into(),
            retry_scope: settings.retry_scope,
            near_weight: if settings.zone.is_some() {
                settings.near_weight
            } else {
                1.0
            },
            gateways: settings.gateways,
        }
    }

    /// The group that an engine belongs to.
    pub(super) fn group(&self, facts: &EngineFacts) -> Group {
        let in_cells = self.retry_scope == RetryScope::Cell;
        let cell = in_cells.then_some(facts.cell);
        Group {
            domain: RetryDomain {
                zone: facts.zone,
                cell,
            },
            shape: EngineShape::of(facts),
        }
    }
}

/// Engines with the same number of holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    pub(super) domain: RetryDomain,
    pub(super) shape: EngineShape,
}
