//! Selects the engines that one gateway is to hold: the lowest scores of the list, and of each placement class.

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
    /// The score of an engine of the list that takes new work.
    pub fn score(&self, engine: EngineKey) -> Option<Score> {
        let facts = self.ready_facts(engine)?;
        let id = self.catalog.id(engine)?;
        Some(self.gateway.score(id, self.settings.weight(&facts)))
    }

    /// What is known of an engine that takes new work.
    pub fn ready_facts(&self, engine: EngineKey) -> Option<EngineFacts> {
        self.catalog
            .facts(engine)
            .filter(|facts| facts.state == ListedState::Ready)
    }

    /// The retry domain of an engine that takes new work.
    pub fn domain(&self, engine: EngineKey) -> Option<RetryDomain> {
        RetryDomain::of(&self.ready_facts(engine)?, self.settings.retry_scope)
    }

    /// The scores of all engines that take new work.
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

/// The engines to hold, and the retry domains in which a change may alter them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub engines: BTreeSet<EngineKey>,
    /// Domains in which a companion was looked for among all engines of the list.
    pub searched: BTreeSet<RetryDomain>,
}

/// The candidates of the whole list, or of one placement class.
#[derive(Clone, Debug)]
pub(crate) struct Selection {
    class: Option<PlacementClass>,
    candidates: Candidates,
}

impl Selection {
    /// A selection without candidates, until it reads the list.
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

    /// Reads the whole list.
    pub fn rescan(&mut self, scorer: &Scorer, wanted: usize) {
        let admitted = scorer.scores().filter(|(_, _, facts)| self.admits(facts));
        self.candidates =
            Candidates::collect(admitted.map(|(score, engine, _)| (score, engine)), wanted);
    }

    /// Adds an engine that takes new work, or updates it; whether that may change what is selected.
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

    /// Removes an engine; whether that may change what is selected.
    pub fn withdraw(&mut self, engine: EngineKey) -> bool {
        self.candidates.withdraw(engine)
    }

    /// Whether the list must be read again before this number can be selected.
    pub fn falls_short(&self, wanted: usize) -> bool {
        self.candidates.falls_short(wanted)
    }

    /// Adds the first engines to the target: `quota` of them, and one more where the last needs a companion. Engines
    /// that could not be reached are passed over.
    pub fn select(
        &self,
        scorer: &Scorer,
        quota: usize,
        passed_over: &BTreeSet<EngineKey>,
        target: &mut Target,
    ) {
        let eligible = |engine: &EngineKey| !passed_over.contains(engine);
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
            // The first of its domain brings its companion.
            let Some(companion) = companions.remove(domain) else {
                continue;
            };
            let companion = companion.or_else(|| {
                target.searched.insert(*domain);
                self.companion(scorer, *engine, *domain, passed_over)
            });
            selected.extend(companion);
        }
        target.engines.extend(selected);
    }

    /// The engine with the lowest score among the others of a domain, of this class where there is one.
    fn companion(
        &self,
        scorer: &Scorer,
        engine: EngineKey,
        domain: RetryDomain,
        passed_over: &BTreeSet<EngineKey>,
    ) -> Option<EngineKey> {
        let others = scorer.catalog.ready().in_domain(domain);
        let eligible = others.filter(|other| *other != engine && !passed_over.contains(other));
        let rank = |other: EngineKey| {
            let outside = !scorer
                .ready_facts(other)
                .is_some_and(|facts| self.admits(&facts));
            scorer.score(other).map(|score| (outside, score, other))
        };
        eligible.filter_map(rank).min().map(|(_, _, other)| other)
    }
}

/// The second engine of each domain in order of score, or none if it has just one.
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
