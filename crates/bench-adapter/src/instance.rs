//! One gateway on the wire: its indices, its open queries, and the decision module that decides for it.

use crate::endpoints::EndpointEntry;
use crate::fields::Address;
use garnetwall::api::{Endpoint, EngineId, FinalAnswer, QueryId};
use garnetwall::controller::AdmissionController;
use garnetwall_settings::{decode, DecodedSettings, FlatSettings, SettingsError};
use std::collections::BTreeMap;

/// A query until it is finished and every attempt has its outcome.
pub(crate) struct OpenQuery {
    pub(crate) wire_id: u32,
    pub(crate) attempts_in_flight: u32,
    pub(crate) finished: bool,
}

/// An answer that an outcome of this frame has brought.
pub(crate) struct PendingAnswer {
    pub(crate) query: QueryId,
    pub(crate) answer: FinalAnswer,
}

/// One gateway.
pub struct Instance {
    pub(crate) controller: AdmissionController,
    /// Names of a load report's values, in wire order.
    pub(crate) report_fields: Vec<String>,
    pub(crate) class_count: usize,
    engines: BTreeMap<Address, EngineId>,
    pub(crate) addresses: Vec<Address>,
    pub(crate) ids: BTreeMap<u32, QueryId>,
    pub(crate) open_queries: BTreeMap<QueryId, OpenQuery>,
    next_id: QueryId,
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
        let DecodedSettings {
            settings,
            report_fields: fields,
            ..
        } = decode(&flat)?;
        Ok(Instance {
            class_count: settings.classes.len(),
            controller: AdmissionController::new(settings, seed, clock),
            report_fields: fields,
            engines: BTreeMap::new(),
            addresses: Vec::new(),
            ids: BTreeMap::new(),
            open_queries: BTreeMap::new(),
            next_id: 0,
            timer_at: None,
            pending_answers: Vec::new(),
        })
    }

    /// The engine of an address, which gets the next index where it is new.
    pub(crate) fn engine(&mut self, address: Address) -> EngineId {
        let next = self.addresses.len();
        let engine = *self.engines.entry(address).or_insert(next);
        if engine == next {
            self.addresses.push(address);
        }
        engine
    }

    /// Hands the decision module endpoints; with `is_complete` the list names all there are.
    pub fn update_endpoints(&mut self, list: &[EndpointEntry], is_complete: bool) {
        let endpoints: Vec<Endpoint> = list
            .iter()
            .map(|entry| Endpoint {
                engine: self.engine(entry.address),
                zone: entry.zone,
                kind: entry.kind,
                cell: entry.cell,
                started_at: entry.started_at,
                state: entry.state,
                gateways: None,
            })
            .collect();
        self.controller.update_endpoints(&endpoints, is_complete);
    }

    /// The endpoint list could not be had.
    pub fn endpoint_list_failed(&mut self) {
        self.controller.endpoint_list_failed();
    }

    /// A query has arrived: gives it its number.
    pub(crate) fn open_query(&mut self, wire_id: u32) -> QueryId {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(wire_id, id);
        let query = OpenQuery {
            wire_id,
            attempts_in_flight: 0,
            finished: false,
        };
        self.open_queries.insert(id, query);
        id
    }

    /// An attempt of a query has its outcome.
    pub(crate) fn count_ended_attempt(&mut self, id: QueryId, query_finished: bool) {
        if let Some(query) = self.open_queries.get_mut(&id) {
            query.attempts_in_flight = query.attempts_in_flight.saturating_sub(1);
            query.finished |= query_finished;
        }
    }

    /// A query is over for its client.
    pub(crate) fn finish_query(&mut self, id: QueryId) {
        if let Some(query) = self.open_queries.get_mut(&id) {
            query.finished = true;
        }
        self.forget_if_over(id);
    }

    pub(crate) fn forget_if_over(&mut self, id: QueryId) {
        let Some(query) = self.open_queries.get(&id) else {
            return;
        };
        if query.finished && query.attempts_in_flight == 0 {
            self.ids.remove(&query.wire_id);
            self.open_queries.remove(&id);
        }
    }
}
