//! The state of one simulated gateway: its controller, its open queries, and the mapping from ids and addresses on the
//! wire to the controller's indices.

use crate::endpoints::EndpointEntry;
use crate::fields::Address;
use garnetwall::api::{Endpoint, EngineId, FinalAnswer, ListScope, QueryId};
use garnetwall::controller::AdmissionController;
use garnetwall_settings::{decode, FlatSettings, PlatformSettings, SettingsError};
use std::collections::BTreeMap;

/// A query that is not finished, or that still has an attempt in flight.
pub(crate) struct OpenQuery {
    pub(crate) wire_id: u32,
    /// The number of attempts that have started and not ended.
    pub(crate) attempts_in_flight: u32,
    /// True if the client has received its final answer or has left.
    pub(crate) finished: bool,
}

/// A final answer that the end of an attempt in this frame has caused. It is written with the reply to the frame.
pub(crate) struct PendingAnswer {
    pub(crate) query: QueryId,
    pub(crate) answer: FinalAnswer,
}

/// A simulated gateway with its admission controller.
pub struct Instance {
    pub(crate) controller: AdmissionController,
    /// The names of a load report's values, in the order on the wire.
    pub(crate) report_fields: Vec<String>,
    /// The number of query classes in the settings.
    pub(crate) class_count: usize,
    engine_ids: BTreeMap<Address, EngineId>,
    /// The addresses of the engines, by engine id.
    pub(crate) addresses: Vec<Address>,
    /// The controller's ids of the open queries, by their id on the wire.
    pub(crate) query_ids: BTreeMap<u32, QueryId>,
    pub(crate) open_queries: BTreeMap<QueryId, OpenQuery>,
    next_query_id: QueryId,
    /// The time at which the timer expires, in seconds on the simulator's clock; `None` if it is not set.
    pub(crate) timer_at: Option<f64>,
    /// The answers that the next reply begins with, in the order of the ends of attempts that caused them.
    pub(crate) pending_answers: Vec<PendingAnswer>,
}

impl Instance {
    /// Returns an instance with these settings, one `key=value` a line. `seed` is the seed of the controller's random
    /// choices; `clock` is the current time in seconds.
    ///
    /// # Errors
    ///
    /// The settings cannot be decoded.
    pub fn new(seed: u64, settings: &str, clock: f64) -> Result<Self, SettingsError> {
        let flat = FlatSettings::from_text(settings)?;
        let PlatformSettings {
            settings,
            report_fields,
            ..
        } = decode(&flat)?;
        Ok(Instance {
            class_count: settings.classes.len(),
            controller: AdmissionController::new(settings, seed, clock),
            report_fields,
            engine_ids: BTreeMap::new(),
            addresses: Vec::new(),
            query_ids: BTreeMap::new(),
            open_queries: BTreeMap::new(),
            next_query_id: 0,
            timer_at: None,
            pending_answers: Vec::new(),
        })
    }

    /// Returns the engine id for an address. A new address gets the next unused id.
    pub(crate) fn engine_id(&mut self, address: Address) -> EngineId {
        let next = self.addresses.len();
        let engine = *self.engine_ids.entry(address).or_insert(next);
        if engine == next {
            self.addresses.push(address);
        }
        engine
    }

    /// Passes the entries of an endpoint list to the controller.
    pub fn update_endpoints(&mut self, list: &[EndpointEntry], scope: ListScope) {
        let endpoints: Vec<Endpoint> = list
            .iter()
            .map(|entry| Endpoint {
                engine: self.engine_id(entry.address),
                zone: entry.zone,
                kind: entry.kind,
                cell: entry.cell,
                started_at: entry.started_at,
                state: entry.state,
                gateways: None,
            })
            .collect();
        self.controller.update_endpoints(&endpoints, scope);
    }

    /// Informs the controller that the endpoint list could not be read.
    pub fn endpoint_list_failed(&mut self) {
        self.controller.endpoint_list_failed();
    }

    /// Adds a query that has arrived to the open ones and returns the id that it has in the controller.
    pub(crate) fn open_query(&mut self, wire_id: u32) -> QueryId {
        let id = self.next_query_id;
        self.next_query_id += 1;
        self.query_ids.insert(wire_id, id);
        let query = OpenQuery {
            wire_id,
            attempts_in_flight: 0,
            finished: false,
        };
        self.open_queries.insert(id, query);
        id
    }

    /// Counts an attempt of a query as ended. `query_finished` marks the query as finished, too.
    pub(crate) fn count_ended_attempt(&mut self, id: QueryId, query_finished: bool) {
        if let Some(query) = self.open_queries.get_mut(&id) {
            query.attempts_in_flight = query.attempts_in_flight.saturating_sub(1);
            query.finished |= query_finished;
        }
    }

    /// Marks a query as finished, and removes it if no attempt is in flight.
    pub(crate) fn finish_query(&mut self, id: QueryId) {
        if let Some(query) = self.open_queries.get_mut(&id) {
            query.finished = true;
        }
        self.remove_if_done(id);
    }

    /// Removes a query if it is finished and has no attempt in flight.
    pub(crate) fn remove_if_done(&mut self, id: QueryId) {
        let Some(query) = self.open_queries.get(&id) else {
            return;
        };
        if query.finished && query.attempts_in_flight == 0 {
            self.query_ids.remove(&query.wire_id);
            self.open_queries.remove(&id);
        }
    }
}
