//! Tracks which engines are in each pool of a plan, as engines are added, changed and removed.

use crate::engine_set::EngineBitmap;
use crate::routing::Routing;
use garnetwall_plan::model::EngineAttributes;

/// The engines of the endpoint list, grouped by the pools of one plan.
#[derive(Clone, Debug, Default)]
pub struct PoolMembers {
    all: EngineBitmap,
    pools: Vec<EngineBitmap>,
}

impl PoolMembers {
    /// Creates the pools of a plan, without engines.
    pub fn new(routing: &Routing) -> Self {
        PoolMembers {
            all: EngineBitmap::default(),
            pools: vec![EngineBitmap::default(); routing.plan().pools.len()],
        }
    }

    /// Adds or updates an engine, or removes it if `attributes` is `None`.
    pub fn update(
        &mut self,
        routing: &Routing,
        engine: usize,
        attributes: Option<&EngineAttributes>,
    ) {
        let member_of = attributes.map(|attributes| routing.plan().pool_membership(attributes));
        self.all.set(engine, attributes.is_some());
        for (n, pool) in self.pools.iter_mut().enumerate() {
            pool.set(engine, member_of.as_ref().is_some_and(|pools| pools[n]));
        }
    }

    /// Returns the engines of a pool, given by its index in the plan. Panics if the plan has no such pool.
    pub fn pool(&self, pool: usize) -> &EngineBitmap {
        &self.pools[pool]
    }

    /// Returns the engines that an endpoint subset allows at each priority level, highest priority first.
    /// `endpoint_subset` is an index into [`Routing::endpoint_subsets`].
    pub fn priority_levels(&self, routing: &Routing, endpoint_subset: usize) -> Vec<EngineBitmap> {
        let subset = &routing.endpoint_subsets()[endpoint_subset];
        let mut allowed = self.all.clone();
        for pools in &subset.required_pools {
            let mut within = EngineBitmap::default();
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
