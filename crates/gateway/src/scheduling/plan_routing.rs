//! The plan beside the module: a plan compiled with the engines of its pools, its limits, and the lanes that the module
//! knows its ways by. It hands facts over and decides nothing; `garnetwall_routing` does.

use crate::discovery::EngineUpdate;
use garnetwall::api::{DeduplicationScope, EndpointState, EngineSet, QueryClass, RetryBudget};
use garnetwall_plan::model::{self, EngineFacts, Plan, FURTHER_FLOOR, FURTHER_WINDOW};
use garnetwall_plan::{Settings, SettingsGroup};
use garnetwall_routing::{Batch, Engines, Limits, Names, Over, Routing, Ticket, Verdict};
use garnetwall_settings::Decoded;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// What the platform's settings say that a plan must fit.
pub fn settings(decoded: &Decoded) -> Settings {
    let names = &decoded.names;
    let groups = names
        .groups
        .iter()
        .zip(&decoded.settings.classes)
        .map(|(name, group)| SettingsGroup {
            name: name.clone(),
            goal: crate::system::clock::span(group.latency_objective),
            limit: crate::system::clock::span(group.deadline),
            in_order: group.in_order,
            effect: effect(group),
            kinds: group.kinds.as_ref().map(|list| named(list, &names.kinds)),
            zones: group.zones.as_ref().map(|list| named(list, &names.zones)),
        });
    Settings {
        groups: groups.collect(),
        tenants: names.tenants.clone(),
        kinds: names.kinds.clone(),
        zones: names.zones.clone(),
    }
}

fn named(list: &[u32], names: &[String]) -> Vec<String> {
    list.iter()
        .filter_map(|n| names.get(*n as usize))
        .cloned()
        .collect()
}

fn effect(group: &QueryClass) -> model::Effect {
    use garnetwall::api::Idempotency;
    match group.idempotency {
        Idempotency::Idempotent => model::Effect::Repeatable,
        Idempotency::NonIdempotent => model::Effect::OnceOnly,
        Idempotency::IdempotentByKey { scope, window } => {
            let scope = match scope {
                DeduplicationScope::Everywhere => model::Scope::Everywhere,
                DeduplicationScope::Zone => model::Scope::Zone,
                DeduplicationScope::Cell => model::Scope::Cell,
            };
            model::Effect::Referenced {
                scope,
                window: crate::system::clock::span(window),
            }
        }
    }
}

/// The service groups with a plan's rules put in. The time limit stays: the plan's is a batch's own.
pub fn narrowed_classes(groups: &[QueryClass], names: &[String], plan: &Plan) -> Vec<QueryClass> {
    use garnetwall::api::Idempotency;
    let one = |(group, name): (&QueryClass, &String)| {
        let mut group = group.clone();
        let Some(rules) = plan.group(name) else {
            return group;
        };
        if let Some(goal) = rules.goal {
            (group.latency_objective, group.latency_objective_stretch) = (goal.as_secs_f64(), 0.0);
        }
        group.in_order |= rules.in_order == Some(true);
        group.retry_budget = rules.further.map(|per_batch| RetryBudget {
            floor: FURTHER_FLOOR,
            per_query: per_batch,
            window: FURTHER_WINDOW,
        });
        group.idempotency = match rules.effect {
            None => group.idempotency,
            Some(model::Effect::Repeatable) => Idempotency::Idempotent,
            Some(model::Effect::OnceOnly) => Idempotency::NonIdempotent,
            Some(model::Effect::Referenced { scope, window }) => {
                let scope = match scope {
                    model::Scope::Everywhere => DeduplicationScope::Everywhere,
                    model::Scope::Zone => DeduplicationScope::Zone,
                    model::Scope::Cell => DeduplicationScope::Cell,
                };
                Idempotency::IdempotentByKey {
                    scope,
                    window: window.as_secs_f64(),
                }
            }
        };
        group
    };
    groups.iter().zip(names).map(one).collect()
}

/// A plan with the engines of its pools. Batches in hand keep the one that they came under.
pub struct Version {
    routing: Routing,
    /// The number of its first lane.
    first_lane: u32,
}

/// A way for the module: a lane's number, and the engines it leaves open by preference; none for one that is gone.
pub type SubsetUpdate = (u32, Option<Vec<EngineSet>>);

/// What a batch that may come in carries along.
pub struct PlanAdmission {
    ticket: Ticket,
    /// Keeps its plan.
    _version: Arc<Version>,
    pub endpoint_subset: Option<u32>,
    pub class: usize,
    /// The plan's time limit for its group.
    pub deadline: Option<Duration>,
}

/// A batch that may not come in.
#[derive(Debug, PartialEq)]
pub enum PlanRejection {
    /// Pushed back, with the reason and a time to come back.
    LimitReached {
        reason: String,
        come_back: Option<Duration>,
    },
    /// Its statement is over what its group may have, in bytes.
    TooLong { most: u64 },
}

/// The plan in force, the ones that batches in hand still keep, and the limits.
pub struct PlanRouter {
    names: Names,
    zones: Vec<String>,
    kinds: Vec<String>,
    room: f64,
    limits: Limits,
    /// The last is in force.
    versions: Vec<(Arc<Version>, Engines)>,
    next_lane: u32,
    listed: Vec<Option<EngineUpdate>>,
}

impl PlanRouter {
    /// The planner of a gateway that can hold so many batches.
    pub fn new(decoded: &Decoded, plan: Arc<Plan>, room: f64) -> Self {
        let names = Names {
            groups: decoded.names.groups.clone(),
            tenants: decoded.names.tenants.clone(),
        };
        let routing = Routing::new(plan, names.clone());
        let mut planner = PlanRouter {
            names,
            zones: decoded.names.zones.clone(),
            kinds: decoded.names.kinds.clone(),
            room,
            limits: Limits::new(&routing, room),
            versions: Vec::new(),
            next_lane: 0,
            listed: Vec::new(),
        };
        planner.add(routing);
        planner
    }

    fn add(&mut self, routing: Routing) {
        let engines = Engines::new(&routing);
        let first_lane = self.next_lane;
        self.next_lane = first_lane.wrapping_add(routing.lanes().len() as u32);
        self.versions.push((
            Arc::new(Version {
                routing,
                first_lane,
            }),
            engines,
        ));
    }

    /// Takes up another plan; what the module is to know of lanes.
    pub fn update_plan(&mut self, plan: Arc<Plan>) -> Vec<SubsetUpdate> {
        let routing = Routing::new(plan, self.names.clone());
        self.limits.replan(&routing, self.room);
        self.add(routing);
        let mut told = self.gone();
        for engine in 0..self.listed.len() {
            self.place(engine);
        }
        told.extend(self.lanes());
        told
    }

    /// Takes in a change of the list of engines; what the module is to know of lanes.
    pub fn update_endpoints(&mut self, lines: &[EngineUpdate], whole: bool) -> Vec<SubsetUpdate> {
        if whole {
            let named: HashSet<usize> = lines.iter().map(|l| l.listed.engine).collect();
            for engine in (0..self.listed.len()).filter(|n| !named.contains(n)) {
                self.listed[engine] = None;
                self.place(engine);
            }
        }
        for line in lines {
            let engine = line.listed.engine;
            self.listed
                .resize_with(self.listed.len().max(engine + 1), || None);
            let here = line.listed.state != EndpointState::Removed;
            self.listed[engine] = here.then(|| line.clone());
            self.place(engine);
        }
        let mut told = self.gone();
        told.extend(self.lanes());
        told
    }

    fn place(&mut self, engine: usize) {
        let line = self.listed.get(engine).and_then(Option::as_ref);
        let name = |names: &[String], n: usize| names.get(n).cloned().unwrap_or_default();
        let words = line.map(|l| {
            (
                name(&self.zones, l.listed.zone as usize),
                name(&self.kinds, l.listed.kind),
            )
        });
        let facts = line
            .zip(words.as_ref())
            .map(|(line, (zone, kind))| EngineFacts {
                id: &line.id,
                zone,
                kind,
                address: line.address.ip(),
            });
        for (version, engines) in &mut self.versions {
            engines.listed(&version.routing, engine, facts.as_ref());
        }
    }

    /// Lets plans go that no batch keeps any more.
    fn gone(&mut self) -> Vec<SubsetUpdate> {
        let last = self.versions.len() - 1;
        let mut told = Vec::new();
        let mut at = 0;
        self.versions.retain(|(version, _)| {
            let kept = at == last || Arc::strong_count(version) > 1;
            at += 1;
            if !kept {
                let lanes = 0..version.routing.lanes().len() as u32;
                told.extend(lanes.map(|n| (version.first_lane.wrapping_add(n), None)));
            }
            kept
        });
        told
    }

    fn lanes(&self) -> Vec<SubsetUpdate> {
        let of = |(version, engines): &(Arc<Version>, Engines)| {
            let routing = &version.routing;
            let closed = (0..routing.lanes().len()).filter(|n| !routing.lanes()[*n].is_open());
            let told = closed.map(|n| {
                let tiers = engines.tiers(routing, n);
                let sets = tiers
                    .iter()
                    .map(|tier| EngineSet(tier.words().to_vec()))
                    .collect();
                (version.first_lane.wrapping_add(n as u32), Some(sets))
            });
            told.collect::<Vec<_>>()
        };
        self.versions.iter().flat_map(of).collect()
    }

    /// Lets a batch in, or says why not. `now` is in Unix seconds.
    pub fn admit(&mut self, now: f64, batch: &Batch) -> Result<PlanAdmission, PlanRejection> {
        let (version, _) = self
            .versions
            .last()
            .expect("one is in force from the start on");
        let routing = &version.routing;
        match routing.decide(batch) {
            Verdict::Refused { route } => {
                let reason = routing.plan().routes[route]
                    .refuse
                    .clone()
                    .unwrap_or_default();
                Err(PlanRejection::LimitReached {
                    reason,
                    come_back: None,
                })
            }
            Verdict::TooLong { most } => Err(PlanRejection::TooLong { most }),
            Verdict::Goes { group, lane, .. } => {
                let ticket = self
                    .limits
                    .take(routing, time(now), batch)
                    .map_err(|over| {
                        let Over {
                            limit,
                            which,
                            come_back,
                        } = over;
                        PlanRejection::LimitReached {
                            reason: format!("over the limit {limit} ({which:?})"),
                            come_back: Some(come_back),
                        }
                    })?;
                let open = routing.lanes()[lane].is_open();
                let limit = |group: usize| routing.rules(group).and_then(|rules| rules.limit);
                Ok(PlanAdmission {
                    ticket,
                    _version: version.clone(),
                    endpoint_subset: (!open).then(|| version.first_lane.wrapping_add(lane as u32)),
                    class: group,
                    deadline: limit(batch.group).into_iter().chain(limit(group)).min(),
                })
            }
        }
    }

    /// A batch that was let in is over.
    pub fn release(&mut self, now: f64, passage: PlanAdmission) {
        self.limits.release(time(now), passage.ticket);
    }
}

fn time(now: f64) -> Duration {
    Duration::try_from_secs_f64(now).unwrap_or_default()
}
