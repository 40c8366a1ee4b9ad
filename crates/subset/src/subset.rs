//! One gateway's subset.

use crate::class_shortage::ClassShortage;
use crate::health::Health;
use crate::holders::{HoldersTable, HoldersTerms};
use crate::newcomers::Newcomers;
use crate::ready::RetryDomain;
use crate::score::{GatewayHash, Score};
use crate::selection::{Chooser, Selection, Target};
use crate::size::floor_of;
use crate::{
    Catalog, Change, EffectiveSize, EngineFacts, EngineKey, ListedState, PlacementClass,
    SubsetError, SubsetSettings,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A member's number of holders is told again when it has changed by more than this part: a changed line moves the
/// numbers of all members a little.
const UPDATE_PART: f64 = 0.05;

/// What the caller is to do about an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Bring up a connection, and tell by [`Subset::warmed`] whether it came up. The engine takes no work yet.
    Warm(EngineKey),
    /// It takes work from now on. About `holders` gateways hold it: what one gateway may do alone is this part.
    Join { engine: EngineKey, holders: f64 },
    /// A member's facts or number of holders changed.
    Update { engine: EngineKey, holders: f64 },
    /// Nothing new goes to it. It stays known until nothing of it is open.
    Leave(EngineKey),
}

/// An engine that takes work.
#[derive(Clone, Copy, Debug)]
struct Member {
    holders: f64,
    /// Whether the caller is to be told in any case, as its facts changed.
    changed: bool,
}

/// What of the subset must be looked at by the next poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outdated {
    Nothing,
    /// The engines to hold.
    Target,
    /// The candidates too: the list is to be read again.
    Candidates,
}

/// The engines that one gateway works with.
///
/// Call [`Subset::poll`] after every other call that takes `&mut self`, and by the time that [`Subset::wake`] tells. After
/// [`Subset::attempted`] that is needed only when [`Subset::wake`] tells a time that has come.
///
/// Times are seconds on one clock that does not run backwards. All calls take the same catalog. A new subset fills itself
/// from the catalog by its first poll, so that a gateway that starts later need not be told what changed before.
pub struct Subset {
    gateway: GatewayHash,
    settings: SubsetSettings,
    /// Of the whole list first, then of each placement class.
    selections: Vec<Selection>,
    target: Target,
    outdated: Outdated,
    /// Whether the members are the target.
    settled: bool,
    members: BTreeMap<EngineKey, Member>,
    /// Whether there are changed members.
    facts_changed: bool,
    newcomers: Newcomers,
    health: Health,
    terms: HoldersTerms,
    table: Option<Arc<HoldersTable>>,
    due: Vec<Action>,
    last_call: f64,
}

impl Subset {
    /// An empty subset of the gateway of this name. It fills by the first poll with a catalog that has engines.
    pub fn new(gateway: &str, settings: SubsetSettings) -> Result<Self, SubsetError> {
        if gateway.is_empty() {
            return Err(SubsetError::UnnamedGateway);
        }
        settings.validate()?;
        let gateway = GatewayHash::new(gateway);
        let of_classes = settings.classes.iter().cloned().map(Some);
        Ok(Subset {
            gateway,
            selections: std::iter::once(None)
                .chain(of_classes)
                .map(Selection::new)
                .collect(),
            target: Target::default(),
            outdated: Outdated::Candidates,
            settled: false,
            members: BTreeMap::new(),
            facts_changed: false,
            newcomers: Newcomers::new(gateway, settings.joins_per_second),
            health: Health::default(),
            terms: HoldersTerms::new(&settings),
            table: None,
            due: Vec::new(),
            last_call: 0.0,
            settings,
        })
    }

    /// Takes in what changed in the catalog, which has it already.
    pub fn changed(&mut self, now: f64, catalog: &Catalog, changes: &[Change]) {
        self.last_call = now;
        // Reading the list once is cheaper than to take in a great part of it one by one.
        if changes.len() > self.wanted(catalog) {
            self.mark(Outdated::Candidates);
        }
        changes
            .iter()
            .for_each(|change| self.take_change(catalog, change));
    }

    fn take_change(&mut self, catalog: &Catalog, change: &Change) {
        let ready = change
            .after
            .filter(|facts| facts.state == ListedState::Ready);
        if ready.is_none() {
            self.leave_list(change.engine);
        } else if let Some(member) = self.members.get_mut(&change.engine) {
            member.changed = true;
            self.facts_changed = true;
        }
        if self.outdated == Outdated::Candidates {
            return;
        }
        let searched = [change.before, change.after].into_iter().flatten();
        let searched =
            searched.filter_map(|facts| RetryDomain::of(&facts, self.settings.retry_scope));
        let mut alters = searched
            .into_iter()
            .any(|domain| self.target.searched.contains(&domain));
        alters |= self.update_candidates(catalog, change);
        alters |= self.effective_size(catalog).size + self.health.widened_by() != self.terms.size;
        if alters {
            self.mark(Outdated::Target);
        }
    }

    /// Whether the change is among the candidates.
    fn update_candidates(&mut self, catalog: &Catalog, change: &Change) -> bool {
        let chooser = Chooser {
            gateway: self.gateway,
            settings: &self.settings,
            catalog,
        };
        // The catalog may have a later state than this change tells.
        let known = chooser
            .ready_facts(change.engine)
            .zip(chooser.score(change.engine));
        let wanted = wanted(&self.settings, &self.newcomers, catalog);
        let mut alters = false;
        for (selection, wanted) in self.selections.iter_mut().zip(wanted) {
            alters |= match known {
                Some((facts, score)) => selection.offer(change.engine, &facts, score, wanted),
                None => selection.withdraw(change.engine),
            };
        }
        alters
    }

    /// An engine takes no new work any more.
    fn leave_list(&mut self, engine: EngineKey) {
        self.newcomers.forget(engine);
        if self.leave(engine) {
            self.newcomers.vacate(self.settings.reserve);
            self.mark(Outdated::Target);
        }
    }

    fn leave(&mut self, engine: EngineKey) -> bool {
        self.health.forget(self.last_call, engine);
        let left = self.members.remove(&engine).is_some();
        if left {
            self.due.push(Action::Leave(engine));
        }
        left
    }

    fn mark(&mut self, outdated: Outdated) {
        self.outdated = self.outdated.max(outdated);
        self.settled = false;
    }

    /// Whether a connection to an engine that was to be warmed came up.
    pub fn warmed(&mut self, now: f64, engine: EngineKey, reached: bool) {
        self.last_call = now;
        if self.newcomers.warmed(now, engine, reached) {
            self.mark(Outdated::Target);
        }
    }

    /// How an attempt at a member ended: whether the engine failed, and not the query.
    pub fn attempted(&mut self, now: f64, engine: EngineKey, failed: bool) {
        if self.members.contains_key(&engine) && self.health.record(now, engine, failed) {
            self.last_call = now;
            self.mark(Outdated::Target);
        }
    }

    /// What is to be done by now.
    pub fn poll(&mut self, now: f64, catalog: &Catalog) -> Vec<Action> {
        self.last_call = now;
        let gave_up = self.newcomers.expire(now);
        let widened = self.health.advance(now, self.settings.reserve);
        if gave_up || widened {
            self.mark(Outdated::Target);
        }
        if self.outdated != Outdated::Nothing {
            self.select(catalog);
        }
        self.refresh_holders(catalog);
        if !self.settled {
            self.settle(now, catalog);
        }
        self.retry_unreached(now, catalog);
        std::mem::take(&mut self.due)
    }

    /// When to poll next, if nothing changes until then.
    pub fn wake(&self) -> Option<f64> {
        if self.outdated != Outdated::Nothing || !self.due.is_empty() {
            return Some(self.last_call);
        }
        let wake = self
            .newcomers
            .wake()
            .into_iter()
            .chain(self.health.wake())
            .reduce(f64::min);
        // A pace near 0 puts the next newcomer off for ever.
        wake.filter(|at| at.is_finite())
    }

    /// The members, and about how many gateways hold each.
    pub fn members(&self) -> impl Iterator<Item = (EngineKey, f64)> + '_ {
        self.members
            .iter()
            .map(|(engine, member)| (*engine, member.holders))
    }

    /// How many engines the subset holds while none fails, and why.
    pub fn effective_size(&self, catalog: &Catalog) -> EffectiveSize {
        EffectiveSize::new(&self.settings, catalog.ready_count())
    }

    /// The placement classes that no engine of the list can serve now.
    pub fn unserved_classes<'a>(
        &'a self,
        catalog: &'a Catalog,
    ) -> impl Iterator<Item = &'a PlacementClass> + 'a {
        self.settings
            .classes
            .iter()
            .filter(|class| catalog.ready().count_in_class(class) == 0)
    }

    /// Engines that the subset holds beyond its size, as members fail.
    pub fn widened_by(&self) -> usize {
        self.health.widened_by()
    }

    /// Members that fail by the gateway's own evidence.
    pub fn unhealthy_members(&self) -> usize {
        self.health.unhealthy_members()
    }

    /// Engines of the subset that could not be reached and are tried again.
    pub fn unreached(&self) -> usize {
        self.newcomers.unreached_count()
    }

    fn chooser<'a>(&'a self, catalog: &'a Catalog) -> Chooser<'a> {
        Chooser {
            gateway: self.gateway,
            settings: &self.settings,
            catalog,
        }
    }

    /// The candidates that the whole list should have.
    fn wanted(&self, catalog: &Catalog) -> usize {
        wanted(&self.settings, &self.newcomers, catalog)
            .next()
            .unwrap_or(self.settings.size)
    }

    /// Works out which engines to hold.
    fn select(&mut self, catalog: &Catalog) {
        self.leave_unready(catalog);
        self.refill_candidates(catalog);
        self.terms.size = self.effective_size(catalog).size + self.health.widened_by();
        self.target = self.selected(catalog, &self.newcomers.unreached());
        if self.newcomers.unreached_count() > 0 && self.target_under_floor(catalog) {
            self.newcomers.forgive_unreached();
            self.target = self.selected(catalog, &BTreeSet::new());
        }
        self.outdated = Outdated::Nothing;
    }

    /// Members leave that the list no longer has as ready, also where the caller told no change.
    fn leave_unready(&mut self, catalog: &Catalog) {
        let chooser = self.chooser(catalog);
        let unready = |engine: &EngineKey| chooser.ready_facts(*engine).is_none();
        let unready: Vec<EngineKey> = self.members.keys().copied().filter(unready).collect();
        unready
            .into_iter()
            .for_each(|engine| self.leave_list(engine));
    }

    /// Whether the engines that can be reached are too few for the subset or for a class.
    fn target_under_floor(&self, catalog: &Catalog) -> bool {
        let facts: Vec<EngineFacts> = self
            .target
            .engines
            .iter()
            .filter_map(|engine| catalog.facts(*engine))
            .collect();
        let class_under_floor = |class: &PlacementClass| {
            let floor = self.floor_of_class(catalog, class);
            facts
                .iter()
                .filter(|facts| class.admits_engine(facts))
                .count()
                < floor
        };
        facts.len() < self.effective_size(catalog).floor()
            || self.settings.classes.iter().any(class_under_floor)
    }

    /// So many members of a class the subset has at least.
    fn floor_of_class(&self, catalog: &Catalog, class: &PlacementClass) -> usize {
        floor_of(
            self.settings
                .class_floor
                .min(catalog.ready().count_in_class(class)),
        )
    }

    fn refill_candidates(&mut self, catalog: &Catalog) {
        let chooser = Chooser {
            gateway: self.gateway,
            settings: &self.settings,
            catalog,
        };
        let wanted = wanted(&self.settings, &self.newcomers, catalog);
        for (selection, wanted) in self.selections.iter_mut().zip(wanted) {
            if self.outdated == Outdated::Candidates || selection.falls_short(wanted) {
                selection.rescan(&chooser, wanted);
            }
        }
    }

    fn selected(&self, catalog: &Catalog, passed_over: &BTreeSet<EngineKey>) -> Target {
        let chooser = self.chooser(catalog);
        let quotas =
            std::iter::once(self.terms.size).chain(std::iter::repeat(self.settings.class_floor));
        let mut target = Target::default();
        for (selection, quota) in self.selections.iter().zip(quotas) {
            selection.select(&chooser, quota, passed_over, &mut target);
        }
        target
    }

    /// Brings the members nearer to the target, as far as floor, reserve and pace let it.
    fn settle(&mut self, now: f64, catalog: &Catalog) {
        let missing = self.missing(catalog);
        let waiting = self.join(catalog, missing);
        if waiting.is_empty() {
            self.newcomers.end_refill();
        }
        self.warm(now, catalog, &waiting);
        self.release(catalog, waiting.is_empty());
        self.newcomers.drop_reached();
        self.settled = waiting.is_empty();
    }

    /// The engines of the target that are no members yet, lowest score first.
    fn missing(&self, catalog: &Catalog) -> Vec<EngineKey> {
        let chooser = self.chooser(catalog);
        let missing = self
            .target
            .engines
            .iter()
            .filter(|engine| !self.members.contains_key(engine));
        let mut missing: Vec<(Score, EngineKey)> = missing
            .filter_map(|engine| chooser.score(*engine).map(|score| (score, *engine)))
            .collect();
        missing.sort_unstable();
        missing.into_iter().map(|(_, engine)| engine).collect()
    }

    /// Joins the engines that have been reached, and those without which the subset or a class is under its floor.
    /// Returns the others.
    fn join(&mut self, catalog: &Catalog, missing: Vec<EngineKey>) -> Vec<EngineKey> {
        // A subset without members serves nobody, so its first members join untried.
        let fill = self.members.is_empty();
        let floor = self
            .effective_size(catalog)
            .floor()
            .min(self.target.engines.len());
        let classes = self.settings.classes.clone();
        let mut shortage = self.class_shortage(catalog, &classes, |class| {
            self.floor_of_class(catalog, class)
        });
        let (mut of_no_class, mut waiting) = (Vec::new(), Vec::new());
        for engine in missing {
            let Some(facts) = catalog.facts(engine) else {
                continue;
            };
            if fill || self.newcomers.is_reached(engine) || shortage.concerns(&facts) {
                shortage.add(&facts);
                self.add_member(engine, &facts);
            } else {
                of_no_class.push((engine, facts));
            }
        }
        for (engine, facts) in of_no_class {
            if self.members.len() < floor {
                self.add_member(engine, &facts);
            } else {
                waiting.push(engine);
            }
        }
        waiting
    }

    fn add_member(&mut self, engine: EngineKey, facts: &EngineFacts) {
        let holders = self
            .table
            .as_ref()
            .map_or(self.settings.gateways, |table| table.holders(facts));
        self.newcomers.forget(engine);
        self.members.insert(
            engine,
            Member {
                holders,
                changed: false,
            },
        );
        self.due.push(Action::Join { engine, holders });
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

    /// Has connections brought up to the engines that wait.
    fn warm(&mut self, now: f64, catalog: &Catalog, waiting: &[EngineKey]) {
        let classes = self.settings.classes.clone();
        let mut shortage = self.class_shortage(catalog, &classes, |_| self.settings.class_floor);
        let mut waits_for_pace = false;
        for engine in waiting {
            let Some(facts) = catalog.facts(*engine) else {
                continue;
            };
            let urgent = shortage.concerns(&facts);
            shortage.add(&facts);
            if self.newcomers.is_warming(*engine) {
                continue;
            }
            if self.newcomers.admit(now, *engine, urgent) {
                self.due.push(Action::Warm(*engine));
            } else {
                waits_for_pace = true;
            }
        }
        if !waits_for_pace {
            self.newcomers.end_wait();
        }
    }

    /// Lets members go that are not in the target.
    fn release(&mut self, catalog: &Catalog, complete: bool) {
        let surplus = self.surplus(catalog);
        let leaving = if complete {
            surplus
        } else {
            self.dispensable(catalog, &surplus)
        };
        for engine in leaving {
            self.leave(engine);
        }
    }

    /// The members that are not in the target, highest score first.
    fn surplus(&self, catalog: &Catalog) -> Vec<EngineKey> {
        let chooser = self.chooser(catalog);
        let surplus = self
            .members
            .keys()
            .filter(|engine| !self.target.engines.contains(engine));
        let mut surplus: Vec<(Option<Score>, EngineKey)> = surplus
            .map(|engine| (chooser.score(*engine), *engine))
            .collect();
        surplus.sort_unstable_by(|a, b| b.cmp(a));
        surplus.into_iter().map(|(_, engine)| engine).collect()
    }

    /// The surplus members that the subset can do without while engines of its target are missing: as many as have
    /// joined in their stead, unless a class would fall under its floor or a member lose its only companion.
    fn dispensable(&self, catalog: &Catalog, surplus: &[EngineKey]) -> Vec<EngineKey> {
        let mut excess = self.members.len().saturating_sub(self.target.engines.len());
        let mut shortage = self.class_shortage(catalog, &self.settings.classes, |_| {
            self.settings.class_floor
        });
        let mut in_domain = self.members_by_domain(catalog);
        let mut leaving = Vec::new();
        for engine in surplus {
            let Some(facts) = catalog.facts(*engine).filter(|_| excess > 0) else {
                break;
            };
            let domain = RetryDomain::of(&facts, self.settings.retry_scope);
            let count = domain.and_then(|domain| in_domain.get_mut(&domain));
            shortage.remove(&facts);
            if shortage.concerns(&facts) || count.as_deref() == Some(&2) {
                shortage.add(&facts);
                continue;
            }
            count.into_iter().for_each(|count| *count -= 1);
            excess -= 1;
            leaving.push(*engine);
        }
        leaving
    }

    fn members_by_domain(&self, catalog: &Catalog) -> BTreeMap<RetryDomain, usize> {
        let mut count: BTreeMap<RetryDomain, usize> = BTreeMap::new();
        let facts = self
            .members
            .keys()
            .filter_map(|engine| catalog.facts(*engine));
        for domain in facts.filter_map(|facts| RetryDomain::of(&facts, self.settings.retry_scope)) {
            *count.entry(domain).or_default() += 1;
        }
        count
    }

    fn retry_unreached(&mut self, now: f64, catalog: &Catalog) {
        for engine in self.newcomers.retries(now) {
            match catalog.facts(engine) {
                Some(_) => self.due.push(Action::Warm(engine)),
                None => self.newcomers.forget(engine),
            }
        }
    }

    /// Tells members whose number of holders or facts have changed.
    fn refresh_holders(&mut self, catalog: &Catalog) {
        let table = catalog.holders(&self.terms);
        let same = self
            .table
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &table));
        let facts_changed = std::mem::take(&mut self.facts_changed);
        if same && !facts_changed {
            return;
        }
        for (engine, member) in &mut self.members {
            let Some(facts) = catalog.facts(*engine) else {
                continue;
            };
            let holders = table.holders(&facts);
            if member.changed || (holders - member.holders).abs() > member.holders * UPDATE_PART {
                *member = Member {
                    holders,
                    changed: false,
                };
                self.due.push(Action::Update {
                    engine: *engine,
                    holders,
                });
            }
        }
        self.table = Some(table);
    }
}

/// The candidates that each selection should have: what may be held, and as many as are passed over.
fn wanted<'a>(
    settings: &'a SubsetSettings,
    newcomers: &Newcomers,
    catalog: &Catalog,
) -> impl Iterator<Item = usize> + 'a {
    let passed_over = newcomers.unreached_count();
    let size = EffectiveSize::new(settings, catalog.ready_count()).size;
    let whole = size
        .saturating_add(settings.reserve)
        .saturating_add(passed_over);
    let class = settings.class_floor.saturating_add(passed_over);
    std::iter::once(whole).chain(std::iter::repeat(class))
}
