//! Engines on which a data set is locked: a query that loads it runs there, and readers would stand still.

use super::query_state::QueryState;
use super::AdmissionController;
use crate::api::{EngineId, Query};

impl AdmissionController {
    /// Engines where a query of ours that loads data locks the data set. None where the class neither loads data nor waits for it.
    pub(super) fn engines_with_locked_data(&self, query: &Query) -> Vec<EngineId> {
        let class = &self.settings.classes[query.class];
        if !class.loads_data && !class.waits_for_data_loads {
            return Vec::new();
        }
        let locks_data_set = |state: &&QueryState| {
            state.query.data_set == query.data_set
                && self.settings.classes[state.query.class].loads_data
        };
        self.queries
            .values()
            .filter(locks_data_set)
            .filter_map(|state| state.in_flight.map(|attempt| attempt.engine))
            .collect()
    }
}
