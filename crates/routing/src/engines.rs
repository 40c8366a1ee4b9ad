//! The engines of every pool as bitsets, kept as engines come, change and go.

use crate::Routing;
use garnetwall_plan::model::EngineFacts;

/// A set of engines by their index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineSet(Vec<u64>);

impl EngineSet {
    /// Whether the engine is in the set.
    pub fn contains(&self, engine: usize) -> bool {
        self.0
            .get(engine / 64)
            .is_some_and(|word| word >> (engine % 64) & 1 == 1)
    }

    /// Puts an engine into the set or takes it out.
    pub fn set(&mut self, engine: usize, held: bool) {
        let word = engine / 64;
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        let bit = 1 << (engine % 64);
        match held {
            true => self.0[word] |= bit,
            false => self.0[word] &= !bit,
        }
    }

    /// Whether no engine is in the set.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// The engines in it, lowest first.
    pub fn engines(&self) -> impl Iterator<Item = usize> + '_ {
        let bits = |(n, word): (usize, &u64)| {
            let word = *word;
            (0..64)
                .filter(move |bit| word >> bit & 1 == 1)
                .map(move |bit| n * 64 + bit)
        };
        self.0.iter().enumerate().flat_map(bits)
    }

    /// Words of 64 engines each, lowest first.
    pub fn words(&self) -> &[u64] {
        &self.0
    }

    fn union_with(&mut self, other: &EngineSet) {
        self.0.resize(self.0.len().max(other.0.len()), 0);
        self.0
            .iter_mut()
            .zip(&other.0)
            .for_each(|(word, more)| *word |= more);
    }

    fn intersect_with(&mut self, other: &EngineSet) {
        self.0.truncate(other.0.len());
        self.0
            .iter_mut()
            .zip(&other.0)
            .for_each(|(word, kept)| *word &= kept);
    }
}

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

    /// An engine that came or changed, or, where nothing is told of it, has gone.
    pub fn update(&mut self, routing: &Routing, engine: usize, facts: Option<&EngineFacts>) {
        let holds = facts.map(|facts| routing.plan().pools_of(facts));
        self.all.set(engine, facts.is_some());
        for (n, pool) in self.pools.iter_mut().enumerate() {
            pool.set(engine, holds.as_ref().is_some_and(|holds| holds[n]));
        }
    }

    /// The engines of a pool.
    pub fn pool(&self, pool: usize) -> &EngineSet {
        &self.pools[pool]
    }

    /// For each priority level of a subset the engines that it leaves open.
    pub fn priority_levels(&self, routing: &Routing, subset: usize) -> Vec<EngineSet> {
        let subset = &routing.subsets()[subset];
        let mut bound = self.all.clone();
        for pools in &subset.required_pools {
            let mut within = EngineSet::default();
            pools
                .iter()
                .for_each(|p| within.union_with(&self.pools[*p]));
            bound.intersect_with(&within);
        }
        let narrowed = |pool: &usize| {
            let mut set = self.pools[*pool].clone();
            set.intersect_with(&bound);
            set
        };
        match subset.pools.is_empty() {
            true => vec![bound],
            false => subset.pools.iter().map(narrowed).collect(),
        }
    }
}
