//! Simulates the subset of a gateway over time, checks its actions, and computes its expected members with a slow
//! reference model.

#![allow(dead_code)]

use garnetwall_subset::{
    Action, Catalog, ConnectOutcome, EffectiveSize, EngineFacts, EngineKey, EngineOutcome,
    GatewayHash, ListedEngine, ListedState, PlacementClass, RetryScope, Subset, SubsetSettings,
    UpdateScope,
};
use std::collections::{BTreeMap, BTreeSet};

pub const GATEWAY: &str = "gateway-7";

/// Time after which all members are healthy again, no backoff is running and no engine waits to join.
pub const SETTLING_SECONDS: f64 = 600.0;

/// Time until the outcome of a connection is reported.
const CONNECT_SECONDS: f64 = 0.01;

/// Maximum number of polls in one call of [`World::advance`]. More polls mean that the subset requests polls without
/// end.
const MAX_POLLS: usize = 20_000;

pub fn settings(size: usize) -> SubsetSettings {
    SubsetSettings {
        size,
        class_floor: 0,
        reserve: 4,
        joins_per_second: 2.0,
        zone: None,
        near_weight: 1.0,
        gateways: 1_000.0,
        classes: Vec::new(),
        retry_scope: RetryScope::Everywhere,
    }
}

pub fn listed_engine(number: u32, zones: u32) -> ListedEngine {
    let cores = [4.0, 8.0, 16.0][(number / zones % 3) as usize];
    let cell = number / zones % 4;
    let facts = EngineFacts {
        zone: number % zones,
        kind: number / zones % 2,
        cell,
        cores,
        state: ListedState::Ready,
    };
    ListedEngine {
        engine_id: format!("engine-{number}"),
        facts,
    }
}

pub fn listed_engines(count: u32, zones: u32) -> Vec<ListedEngine> {
    (0..count)
        .map(|number| listed_engine(number, zones))
        .collect()
}

/// A fault that the simulation injects into the actions of the subset, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    KeepsUnready,
    JoinsUntried,
    UnderFloor,
    UnderClassFloor,
    WrongEngine,
    ConnectsTwice,
    Synchronized,
    HoldersHalved,
}

/// One gateway's subset with its catalog, in simulated time.
pub struct World {
    /// Simulated time in seconds.
    pub now: f64,
    pub catalog: Catalog,
    pub subset: Subset,
    pub settings: SubsetSettings,
    /// The listed engines by id, without removed ones.
    pub list: BTreeMap<String, EngineFacts>,
    /// Ids of the engines to which connections fail.
    pub unreachable: BTreeSet<String>,
    /// The members and their numbers of holders, according to the actions so far.
    pub members: BTreeMap<EngineKey, f64>,
    /// Times of all connections that the subset requested.
    pub connects_at: Vec<f64>,
    /// Engines for which the subset requested an update.
    pub updated: BTreeSet<EngineKey>,
    /// Whether the outcomes of connections are dropped instead of reported.
    pub drops_outcomes: bool,
    /// Violations that the checks found.
    pub faults: BTreeSet<String>,
    injected: InjectedFault,
    /// Whether the present poll began without members.
    filling: bool,
    /// Connections in progress, with the times at which their outcomes are reported.
    pending: Vec<(f64, EngineKey)>,
    reached: BTreeSet<EngineKey>,
}

impl World {
    pub fn new(settings: SubsetSettings, injected: InjectedFault) -> Self {
        World::named(GATEWAY, settings, injected)
    }

    pub fn named(gateway: &str, settings: SubsetSettings, injected: InjectedFault) -> Self {
        World {
            now: 100.0,
            catalog: Catalog::default(),
            subset: Subset::new(gateway, settings.clone()).expect("good settings"),
            settings,
            list: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            members: BTreeMap::new(),
            connects_at: Vec::new(),
            updated: BTreeSet::new(),
            drops_outcomes: false,
            faults: BTreeSet::new(),
            injected,
            filling: false,
            pending: Vec::new(),
            reached: BTreeSet::new(),
        }
    }

    pub fn apply(&mut self, engines: &[ListedEngine], scope: UpdateScope) {
        if scope == UpdateScope::FullList {
            self.list.clear();
        }
        for listed in engines {
            match listed.facts.state {
                ListedState::Removed => drop(self.list.remove(&listed.engine_id)),
                _ => drop(self.list.insert(listed.engine_id.clone(), listed.facts)),
            }
        }
        let changes = self.catalog.apply(engines, scope);
        self.subset.changed(self.now, &self.catalog, &changes);
        self.poll();
    }

    pub fn set_state(&mut self, id: &str, state: ListedState) {
        if let Some(facts) = self.list.get(id).copied() {
            self.apply(
                &[ListedEngine {
                    engine_id: id.into(),
                    facts: EngineFacts { state, ..facts },
                }],
                UpdateScope::ChangedEngines,
            );
        }
    }

    pub fn attempts(&mut self, engine: EngineKey, outcome: EngineOutcome, count: usize) {
        (0..count).for_each(|_| self.subset.attempt_ended(self.now, engine, outcome));
        self.poll();
    }

    pub fn advance(&mut self, seconds: f64) {
        let end = self.now + seconds;
        for _ in 0..MAX_POLLS {
            let reply = self.pending.iter().map(|(at, _)| *at).reduce(f64::min);
            let next = reply.into_iter().chain(self.subset.wake()).reduce(f64::min);
            let Some(next) = next.filter(|next| *next <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(next);
            self.deliver();
            self.poll();
        }
        self.faults.insert("requests polls without end".into());
    }

    fn deliver(&mut self) {
        let due = |(at, _): &(f64, EngineKey)| *at <= self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.pending.iter().copied().partition(due);
        self.pending = later;
        for (_, engine) in due.into_iter().filter(|_| !self.drops_outcomes) {
            let reached = self
                .catalog
                .id(engine)
                .is_some_and(|id| !self.unreachable.contains(id));
            if reached {
                self.reached.insert(engine);
            }
            let outcome = if reached {
                ConnectOutcome::Reached
            } else {
                ConnectOutcome::NotReached
            };
            self.subset.connect_ended(self.now, engine, outcome);
        }
    }

    fn poll(&mut self) {
        let actions = self.subset.poll(self.now, &self.catalog);
        self.filling = false;
        for action in actions {
            self.perform_with_fault(action);
        }
        self.check();
    }

    fn perform_with_fault(&mut self, action: Action) {
        match (self.injected, action) {
            (InjectedFault::KeepsUnready, Action::Leave(_)) => {}
            (InjectedFault::JoinsUntried, Action::Connect(engine)) => self.perform(Action::Join {
                engine,
                holders: 1.0,
            }),
            (InjectedFault::UnderFloor, Action::Join { .. })
                if self.members.len() >= self.floor().max(1) - 1 => {}
            (InjectedFault::UnderClassFloor, Action::Join { engine, .. })
                if self.may_serve_a_class(engine) => {}
            (InjectedFault::WrongEngine, Action::Join { holders, .. }) => {
                let other = self
                    .catalog
                    .engines()
                    .find(|(engine, ..)| !self.members.contains_key(engine));
                let engine = other
                    .map(|(engine, ..)| engine)
                    .expect("the list has an engine that is not a member");
                self.members.insert(engine, holders);
            }
            (InjectedFault::ConnectsTwice, Action::Connect(_)) => {
                self.perform(action);
                self.perform(action);
            }
            (InjectedFault::HoldersHalved, Action::Join { engine, holders }) => {
                self.perform(Action::Join {
                    engine,
                    holders: holders / 2.0,
                });
            }
            _ => self.perform(action),
        }
    }

    fn perform(&mut self, action: Action) {
        if let Action::Update { engine, .. } = action {
            self.updated.insert(engine);
        }
        match action {
            Action::Connect(engine) => {
                self.connects_at.push(self.now);
                self.reached.remove(&engine);
                self.pending.push((self.now + CONNECT_SECONDS, engine));
            }
            Action::Join { engine, holders } => {
                self.filling |= self.members.is_empty();
                let untried = !self.reached.remove(&engine);
                let needed =
                    self.filling || self.members.len() < self.floor() || self.class_needs(engine);
                if untried && !needed {
                    self.faults
                        .insert("an engine joins without a connection test above the floor".into());
                }
                self.members.insert(engine, holders);
            }
            Action::Update { engine, holders } => match self.members.get_mut(&engine) {
                Some(known) => *known = holders,
                None => drop(
                    self.faults
                        .insert("an engine is updated that is not a member".into()),
                ),
            },
            Action::Leave(engine) => {
                if self.members.remove(&engine).is_none() {
                    self.faults
                        .insert("an engine leaves that is not a member".into());
                }
            }
        }
    }

    fn ready(&self) -> BTreeMap<&str, EngineFacts> {
        let ready = self
            .list
            .iter()
            .filter(|(_, facts)| facts.state == ListedState::Ready);
        ready.map(|(id, facts)| (id.as_str(), *facts)).collect()
    }

    pub fn floor(&self) -> usize {
        EffectiveSize::new(&self.settings, self.ready().len())
            .size
            .div_ceil(2)
    }

    fn in_class(&self, class: &PlacementClass) -> (usize, usize) {
        let admits = |facts: &EngineFacts| {
            class
                .zones
                .as_ref()
                .is_none_or(|zones| zones.contains(&facts.zone))
                && class
                    .kinds
                    .as_ref()
                    .is_none_or(|kinds| kinds.contains(&facts.kind))
        };
        let members = self
            .members
            .keys()
            .filter_map(|engine| self.catalog.facts(*engine));
        (
            self.ready().values().filter(|facts| admits(facts)).count(),
            members.filter(admits).count(),
        )
    }

    fn class_under_floor(&self, class: &PlacementClass) -> bool {
        let (ready, members) = self.in_class(class);
        members < ready.min(self.settings.class_floor).div_ceil(2)
    }

    fn may_serve_a_class(&self, engine: EngineKey) -> bool {
        let facts = self.catalog.facts(engine).expect("joins are in the list");
        self.settings
            .classes
            .iter()
            .any(|class| class.admits_engine(&facts))
    }

    fn class_needs(&self, engine: EngineKey) -> bool {
        let facts = self.catalog.facts(engine).expect("joins are in the list");
        let needs =
            |class: &&PlacementClass| class.admits_engine(&facts) && self.class_under_floor(class);
        self.settings.classes.iter().any(|class| needs(&class))
    }

    fn check(&mut self) {
        let mut faults = Vec::new();
        let ready: BTreeSet<&str> = self.ready().into_keys().collect();
        let unready = |engine: &EngineKey| {
            self.catalog
                .id(*engine)
                .is_none_or(|id| !ready.contains(id))
        };
        if self.members.keys().any(unready) {
            faults.push("a member is not ready");
        }
        if self.members.len() < self.floor().min(ready.len()) {
            faults.push("the subset is below its floor");
        }
        if self
            .settings
            .classes
            .iter()
            .any(|class| self.class_under_floor(class))
        {
            faults.push("a class is below its floor");
        }
        if !self
            .members
            .values()
            .all(|holders| (1.0..=self.settings.gateways).contains(holders))
        {
            faults.push("holders out of range");
        }
        if !self.subset.members().eq(self
            .members
            .iter()
            .map(|(engine, holders)| (*engine, *holders)))
        {
            faults.push("the members differ from those according to the actions");
        }
        self.faults.extend(faults.into_iter().map(String::from));
    }

    pub fn member_ids(&self) -> BTreeSet<String> {
        self.members
            .keys()
            .filter_map(|engine| self.catalog.id(*engine))
            .map(String::from)
            .collect()
    }

    /// Makes all engines reachable, waits until the subset is stable, and compares its members with the reference
    /// model.
    pub fn settle(&mut self) {
        self.unreachable.clear();
        self.advance(SETTLING_SECONDS);
        if self.member_ids() != reference_target(GATEWAY, &self.settings, &self.list) {
            self.faults
                .insert("settled members differ from the reference model".into());
        }
    }
}

/// Computes the ids of the engines that a gateway should hold, from the whole list.
pub fn reference_target(
    gateway: &str,
    settings: &SubsetSettings,
    list: &BTreeMap<String, EngineFacts>,
) -> BTreeSet<String> {
    let hash = GatewayHash::new(gateway);
    let mut ready: Vec<(f64, &str, EngineFacts)> = Vec::new();
    for (id, facts) in list
        .iter()
        .filter(|(_, facts)| facts.state == ListedState::Ready)
    {
        ready.push((
            hash.score(id, settings.weight(facts)).0,
            id.as_str(),
            *facts,
        ));
    }
    ready.sort_by(|a, b| a.0.total_cmp(&b.0));
    let size = EffectiveSize::new(settings, ready.len()).size;
    let everything = PlacementClass::default();
    let mut target = reference_choice(&ready, &everything, size, settings.retry_scope);
    for class in &settings.classes {
        target.extend(reference_choice(
            &ready,
            class,
            settings.class_floor,
            settings.retry_scope,
        ));
    }
    target
}

/// Selects engines of a class, lowest score first, each with a companion in its retry domain, until the quota is
/// reached.
fn reference_choice(
    ready: &[(f64, &str, EngineFacts)],
    class: &PlacementClass,
    quota: usize,
    scope: RetryScope,
) -> BTreeSet<String> {
    let of_class: Vec<_> = ready
        .iter()
        .filter(|(_, _, facts)| class.admits_engine(facts))
        .collect();
    let mut chosen = BTreeSet::new();
    for (_, id, facts) in &of_class {
        if chosen.len() >= quota {
            break;
        }
        chosen.insert(id.to_string());
        let near = |other: &EngineFacts| {
            scope != RetryScope::Everywhere
                && other.zone == facts.zone
                && (scope == RetryScope::Zone || other.cell == facts.cell)
        };
        if of_class
            .iter()
            .any(|(_, other, at)| other != id && near(at) && chosen.contains(*other))
        {
            continue;
        }
        let companion = of_class
            .iter()
            .copied()
            .chain(ready)
            .find(|(_, other, at)| other != id && near(at));
        chosen.extend(companion.map(|(_, other, _)| other.to_string()));
    }
    chosen
}
