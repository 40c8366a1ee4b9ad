//! Keeps the endpoint list: the ready engines, their total capacity, and the endpoint subsets to which queries may be
//! restricted.

use super::engine_state::WorkBudget;
use super::slow_start::gateways_of;
use super::{AdmissionController, EngineState};
use crate::api::{Endpoint, EndpointState, EngineId, EngineSet, ListScope};
use std::collections::BTreeSet;

/// Number of cores of an engine whose kind is not in the settings.
const CORES_OF_UNKNOWN_KIND: f64 = 1.0;

/// Sums over ready engines.
#[derive(Clone, Copy, Default)]
pub(crate) struct PoolCapacity {
    pub(crate) cores: f64,
    /// Memory of the engines whose memory is known, in megabytes.
    pub(crate) memory: f64,
    /// Sum over the engines of the number of gateways that do not use the engine, multiplied by its cores.
    absent_gateway_cores: f64,
}

impl PoolCapacity {
    fn add(&mut self, engine: &EngineState, all_gateways: f64) {
        self.cores += engine.cores;
        self.memory += engine.memory.unwrap_or(0.0);
        self.absent_gateway_cores += (all_gateways - engine.gateways) * engine.cores;
    }

    /// Returns the mean number of gateways that use an engine, weighted by cores.
    pub(crate) fn gateways(&self, all_gateways: f64) -> f64 {
        if self.absent_gateway_cores > 0.0 {
            all_gateways - self.absent_gateway_cores / self.cores
        } else {
            all_gateways
        }
    }
}

impl AdmissionController {
    /// Updates the endpoint list. With [`ListScope::Full`], engines that are not in `endpoints` are removed.
    pub fn update_endpoints(&mut self, endpoints: &[Endpoint], scope: ListScope) {
        if scope == ListScope::Full {
            self.remove_unlisted(endpoints);
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.recount_capacity();
    }

    /// Reports that the endpoint list could not be received. If the list is sent to subscribers only, the next action
    /// is to subscribe again.
    pub fn endpoint_list_failed(&mut self) {
        self.subscription_due = self.settings.subscription_required;
    }

    /// Sets the engines of an endpoint subset in priority order, or removes the subset if `levels` is `None`. A subset
    /// only restricts the engines that the other rules allow. An engine of a lower priority level is used only if no
    /// engine of the higher levels is usable.
    pub fn update_endpoint_subset(&mut self, subset: u32, levels: Option<Vec<EngineSet>>) {
        match levels {
            Some(levels) => {
                self.endpoint_subsets.insert(subset, levels);
            }
            None => {
                self.endpoint_subsets.remove(&subset);
            }
        }
    }

    /// Returns the engines of an endpoint subset in priority order; no levels for an unknown subset.
    pub(super) fn priority_levels(&self, subset: u32) -> &[EngineSet] {
        self.endpoint_subsets
            .get(&subset)
            .map_or(&[], Vec::as_slice)
    }

    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<EngineId> = endpoints.iter().map(|endpoint| endpoint.engine).collect();
        for (id, engine) in self.engines.iter_mut().enumerate() {
            if let Some(endpoint) = engine.endpoint.as_mut().filter(|_| !listed.contains(&id)) {
                endpoint.state = EndpointState::Removed;
            }
        }
        self.ready.retain(|id| listed.contains(id));
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        let size = |sizes: &[Option<f64>]| sizes.get(endpoint.kind).copied().flatten();
        let cores = size(&self.settings.kind_cores).unwrap_or(CORES_OF_UNKNOWN_KIND);
        let memory = size(&self.settings.kind_memory);
        let known_engines = self.engines.len().max(endpoint.engine + 1);
        self.engines
            .resize_with(known_engines, || EngineState::new(cores, memory));
        let engine = &mut self.engines[endpoint.engine];
        if is_new_process(engine.endpoint.as_ref(), endpoint) {
            engine.reset_for_new_process();
            engine.work_budget = WorkBudget::starting_at(self.last_event_at, self.last_admitted);
            engine.jitter = self.rng.uniform();
        }
        engine.cores = cores;
        engine.memory = memory;
        engine.endpoint = Some(*endpoint);
        engine.gateways = gateways_of(endpoint, self.settings.gateways);
        self.update_ready(endpoint.engine);
    }

    /// Adds an engine to or removes it from the list of ready engines, which is sorted by index.
    fn update_ready(&mut self, id: EngineId) {
        match (self.engines[id].is_ready(), self.ready.binary_search(&id)) {
            (true, Err(position)) => self.ready.insert(position, id),
            (false, Ok(position)) => {
                self.ready.remove(position);
            }
            (true, Ok(_)) | (false, Err(_)) => {}
        }
    }

    /// Recomputes the sums over the ready engines in index order, so that rounding does not depend on the history of
    /// changes.
    fn recount_capacity(&mut self) {
        let all_gateways = self.settings.gateways;
        self.pool_capacity = PoolCapacity::default();
        for kind in self.kinds.values_mut() {
            kind.ready = PoolCapacity::default();
        }
        for engine in self.ready.iter().map(|id| &self.engines[*id]) {
            self.pool_capacity.add(engine, all_gateways);
            let kind = self.kinds.entry(engine.kind()).or_default();
            kind.ready.add(engine, all_gateways);
        }
    }
}

/// Returns whether an endpoint is a different process from the one known at its index: its start time differs or, if
/// the start time is unknown, it is listed again after its removal.
fn is_new_process(known: Option<&Endpoint>, endpoint: &Endpoint) -> bool {
    let Some(known) = known else {
        return true;
    };
    let came_back = known.state == EndpointState::Removed && endpoint.started_at.is_none();
    known.started_at != endpoint.started_at || came_back
}
