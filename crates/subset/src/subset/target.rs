//! Chooses the engines that a subset should hold, its target.

use super::{Outdated, Subset};
use crate::catalog::Catalog;
use crate::engine::{Change, EngineFacts, EngineKey};
use crate::join_queue::JoinQueue;
use crate::selection::{Scorer, Target};
use crate::settings::{PlacementClass, SubsetSettings};
use crate::size::{floor_of, EffectiveSize};
use std::collections::BTreeSet;

impl Subset {
    /// Computes the target from the list. Engines that could not be reached are passed over unless the target would
    /// then be below a floor.
    pub(super) fn select(&mut self, catalog: &Catalog) {
        self.remove_unready_members(catalog);
        self.refill_candidates(catalog);
        self.parameters.size = self.effective_size(catalog).size + self.health.widened_by();
        self.target = self.choose(catalog, &self.join_queue.unreached());
        if self.join_queue.unreached_count() > 0 && self.target_under_floor(catalog) {
            self.join_queue.clear_unreached();
            self.target = self.choose(catalog, &BTreeSet::new());
        }
        self.outdated = Outdated::Nothing;
    }

    /// Removes the members that the list does not show as ready, even if the caller did not report the change.
    fn remove_unready_members(&mut self, catalog: &Catalog) {
        let scorer = self.scorer(catalog);
        let is_unready = |engine: &EngineKey| scorer.ready_facts(*engine).is_none();
        let unready: Vec<EngineKey> = self.members.keys().copied().filter(is_unready).collect();
        for engine in unready {
            self.remove_unready(engine);
        }
    }

    /// Returns whether the target has fewer engines than the floor of the subset or of a class.
    fn target_under_floor(&self, catalog: &Catalog) -> bool {
        let engines = self.target.engines.iter();
        let facts: Vec<EngineFacts> = engines
            .filter_map(|engine| catalog.facts(*engine))
            .collect();
        let is_under_floor = |class: &PlacementClass| {
            let admitted = facts.iter().filter(|facts| class.admits_engine(facts));
            admitted.count() < self.floor_of_class(catalog, class)
        };
        facts.len() < self.effective_size(catalog).floor()
            || self.settings.classes.iter().any(is_under_floor)
    }

    /// Returns the minimum number of members that the subset keeps of a class, if the list has enough ready engines.
    pub(super) fn floor_of_class(&self, catalog: &Catalog, class: &PlacementClass) -> usize {
        let available = catalog.ready().count_in_class(class);
        floor_of(self.settings.class_floor.min(available))
    }

    /// Scans the list again for the selections whose candidates are outdated or too few.
    fn refill_candidates(&mut self, catalog: &Catalog) {
        let scorer = Scorer {
            gateway: self.gateway,
            settings: &self.settings,
            catalog,
        };
        let wanted = candidates_wanted(&self.settings, &self.join_queue, catalog);
        for (selection, wanted) in self.selections.iter_mut().zip(wanted) {
            if self.outdated == Outdated::Candidates || selection.falls_short(wanted) {
                selection.rescan(&scorer, wanted);
            }
        }
    }

    /// Applies a change of an engine to the candidates. Returns whether the engine is or was a candidate.
    pub(super) fn update_candidates(&mut self, catalog: &Catalog, change: &Change) -> bool {
        let scorer = Scorer {
            gateway: self.gateway,
            settings: &self.settings,
            catalog,
        };
        // Reads the state from the catalog, which may already contain later changes of the engine.
        let current = scorer
            .ready_facts(change.engine)
            .zip(scorer.score(change.engine));
        let wanted = candidates_wanted(&self.settings, &self.join_queue, catalog);
        let mut affected = false;
        for (selection, wanted) in self.selections.iter_mut().zip(wanted) {
            affected |= match current {
                Some((facts, score)) => selection.offer(change.engine, &facts, score, wanted),
                None => selection.withdraw(change.engine),
            };
        }
        affected
    }

    fn choose(&self, catalog: &Catalog, excluded: &BTreeSet<EngineKey>) -> Target {
        let scorer = self.scorer(catalog);
        let class_quotas = std::iter::repeat(self.settings.class_floor);
        let quotas = std::iter::once(self.parameters.size).chain(class_quotas);
        let mut target = Target::default();
        for (selection, quota) in self.selections.iter().zip(quotas) {
            selection.select(&scorer, quota, excluded, &mut target);
        }
        target
    }

    /// Returns the number of candidates that the selection from the whole list should have.
    pub(super) fn candidates_wanted(&self, catalog: &Catalog) -> usize {
        candidates_wanted(&self.settings, &self.join_queue, catalog)
            .next()
            .unwrap_or(self.settings.size)
    }
}

/// Iterates over the numbers of candidates that the selections should have: the engines that may be held, and one more
/// for each engine that is passed over. The whole list comes first, then the placement classes without end.
fn candidates_wanted<'a>(
    settings: &'a SubsetSettings,
    join_queue: &JoinQueue,
    catalog: &Catalog,
) -> impl Iterator<Item = usize> + 'a {
    let excluded = join_queue.unreached_count();
    let size = EffectiveSize::new(settings, catalog.ready_count()).size;
    let whole_list = size
        .saturating_add(settings.reserve)
        .saturating_add(excluded);
    let class = settings.class_floor.saturating_add(excluded);
    std::iter::once(whole_list).chain(std::iter::repeat(class))
}
