//! Estimates how many gateways hold an engine.
//!
//! Scores are exponential variates, so a gateway holds an engine of weight `w` when its score is under the gateway's
//! threshold `t`: with probability `1 - exp(-w t)`. The threshold is the one at which the expected number of members is
//! the configured size. Thresholds of placement classes are found in the same way, each gateway's own zone counts by its
//! weight, and gateways are taken to be spread over zones as cores are.

mod estimate;
mod parameters;
mod selection_model;

pub(crate) use parameters::HoldersParameters;

use crate::engine::EngineFacts;
use crate::ready::ReadyEngines;
use estimate::Estimate;
use parameters::Group;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Tables that are cached for subsets with different parameters, at most.
const MAX_CACHED_TABLES: usize = 64;

/// A table is stale once this fraction of the engines has changed: far less than the margin makes up for.
const STALE_FRACTION: f64 = 0.01;

/// The number of holders of each engine of a list.
#[derive(Debug)]
pub(crate) struct HoldersTable {
    parameters: HoldersParameters,
    /// The catalog's count of changes, and of shapes that came into a domain, when it was worked out.
    change_count: u64,
    added_shapes: u64,
    holders: BTreeMap<Group, f64>,
}

impl HoldersTable {
    /// The number of holders of an engine. One that is unlike all of the list counts as held by all gateways.
    pub fn holders(&self, facts: &EngineFacts) -> f64 {
        self.holders
            .get(&self.parameters.group(facts))
            .copied()
            .unwrap_or(self.parameters.gateways)
    }
}

/// Tables that the subsets of one catalog share.
#[derive(Debug, Default)]
pub(crate) struct HoldersCache {
    tables: Mutex<Vec<Arc<HoldersTable>>>,
}

/// A copied catalog works out its own tables.
impl Clone for HoldersCache {
    fn clone(&self) -> Self {
        HoldersCache::default()
    }
}

impl HoldersCache {
    /// The table with these parameters; worked out if there is none that is fresh.
    pub fn table(
        &self,
        parameters: &HoldersParameters,
        ready: &ReadyEngines,
        change_count: u64,
    ) -> Arc<HoldersTable> {
        let stale_after = (ready.count() as f64 * STALE_FRACTION) as u64;
        let is_fresh = |table: &Arc<HoldersTable>| {
            let knows_all_shapes =
                table.added_shapes == ready.added_shapes(table.parameters.retry_scope);
            knows_all_shapes && change_count - table.change_count <= stale_after
        };
        let mut tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        tables.retain(is_fresh);
        if let Some(table) = tables.iter().find(|table| table.parameters == *parameters) {
            return table.clone();
        }
        let holders = Estimate::new(parameters, ready).holders();
        let added_shapes = ready.added_shapes(parameters.retry_scope);
        let table = Arc::new(HoldersTable {
            parameters: parameters.clone(),
            change_count,
            added_shapes,
            holders,
        });
        if tables.len() >= MAX_CACHED_TABLES {
            tables.remove(0);
        }
        tables.push(table.clone());
        table
    }
}
