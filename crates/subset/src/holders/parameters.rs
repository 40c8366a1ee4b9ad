//! Defines the parameters of the estimate of holders, and the groups of engines with equal estimates.

use crate::engine::EngineFacts;
use crate::ready::{EngineShape, RetryDomain};
use crate::settings::{PlacementClass, RetryScope, SubsetSettings};
use std::sync::Arc;

/// The parameters, other than the list, that the number of holders depends on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HoldersParameters {
    /// Number of engines to hold: the effective size and the engines added for unhealthy members. The configured size
    /// until the first poll.
    pub size: usize,
    pub class_floor: usize,
    pub classes: Arc<[PlacementClass]>,
    pub retry_scope: RetryScope,
    /// 1 if the gateway's own zone is not configured.
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

    /// Returns the group of an engine.
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

/// Identifies engines with the same estimated number of holders: those of one retry domain and shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    pub(super) domain: RetryDomain,
    pub(super) shape: EngineShape,
}
