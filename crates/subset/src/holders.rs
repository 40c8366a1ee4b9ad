//! Estimates the number of gateways that hold an engine, its holders.
//!
//! A gateway holds an engine of weight `w` if its score is below the gateway's threshold `t`. Scores are exponential
//! variates, so the probability of this is `1 - exp(-w t)`. The threshold is the value at which the expected number of
//! members equals the size of the subset. Thresholds of placement classes are found in the same way. Engines in a
//! gateway's own zone count with the near weight, and gateways are assumed to be distributed over zones in proportion
//! to cores.

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

/// Maximum number of tables in the cache. Subsets with different parameters need different tables.
const MAX_CACHED_TABLES: usize = 64;

/// A table is stale once the number of changes exceeds this fraction of the engines. The error until then is far
/// smaller than the margin of the estimate.
const STALE_FRACTION: f64 = 0.01;

/// The estimated number of holders of each engine of a list.
#[derive(Debug)]
pub(crate) struct HoldersTable {
    parameters: HoldersParameters,
    /// The catalog's change count when the table was computed.
    change_count: u64,
    /// [`ReadyEngines::added_shapes`] when the table was computed.
    added_shapes: u64,
    holders: BTreeMap<Group, f64>,
}

impl HoldersTable {
    /// Returns the estimated number of holders of an engine. An engine of a group that is not in the table counts as
    /// held by all gateways.
    pub fn holders(&self, facts: &EngineFacts) -> f64 {
        self.holders
            .get(&self.parameters.group(facts))
            .copied()
            .unwrap_or(self.parameters.gateways)
    }
}

/// Caches the tables that the subsets of one catalog share.
#[derive(Debug, Default)]
pub(crate) struct HoldersCache {
    tables: Mutex<Vec<Arc<HoldersTable>>>,
}

/// The clone of a cache is empty: a cloned catalog computes its own tables.
impl Clone for HoldersCache {
    fn clone(&self) -> Self {
        HoldersCache::default()
    }
}

impl HoldersCache {
    /// Returns the table for these parameters. Computes it if the cache has no fresh one.
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
