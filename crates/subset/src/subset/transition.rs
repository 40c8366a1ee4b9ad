//! Moves the members towards the target: connects to missing engines, and lets engines join and leave.

use super::{Action, Subset};
use crate::catalog::Catalog;
use crate::class_shortage::ClassShortage;
use crate::engine::{EngineFacts, EngineKey};
use crate::ready::RetryDomain;
use crate::score::Score;
use crate::settings::PlacementClass;
use std::collections::BTreeMap;

impl Subset {
    /// Moves the members towards the target, as far as the floor, the reserve and the pace allow.
    pub(super) fn settle(&mut self, now: f64, catalog: &Catalog) {
        let missing = self.missing(catalog);
        let waiting = self.join(catalog, missing);
        if waiting.is_empty() {
            self.join_queue.clear_refills();
        }
        self.connect(now, catalog, &waiting);
        self.remove_surplus(catalog, waiting.is_empty());
        self.join_queue.clear_reached();
        self.settled = waiting.is_empty();
    }

    /// Returns the engines of the target that are not members yet, lowest score first.
    fn missing(&self, catalog: &Catalog) -> Vec<EngineKey> {
        let scorer = self.scorer(catalog);
        let engines = self.target.engines.iter();
        let mut missing: Vec<(Score, EngineKey)> = engines
            .filter(|engine| !self.members.contains_key(engine))
            .filter_map(|engine| scorer.score(*engine).map(|score| (score, *engine)))
            .collect();
        missing.sort_unstable();
        missing.into_iter().map(|(_, engine)| engine).collect()
    }

    /// Adds the missing engines that have been reached or that the subset or a class needs to stay at its floor.
    /// Returns the other engines, which wait for a connection.
    fn join(&mut self, catalog: &Catalog, missing: Vec<EngineKey>) -> Vec<EngineKey> {
        let remaining = self.join_reached_and_urgent(catalog, missing);
        let subset_floor = self.effective_size(catalog).floor();
        let floor = subset_floor.min(self.target.engines.len());
        let mut waiting = Vec::new();
        for (engine, facts) in remaining {
            if self.members.len() < floor {
                self.add_member(engine, &facts);
            } else {
                waiting.push(engine);
            }
        }
        waiting
    }

    /// Adds the missing engines that have been reached or that a class below its floor needs. Returns the others.
    fn join_reached_and_urgent(
        &mut self,
        catalog: &Catalog,
        missing: Vec<EngineKey>,
    ) -> Vec<(EngineKey, EngineFacts)> {
        // A subset without members can serve no query, so its first members join without a connection test.
        let is_first_fill = self.members.is_empty();
        let classes = self.settings.classes.clone();
        let mut shortage = self.class_shortage(catalog, &classes, |class| {
            self.floor_of_class(catalog, class)
        });
        let mut remaining = Vec::new();
        for engine in missing {
            let Some(facts) = catalog.facts(engine) else {
                continue;
            };
            let is_reached = self.join_queue.is_reached(engine);
            if is_first_fill || is_reached || shortage.applies_to(&facts) {
                shortage.add(&facts);
                self.add_member(engine, &facts);
            } else {
                remaining.push((engine, facts));
            }
        }
        remaining
    }

    fn class_shortage<'a>(
        &self,
        catalog: &Catalog,
        classes: &'a [PlacementClass],
        needed: impl Fn(&PlacementClass) -> usize,
    ) -> ClassShortage<'a> {
        let facts = |engine: &EngineKey| catalog.facts(*engine);
        let target: Vec<EngineFacts> = self.target.engines.iter().filter_map(facts).collect();
        let members: Vec<EngineFacts> = self.members.keys().filter_map(facts).collect();
        ClassShortage::new(classes, &target, &members, needed)
    }

    /// Requests connections to the waiting engines, as far as the pace allows.
    fn connect(&mut self, now: f64, catalog: &Catalog, waiting: &[EngineKey]) {
        let classes = self.settings.classes.clone();
        let mut shortage = self.class_shortage(catalog, &classes, |_| self.settings.class_floor);
        let mut waits_for_pace = false;
        for engine in waiting {
            let Some(facts) = catalog.facts(*engine) else {
                continue;
            };
            let is_urgent = shortage.applies_to(&facts);
            shortage.add(&facts);
            if self.join_queue.is_connecting(*engine) {
                continue;
            }
            if self.join_queue.try_connect(now, *engine, is_urgent) {
                self.pending_actions.push(Action::Connect(*engine));
            } else {
                waits_for_pace = true;
            }
        }
        if !waits_for_pace {
            self.join_queue.clear_pace_wait();
        }
    }

    /// Requests connections to the unreached engines whose backoff has ended.
    pub(super) fn retry_unreached(&mut self, now: f64, catalog: &Catalog) {
        for engine in self.join_queue.start_retries(now) {
            match catalog.facts(engine) {
                Some(_) => self.pending_actions.push(Action::Connect(engine)),
                None => self.join_queue.forget(engine),
            }
        }
    }

    /// Removes members that are not in the target. All of them leave if `is_complete`, that is, once all engines of the
    /// target are members; until then only the dispensable ones leave.
    fn remove_surplus(&mut self, catalog: &Catalog, is_complete: bool) {
        let surplus = self.surplus(catalog);
        let leaving = if is_complete {
            surplus
        } else {
            self.dispensable(catalog, &surplus)
        };
        for engine in leaving {
            self.remove_member(engine);
        }
    }

    /// Returns the members that are not in the target, highest score first.
    fn surplus(&self, catalog: &Catalog) -> Vec<EngineKey> {
        let scorer = self.scorer(catalog);
        let members = self.members.keys();
        let mut surplus: Vec<(Option<Score>, EngineKey)> = members
            .filter(|engine| !self.target.engines.contains(engine))
            .map(|engine| (scorer.score(*engine), *engine))
            .collect();
        surplus.sort_unstable_by(|a, b| b.cmp(a));
        surplus.into_iter().map(|(_, engine)| engine).collect()
    }

    /// Returns the surplus members that may leave while engines of the target are missing: as many as the subset has
    /// members beyond the size of the target. A member stays if a class would lack members without it, or if it is the
    /// only companion of another member in its retry domain.
    fn dispensable(&self, catalog: &Catalog, surplus: &[EngineKey]) -> Vec<EngineKey> {
        let mut excess = self.members.len().saturating_sub(self.target.engines.len());
        let mut shortage = self.class_shortage(catalog, &self.settings.classes, |_| {
            self.settings.class_floor
        });
        let mut members_by_domain = self.members_by_domain(catalog);
        let mut dispensable = Vec::new();
        for engine in surplus {
            if excess == 0 {
                break;
            }
            let Some(facts) = catalog.facts(*engine) else {
                break;
            };
            let domain = RetryDomain::of(&facts, self.settings.retry_scope);
            let in_domain = domain.and_then(|domain| members_by_domain.get_mut(&domain));
            shortage.remove(&facts);
            let leaves_one_alone = in_domain.as_deref() == Some(&2);
            if shortage.applies_to(&facts) || leaves_one_alone {
                shortage.add(&facts);
                continue;
            }
            if let Some(count) = in_domain {
                *count -= 1;
            }
            excess -= 1;
            dispensable.push(*engine);
        }
        dispensable
    }

    fn members_by_domain(&self, catalog: &Catalog) -> BTreeMap<RetryDomain, usize> {
        let mut counts: BTreeMap<RetryDomain, usize> = BTreeMap::new();
        let members = self.members.keys();
        let facts = members.filter_map(|engine| catalog.facts(*engine));
        for domain in facts.filter_map(|facts| RetryDomain::of(&facts, self.settings.retry_scope)) {
            *counts.entry(domain).or_default() += 1;
        }
        counts
    }
}
