//! One gateway on the wire: its indices, its open queries, and the decision module that decides for it.

use crate::endpoints::EndpointEntry;
use crate::fields::Address;
use garnetwall::api::{Endpoint, EngineId, FinalAnswer, ListScope, QueryId};
use garnetwall::controller::AdmissionController;
use garnetwall_settings::{decode, FlatSettings, PlatformSettings, SettingsError};
use std::collections::BTreeMap;

/// A query until it is finished and every attempt has its outcome.
pub(crate) struct OpenQuery {
    /// Its id on the wire.
    pub(crate) wire_id: u32,
    pub(crate) attempts_in_flight: u32,
    /// Its client has its answer, or has left.
    pub(crate) finished: bool,
}

/// An answer that an outcome of this frame has brought.
pub(crate) struct PendingAnswer {
    pub(crate) query: QueryId,
    pub(crate) answer: FinalAnswer,
}

/// A gateway of the bench, with its decision module.
pub struct Instance {
    pub(crate) controller: AdmissionController,
    /// Names of a load report's values, in wire order.
    pub(crate) report_fields: Vec<String>,
    /// Query classes that the settings have.
    pub(crate) class_count: usize,
    engine_ids: BTreeMap<Address, EngineId>,
    /// By the index of the engine.
    pub(crate) addresses: Vec<Address>,
    /// Open queries by their id on the wire.
    pub(crate) query_ids: BTreeMap<u32, QueryId>,
    pub(crate) open_queries: BTreeMap<QueryId, OpenQuery>,
    next_query_id: QueryId,
    /// When the timer that is set goes off, in seconds.
    pub(crate) timer_at: Option<f64>,
    /// In the order of their outcomes.
    pub(crate) pending_answers: Vec<PendingAnswer>,
}

impl Instance {
    /// An instance under the settings in their flat text form.
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

    /// The engine of an address, which gets the next index where it is new.
    pub(crate) fn engine_id(&mut self, address: Address) -> EngineId {
        let next = self.addresses.len();
        let engine = *self.engine_ids.entry(address).or_insert(next);
        if engine == next {
            self.addresses.push(address);
        }
        engine
    }

    /// Hands the decision module endpoints.
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

    /// The endpoint list could not be read.
    pub fn endpoint_list_failed(&mut self) {
        self.controller.endpoint_list_failed();
    }

    /// Gives a query that has arrived its id in the decision module.
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

    /// Takes an attempt of a query off those in flight.
    pub(crate) fn count_ended_attempt(&mut self, id: QueryId, query_finished: bool) {
        if let Some(query) = self.open_queries.get_mut(&id) {
            query.attempts_in_flight = query.attempts_in_flight.saturating_sub(1);
            query.finished |= query_finished;
        }
    }

    /// Marks a query as over for its client.
    pub(crate) fn finish_query(&mut self, id: QueryId) {
        if let Some(query) = self.open_queries.get_mut(&id) {
            query.finished = true;
        }
        self.forget_if_over(id);
    }

    /// Forgets a query that is over for its client and has no attempt in flight.
    pub(crate) fn forget_if_over(&mut self, id: QueryId) {
        let Some(query) = self.open_queries.get(&id) else {
            return;
        };
        if query.finished && query.attempts_in_flight == 0 {
            self.query_ids.remove(&query.wire_id);
            self.open_queries.remove(&id);
        }
    }
}
