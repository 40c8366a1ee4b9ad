//! Selects the engines that one gateway should hold: those with the lowest scores in the list and in each placement
//! class.

use crate::candidates::Candidates;
use crate::catalog::Catalog;
use crate::engine::{EngineFacts, EngineKey, ListedState};
use crate::ready::RetryDomain;
use crate::score::{GatewayHash, Score};
use crate::settings::{PlacementClass, SubsetSettings};
use std::collections::{BTreeMap, BTreeSet};

/// Scores the engines of a catalog for one gateway.
#[derive(Clone, Copy)]
pub(crate) struct Scorer<'a> {
    pub gateway: GatewayHash,
    pub settings: &'a SubsetSettings,
    pub catalog: &'a Catalog,
}

impl Scorer<'_> {
    /// Returns the score of an engine, or `None` if the list does not show it as ready.
    pub fn score(&self, engine: EngineKey) -> Option<Score> {
        let facts = self.ready_facts(engine)?;
        let id = self.catalog.id(engine)?;
        Some(self.gateway.score(id, self.settings.weight(&facts)))
    }

    /// Returns the facts of an engine, or `None` if the list does not show it as ready.
    pub fn ready_facts(&self, engine: EngineKey) -> Option<EngineFacts> {
        self.catalog
            .facts(engine)
            .filter(|facts| facts.state == ListedState::Ready)
    }

    /// Returns the retry domain of a ready engine, or `None` if the engine is not ready or retries may go to any
    /// engine.
    pub fn domain(&self, engine: EngineKey) -> Option<RetryDomain> {
        RetryDomain::of(&self.ready_facts(engine)?, self.settings.retry_scope)
    }

    /// Iterates over all ready engines with their scores.
    fn scores(&self) -> impl Iterator<Item = (Score, EngineKey, EngineFacts)> + '_ {
        let ready = self
            .catalog
            .engines()
            .filter(|(_, _, facts)| facts.state == ListedState::Ready);
        ready.map(|(engine, id, facts)| {
            (
                self.gateway.score(id, self.settings.weight(&facts)),
                engine,
                facts,
            )
        })
    }
}

/// The engines to hold, and the retry domains in which a change of any listed engine may change them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub engines: BTreeSet<EngineKey>,
    /// Retry domains in which a companion was searched for among all listed engines.
    pub searched: BTreeSet<RetryDomain>,
}

/// Selects engines from the whole list, or from one placement class.
#[derive(Clone, Debug)]
pub(crate) struct Selection {
    /// `None` for the whole list.
    class: Option<PlacementClass>,
    candidates: Candidates,
}

impl Selection {
    /// Creates a selection without candidates. [`rescan`](Self::rescan) collects them from the list.
    pub fn new(class: Option<PlacementClass>) -> Self {
        Selection {
            class,
            candidates: Candidates::collect(std::iter::empty(), 0),
        }
    }

    fn admits(&self, facts: &EngineFacts) -> bool {
        self.class
            .as_ref()
            .is_none_or(|class| class.admits_engine(facts))
    }

    /// Replaces the candidates by the engines with the lowest scores of the whole list: `wanted` and some spare ones.
    pub fn rescan(&mut self, scorer: &Scorer, wanted: usize) {
        let admitted = scorer.scores().filter(|(_, _, facts)| self.admits(facts));
        self.candidates =
            Candidates::collect(admitted.map(|(score, engine, _)| (score, engine)), wanted);
    }

    /// Adds or updates a ready engine. Returns whether this may change the selected engines.
    pub fn offer(
        &mut self,
        engine: EngineKey,
        facts: &EngineFacts,
        score: Score,
        wanted: usize,
    ) -> bool {
        let was_candidate = self.candidates.withdraw(engine);
        let is_candidate = self.admits(facts) && self.candidates.offer(engine, score, wanted);
        was_candidate || is_candidate
    }

    /// Removes an engine. Returns whether this may change the selected engines.
    pub fn withdraw(&mut self, engine: EngineKey) -> bool {
        self.candidates.withdraw(engine)
    }

    /// Returns whether the list must be scanned again before `wanted` engines can be selected.
    pub fn falls_short(&self, wanted: usize) -> bool {
        self.candidates.falls_short(wanted)
    }

    /// Adds the candidates with the lowest scores to the target, except those in `excluded`. Adds `quota` engines
    /// including companions, and one more if the last engine needs a companion.
    ///
    /// A companion is a second engine of the same retry domain, to which a query can be retried.
    pub fn select(
        &self,
        scorer: &Scorer,
        quota: usize,
        excluded: &BTreeSet<EngineKey>,
        target: &mut Target,
    ) {
        let eligible = |engine: &EngineKey| !excluded.contains(engine);
        let first: Vec<(EngineKey, Option<RetryDomain>)> = self
            .candidates
            .in_order()
            .filter(eligible)
            .take(quota)
            .map(|engine| (engine, scorer.domain(engine)))
            .collect();
        let mut companions = runners_up(&first);
        let mut selected: BTreeSet<EngineKey> = BTreeSet::new();
        for (engine, domain) in &first {
            if selected.len() >= quota {
                break;
            }
            selected.insert(*engine);
            let Some(domain) = domain else { continue };
            // The engine with the lowest score of its domain brings a companion.
            let Some(companion) = companions.remove(domain) else {
                continue;
            };
            let companion = companion.or_else(|| {
                target.searched.insert(*domain);
                self.companion(scorer, *engine, *domain, excluded)
            });
            selected.extend(companion);
        }
        target.engines.extend(selected);
    }

    /// Returns the engine with the lowest score among the other engines of a domain. Engines that this selection admits
    /// are preferred.
    fn companion(
        &self,
        scorer: &Scorer,
        engine: EngineKey,
        domain: RetryDomain,
        excluded: &BTreeSet<EngineKey>,
    ) -> Option<EngineKey> {
        let others = scorer.catalog.ready().in_domain(domain);
        let eligible = others.filter(|other| *other != engine && !excluded.contains(other));
        let rank = |other: EngineKey| {
            let outside = !scorer
                .ready_facts(other)
                .is_some_and(|facts| self.admits(&facts));
            scorer.score(other).map(|score| (outside, score, other))
        };
        eligible.filter_map(rank).min().map(|(_, _, other)| other)
    }
}

/// Returns the second engine of each domain in the order of `first`, or `None` for a domain with only one engine.
fn runners_up(
    first: &[(EngineKey, Option<RetryDomain>)],
) -> BTreeMap<RetryDomain, Option<EngineKey>> {
    let mut seen: BTreeMap<RetryDomain, Option<EngineKey>> = BTreeMap::new();
    for (engine, domain) in first {
        let Some(domain) = domain else { continue };
        match seen.get_mut(domain) {
            None => {
                seen.insert(*domain, None);
            }
            Some(second) => {
                second.get_or_insert(*engine);
            }
        }
    }
    seen
}
