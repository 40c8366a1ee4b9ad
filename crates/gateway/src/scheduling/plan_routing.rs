//! Routes queries by the plan: compiles the plan, tracks the engines of its pools, applies its limits, and numbers the
//! endpoint subsets that the admission controller uses. `garnetwall_routing` decides the route, the engines and the
//! limits of a query.

mod class_settings;

use crate::discovery::{EngineUpdate, ListChange};
use garnetwall::api::{EndpointState, EngineSet, ListScope};
use garnetwall_plan::model::{EngineAttributes, Plan};
use garnetwall_routing::{
    LimitExceeded, LimitKind, LimitPermit, Limits, Names, PoolMembers, RouteDecision, RoutedQuery,
    Routing,
};
use garnetwall_settings::PlatformSettings;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

pub use class_settings::{narrowed_classes, plan_settings};

/// A change of an endpoint subset, for the admission controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetUpdate {
    /// The number by which the admission controller knows the subset.
    pub endpoint_subset: u32,
    /// The subset's engines by priority level, most preferred first; `None` if the subset is removed.
    pub priority_levels: Option<Vec<EngineSet>>,
}

/// The plan's terms for a query that it has admitted. The query counts against the plan's limits until this value is
/// passed to [`PlanRouter::release`].
pub struct PlanAdmission {
    permit: LimitPermit,
    /// Keeps the plan, and with it the query's endpoint subset, while the query is open.
    _plan: Arc<CompiledPlan>,
    /// The endpoint subset that the query is confined to; `None` if it may run at every engine.
    pub endpoint_subset: Option<u32>,
    /// Index of the class that the query is treated as; a route may change the requested class.
    pub class: usize,
    /// The plan's own time limit for the query, counted from its admission: the shorter of those of the requested class
    /// and of `class`. `None` if the plan sets neither.
    pub deadline: Option<Duration>,
}

/// The reason why the plan does not admit a query.
#[derive(Debug, PartialEq)]
pub enum PlanDenial {
    /// A route refuses the query, or the query is over a limit.
    RouteOrLimit {
        /// The reason, in the words that are sent to the client.
        reason: String,
        /// The time after which the limit is expected to admit the query; `None` if a route refuses it.
        retry_after: Option<Duration>,
    },
    /// The statement is longer than the query's class allows.
    StatementTooLong {
        /// The longest statement that the class allows, in bytes.
        max_bytes: u64,
    },
}

impl From<LimitExceeded> for PlanDenial {
    fn from(exceeded: LimitExceeded) -> Self {
        // Wire format: these words are sent to clients.
        let quantity = match exceeded.kind {
            LimitKind::InFlight => "InHand",
            LimitKind::Rate => "Rate",
            LimitKind::Bytes => "Bytes",
        };
        PlanDenial::RouteOrLimit {
            reason: format!("over the limit {} ({quantity})", exceeded.limit),
            retry_after: Some(exceeded.retry_after),
        }
    }
}

/// A plan compiled for routing.
struct CompiledPlan {
    routing: Routing,
    /// The number by which the admission controller knows this plan's first endpoint subset. The numbers of the others
    /// follow consecutively.
    first_subset: u32,
}

impl CompiledPlan {
    /// The number of the endpoint subset at an index of [`Routing::endpoint_subsets`].
    fn subset_number(&self, index: usize) -> u32 {
        self.first_subset.wrapping_add(index as u32)
    }

    fn subset_count(&self) -> usize {
        self.routing.endpoint_subsets().len()
    }
}

/// A compiled plan with the engines that belong to its pools.
struct RoutedPlan {
    plan: Arc<CompiledPlan>,
    pool_members: PoolMembers,
}

impl RoutedPlan {
    fn new(routing: Routing, first_subset: u32) -> Self {
        let pool_members = PoolMembers::new(&routing);
        let plan = Arc::new(CompiledPlan {
            routing,
            first_subset,
        });
        RoutedPlan { plan, pool_members }
    }

    /// Whether an open query was admitted under this plan.
    fn is_in_use(&self) -> bool {
        Arc::strong_count(&self.plan) > 1
    }

    /// The plan's endpoint subsets as updates, except for those that allow every engine.
    fn subset_updates(&self) -> impl Iterator<Item = SubsetUpdate> + '_ {
        let routing = &self.plan.routing;
        let is_restricted = |index: &usize| !routing.endpoint_subsets()[*index].is_unrestricted();
        (0..self.plan.subset_count())
            .filter(is_restricted)
            .map(|index| SubsetUpdate {
                endpoint_subset: self.plan.subset_number(index),
                priority_levels: Some(self.priority_levels(index)),
            })
    }

    fn priority_levels(&self, index: usize) -> Vec<EngineSet> {
        let levels = self.pool_members.priority_levels(&self.plan.routing, index);
        levels
            .iter()
            .map(|engines| EngineSet(engines.words().to_vec()))
            .collect()
    }

    fn subset_removals(&self) -> impl Iterator<Item = SubsetUpdate> + '_ {
        (0..self.plan.subset_count()).map(|index| SubsetUpdate {
            endpoint_subset: self.plan.subset_number(index),
            priority_levels: None,
        })
    }
}

/// Routes queries by the plan in force and applies its limits. Open queries keep the plan that they were admitted
/// under.
pub struct PlanRouter {
    names: Names,
    zone_names: Vec<String>,
    kind_names: Vec<String>,
    /// Number of queries that this gateway can hold at once.
    capacity: f64,
    limits: Limits,
    in_force: RoutedPlan,
    /// Earlier plans, oldest first. A plan is removed at the first update of the plan or the endpoint list after the
    /// last query that was admitted under it is released.
    superseded: Vec<RoutedPlan>,
    /// The number of the next plan's first endpoint subset.
    next_subset: u32,
    /// The endpoint list, indexed by engine; `None` for an engine that is not in the list.
    endpoints: Vec<Option<EngineUpdate>>,
}

impl PlanRouter {
    /// Creates a router for a gateway that can hold `capacity` queries at once.
    pub fn new(platform: &PlatformSettings, plan: Arc<Plan>, capacity: f64) -> Self {
        let names = Names {
            classes: platform.names.classes.clone(),
            tenants: platform.names.tenants.clone(),
        };
        let routing = Routing::new(plan, names.clone());
        let limits = Limits::new(&routing, capacity);
        let in_force = RoutedPlan::new(routing, 0);
        PlanRouter {
            names,
            zone_names: platform.names.zones.clone(),
            kind_names: platform.names.kinds.clone(),
            capacity,
            limits,
            next_subset: in_force.plan.subset_count() as u32,
            in_force,
            superseded: Vec::new(),
            endpoints: Vec::new(),
        }
    }

    /// Puts another plan in force. Returns the resulting changes of endpoint subsets.
    pub fn update_plan(&mut self, plan: Arc<Plan>) -> Vec<SubsetUpdate> {
        let routing = Routing::new(plan, self.names.clone());
        self.limits.update_plan(&routing, self.capacity);
        let next = RoutedPlan::new(routing, self.next_subset);
        self.next_subset = next.plan.subset_number(next.plan.subset_count());
        let previous = std::mem::replace(&mut self.in_force, next);
        self.superseded.push(previous);
        let mut updates = self.remove_unused_plans();
        for engine in 0..self.endpoints.len() {
            self.update_pools(engine);
        }
        updates.extend(self.subset_updates());
        updates
    }

    /// Applies a change of the endpoint list. A full list removes the engines that it does not name. Returns the
    /// resulting changes of endpoint subsets.
    pub fn update_endpoints(&mut self, change: &ListChange) -> Vec<SubsetUpdate> {
        if change.scope == ListScope::Full {
            self.remove_unnamed_endpoints(&change.updates);
        }
        for update in &change.updates {
            let engine = update.endpoint.engine;
            if engine >= self.endpoints.len() {
                self.endpoints.resize_with(engine + 1, || None);
            }
            let is_listed = update.endpoint.state != EndpointState::Removed;
            self.endpoints[engine] = is_listed.then(|| update.clone());
            self.update_pools(engine);
        }
        let mut updates = self.remove_unused_plans();
        updates.extend(self.subset_updates());
        updates
    }

    fn remove_unnamed_endpoints(&mut self, updates: &[EngineUpdate]) {
        let named: HashSet<usize> = updates
            .iter()
            .map(|update| update.endpoint.engine)
            .collect();
        for engine in (0..self.endpoints.len()).filter(|engine| !named.contains(engine)) {
            self.endpoints[engine] = None;
            self.update_pools(engine);
        }
    }

    /// Applies the endpoint list's entry for an engine, or its absence, to the pools of every plan.
    fn update_pools(&mut self, engine: usize) {
        let update = self.endpoints.get(engine).and_then(Option::as_ref);
        let attributes = update.map(|update| EngineAttributes {
            id: &update.name,
            zone: name_at(&self.zone_names, update.endpoint.zone as usize),
            kind: name_at(&self.kind_names, update.endpoint.kind),
            address: update.address.ip(),
        });
        for routed in self.superseded.iter_mut().chain([&mut self.in_force]) {
            routed
                .pool_members
                .update(&routed.plan.routing, engine, attributes.as_ref());
        }
    }

    /// Removes the superseded plans that no open query was admitted under. Returns the removals of their endpoint
    /// subsets.
    fn remove_unused_plans(&mut self) -> Vec<SubsetUpdate> {
        let mut removals = Vec::new();
        self.superseded.retain(|routed| {
            let is_in_use = routed.is_in_use();
            if !is_in_use {
                removals.extend(routed.subset_removals());
            }
            is_in_use
        });
        removals
    }

    fn subset_updates(&self) -> impl Iterator<Item = SubsetUpdate> + '_ {
        let plans = self.superseded.iter().chain([&self.in_force]);
        plans.flat_map(RoutedPlan::subset_updates)
    }

    /// Admits a query under the plan in force. `now` is in seconds on the gateway's clock.
    ///
    /// # Errors
    ///
    /// [`PlanDenial`] if a route refuses the query, its statement is too long, or it is over a limit.
    pub fn admit(&mut self, now: f64, query: &RoutedQuery) -> Result<PlanAdmission, PlanDenial> {
        let plan = &self.in_force.plan;
        let routing = &plan.routing;
        let (class, index) = match routing.decide(query) {
            RouteDecision::Admitted {
                class,
                endpoint_subset,
                ..
            } => (class, endpoint_subset),
            RouteDecision::Rejected { route } => return Err(denied_by_route(routing, route)),
            RouteDecision::StatementTooLong { max_bytes } => {
                return Err(PlanDenial::StatementTooLong { max_bytes })
            }
        };
        let permit = self.limits.admit(routing, unix_time(now), query)?;
        let deadline_of =
            |class: usize| routing.class_rules(class).and_then(|rules| rules.deadline);
        let deadlines = [deadline_of(query.class), deadline_of(class)];
        let is_restricted = !routing.endpoint_subsets()[index].is_unrestricted();
        Ok(PlanAdmission {
            permit,
            _plan: plan.clone(),
            endpoint_subset: is_restricted.then(|| plan.subset_number(index)),
            class,
            deadline: deadlines.into_iter().flatten().min(),
        })
    }

    /// Gives an admitted query's share of the plan's limits back, once the query has ended.
    pub fn release(&mut self, now: f64, admission: PlanAdmission) {
        self.limits.release(unix_time(now), admission.permit);
    }
}

fn denied_by_route(routing: &Routing, route: usize) -> PlanDenial {
    let reason = routing.plan().routes[route].reject_reason.clone();
    PlanDenial::RouteOrLimit {
        reason: reason.unwrap_or_default(),
        retry_after: None,
    }
}

/// The name at an index; empty if the settings have none.
fn name_at(names: &[String], index: usize) -> &str {
    names.get(index).map_or("", String::as_str)
}

fn unix_time(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
