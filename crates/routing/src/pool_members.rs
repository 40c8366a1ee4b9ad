//! The engines of every pool of a plan, updated as engines are added, change and are removed.

use crate::engine_set::EngineSet;
use crate::routing::Routing;
use garnetwall_plan::model::EngineFacts;

/// The engines that are listed, by the pools of one plan.
#[derive(Clone, Debug, Default)]
pub struct PoolMembers {
    all: EngineSet,
    pools: Vec<EngineSet>,
}

impl PoolMembers {
    /// The pools of a plan, without engines yet.
    pub fn new(routing: &Routing) -> Self {
        PoolMembers {
            all: EngineSet::default(),
            pools: vec![EngineSet::default(); routing.plan().pools.len()],
        }
    }

    /// Adds or changes an engine; without facts it is removed.
    pub fn update(&mut self, routing: &Routing, engine: usize, facts: Option<&EngineFacts>) {
        let member_of = facts.map(|facts| routing.plan().pools_of(facts));
        self.all.set(engine, facts.is_some());
        for (n, pool) in self.pools.iter_mut().enumerate() {
            pool.set(engine, member_of.as_ref().is_some_and(|pools| pools[n]));
        }
    }

    /// The engines of a pool.
    pub fn pool(&self, pool: usize) -> &EngineSet {
        &self.pools[pool]
    }

    /// For each priority level of an endpoint subset the engines that it leaves open. `endpoint_subset` is an index into
    /// [`Routing::endpoint_subsets`].
    pub fn priority_levels(&self, routing: &Routing, endpoint_subset: usize) -> Vec<EngineSet> {
        let subset = &routing.endpoint_subsets()[endpoint_subset];
        let mut allowed = self.all.clone();
        for pools in &subset.required_pools {
            let mut within = EngineSet::default();
            pools
                .iter()
                .for_each(|pool| within.union_with(&self.pools[*pool]));
            allowed.intersect_with(&within);
        }
        let narrowed = |pool: &usize| {
            let mut set = self.pools[*pool].clone();
            set.intersect_with(&allowed);
            set
        };
        if subset.pools.is_empty() {
            vec![allowed]
        } else {
            subset.pools.iter().map(narrowed).collect()
        }
    }
}
