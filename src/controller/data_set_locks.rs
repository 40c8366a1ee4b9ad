//! Finds the engines on which a data set is locked because a query that loads it is running there. Other queries for
//! the data set would block on these engines.

use super::query_state::QueryState;
use super::AdmissionController;
use crate::api::{EngineId, Query};

impl AdmissionController {
    /// Returns the engines on which a query of this gateway locks the query's data set. The list is empty if the
    /// query's class neither loads data nor waits for loads.
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
