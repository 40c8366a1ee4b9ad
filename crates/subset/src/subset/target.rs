//! Chooses the engines that a subset is to hold.

use super::{Outdated, Subset};
use crate::catalog::Catalog;
use crate::engine::{Change, EngineFacts, EngineKey};
use crate::join_queue::JoinQueue;
use crate::selection::{Scorer, Target};
use crate::settings::{PlacementClass, SubsetSettings};
use crate::size::{floor_of, EffectiveSize};
use std::collections::BTreeSet;

impl Subset {
    /// Works out which engines to hold.
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

    /// Removes the members that the list does not have as ready, also where the caller reported no change.
    fn remove_unready_members(&mut self, catalog: &Catalog) {
        let scorer = self.scorer(catalog);
        let is_unready = |engine: &EngineKey| scorer.ready_facts(*engine).is_none();
        let unready: Vec<EngineKey> = self.members.keys().copied().filter(is_unready).collect();
        for engine in unready {
            self.leave_list(engine);
        }
    }

    /// Whether the engines that can be reached are too few for the subset or for a class.
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

    /// The number of members of a class under which the subset does not fall while the list has them.
    pub(super) fn floor_of_class(&self, catalog: &Catalog, class: &PlacementClass) -> usize {
        let available = catalog.ready().count_in_class(class);
        floor_of(self.settings.class_floor.min(available))
    }

    /// Reads the list again for the selections that may lack candidates.
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

    /// Updates the candidates; whether the engine is or was one.
    pub(super) fn update_candidates(&mut self, catalog: &Catalog, change: &Change) -> bool {
        let scorer = Scorer {
            gateway: self.gateway,
            settings: &self.settings,
            catalog,
        };
        // The catalog may have a later state than this change.
        let current = scorer
            .ready_facts(change.engine)
            .zip(scorer.score(change.engine));
        let wanted = candidates_wanted(&self.settings, &self.join_queue, catalog);
        let mut concerned = false;
        for (selection, wanted) in self.selections.iter_mut().zip(wanted) {
            concerned |= match current {
                Some((facts, score)) => selection.offer(change.engine, &facts, score, wanted),
                None => selection.withdraw(change.engine),
            };
        }
        concerned
    }

    fn choose(&self, catalog: &Catalog, passed_over: &BTreeSet<EngineKey>) -> Target {
        let scorer = self.scorer(catalog);
        let class_quotas = std::iter::repeat(self.settings.class_floor);
        let quotas = std::iter::once(self.parameters.size).chain(class_quotas);
        let mut target = Target::default();
        for (selection, quota) in self.selections.iter().zip(quotas) {
            selection.select(&scorer, quota, passed_over, &mut target);
        }
        target
    }

    /// How many candidates the selection of the whole list should have.
    pub(super) fn candidates_wanted(&self, catalog: &Catalog) -> usize {
        candidates_wanted(&self.settings, &self.join_queue, catalog)
            .next()
            .unwrap_or(self.settings.size)
    }
}

/// How many candidates each selection should have: what may be held, and as many as are passed over.
fn candidates_wanted<'a>(
    settings: &'a SubsetSettings,
    join_queue: &JoinQueue,
    catalog: &Catalog,
) -> impl Iterator<Item = usize> + 'a {
    let passed_over = join_queue.unreached_count();
    let size = EffectiveSize::new(settings, catalog.ready_count()).size;
    let whole_list = size
        .saturating_add(settings.reserve)
        .saturating_add(passed_over);
    let class = settings.class_floor.saturating_add(passed_over);
    std::iter::once(whole_list).chain(std::iter::repeat(class))
}
