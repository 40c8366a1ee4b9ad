//! Engines on which a data set is locked: a query that loads it runs there, and readers would stand still.

use super::query_state::QueryState;
use super::AdmissionController;
use crate::api::{EngineId, Query};

impl AdmissionController {
    /// Engines where a load of ours locks the query's data set. None for a query that neither loads nor waits for loads.
    pub(super) fn engines_with_locked_data(&self, query: &Query) -> Vec<EngineId> {
        let class = &self.settings.classes[query.class];
        if !class.is_load && !class.waits_for_loads {
            return Vec::new();
        }
        let locks_data_set = |state: &&QueryState| {
            state.query.data_set == query.data_set
                && self.settings.classes[state.query.class].is_load
        };
        self.queries
            .values()
            .filter(locks_data_set)
            .filter_map(|state| state.in_flight.map(|attempt| attempt.engine))
            .collect()
    }
}
