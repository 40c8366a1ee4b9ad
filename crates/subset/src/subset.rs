//! One gateway's subset: it is told changes of the list and the outcomes of attempts, and answers with [`Action`]s.
//!
//! `target` chooses the engines to hold, `transition` moves the members towards that target, and `membership` adds and
//! removes members and reports what changed of them.

mod action;
mod member;
mod membership;
mod target;
mod transition;

pub use action::Action;

use crate::catalog::Catalog;
use crate::engine::{Change, EngineKey, ListedState};
use crate::health::{EngineOutcome, MemberHealth};
use crate::holders::{HoldersParameters, HoldersTable};
use crate::join_queue::{ConnectOutcome, JoinQueue};
use crate::ready::RetryDomain;
use crate::score::GatewayHash;
use crate::selection::{Scorer, Selection, Target};
use crate::settings::{PlacementClass, SubsetError, SubsetSettings};
use crate::size::EffectiveSize;
use member::Member;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What the next poll has to work out again.
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
/// Call [`Subset::poll`] after every other call that takes `&mut self`, and by the time that [`Subset::wake`] returns. After
/// [`Subset::attempt_ended`] that is needed only when [`Subset::wake`] returns a time that has come.
///
/// Times are seconds on one clock that does not run backwards. All calls take the same catalog. A new subset fills itself
/// from the catalog by its first poll, so a gateway that starts later needs no earlier changes.
pub struct Subset {
    gateway: GatewayHash,
    settings: SubsetSettings,
    /// Of the whole list first, then of each placement class.
    selections: Vec<Selection>,
    target: Target,
    outdated: Outdated,
    /// The members are the target.
    settled: bool,
    members: BTreeMap<EngineKey, Member>,
    /// There are members whose facts changed.
    facts_changed: bool,
    join_queue: JoinQueue,
    health: MemberHealth,
    parameters: HoldersParameters,
    table: Option<Arc<HoldersTable>>,
    pending_actions: Vec<Action>,
    last_call: f64,
}

impl Subset {
    /// An empty subset of the gateway of this name. It fills by the first poll with a catalog that has engines.
    ///
    /// # Errors
    ///
    /// The name is empty, or no subset can be chosen by the settings.
    pub fn new(gateway: &str, settings: SubsetSettings) -> Result<Self, SubsetError> {
        if gateway.is_empty() {
            return Err(SubsetError::UnnamedGateway);
        }
        settings.validate()?;
        let gateway = GatewayHash::new(gateway);
        let classes = settings.classes.iter().cloned().map(Some);
        let selections = std::iter::once(None).chain(classes).map(Selection::new);
        Ok(Subset {
            gateway,
            selections: selections.collect(),
            target: Target::default(),
            outdated: Outdated::Candidates,
            settled: false,
            members: BTreeMap::new(),
            facts_changed: false,
            join_queue: JoinQueue::new(gateway, settings.joins_per_second),
            health: MemberHealth::default(),
            parameters: HoldersParameters::new(&settings),
            table: None,
            pending_actions: Vec::new(),
            last_call: 0.0,
            settings,
        })
    }

    /// Applies changes of the catalog, which has them already.
    pub fn changed(&mut self, now: f64, catalog: &Catalog, changes: &[Change]) {
        self.last_call = now;
        // To read the list once is cheaper than to take in a great part of it one by one.
        if changes.len() > self.candidates_wanted(catalog) {
            self.invalidate(Outdated::Candidates);
        }
        for change in changes {
            self.apply_change(catalog, change);
        }
    }

    fn apply_change(&mut self, catalog: &Catalog, change: &Change) {
        let is_ready = change
            .after
            .is_some_and(|facts| facts.state == ListedState::Ready);
        if !is_ready {
            self.leave_list(change.engine);
        } else if let Some(member) = self.members.get_mut(&change.engine) {
            member.facts_changed = true;
            self.facts_changed = true;
        }
        if self.outdated == Outdated::Candidates {
            return;
        }
        let was_candidate = self.update_candidates(catalog, change);
        let size = self.effective_size(catalog).size + self.health.widened_by();
        if was_candidate || size != self.parameters.size || self.concerns_searched_domain(change) {
            self.invalidate(Outdated::Target);
        }
    }

    /// Whether the engine is, or was, in a domain whose engines of the whole list matter to the target.
    fn concerns_searched_domain(&self, change: &Change) -> bool {
        [change.before, change.after]
            .into_iter()
            .flatten()
            .filter_map(|facts| RetryDomain::of(&facts, self.settings.retry_scope))
            .any(|domain| self.target.searched.contains(&domain))
    }

    fn invalidate(&mut self, outdated: Outdated) {
        self.outdated = self.outdated.max(outdated);
        self.settled = false;
    }

    /// Records whether the connection that [`Action::Connect`] asked for was made.
    pub fn connect_ended(&mut self, now: f64, engine: EngineKey, outcome: ConnectOutcome) {
        self.last_call = now;
        if self.join_queue.connect_ended(now, engine, outcome) {
            self.invalidate(Outdated::Target);
        }
    }

    /// Records what the end of an attempt says of its engine, where that is a member.
    pub fn attempt_ended(&mut self, now: f64, engine: EngineKey, outcome: EngineOutcome) {
        if self.members.contains_key(&engine) && self.health.record(now, engine, outcome) {
            self.last_call = now;
            self.invalidate(Outdated::Target);
        }
    }

    /// What is to be done by now.
    pub fn poll(&mut self, now: f64, catalog: &Catalog) -> Vec<Action> {
        self.last_call = now;
        let expired = self.join_queue.expire_connecting(now);
        let resized = self.health.advance(now, self.settings.reserve);
        if expired || resized {
            self.invalidate(Outdated::Target);
        }
        if self.outdated != Outdated::Nothing {
            self.select(catalog);
        }
        self.refresh_holders(catalog);
        if !self.settled {
            self.settle(now, catalog);
        }
        self.retry_unreached(now, catalog);
        std::mem::take(&mut self.pending_actions)
    }

    /// When to poll next, if nothing changes until then.
    pub fn wake(&self) -> Option<f64> {
        if self.outdated != Outdated::Nothing || !self.pending_actions.is_empty() {
            return Some(self.last_call);
        }
        let wake = self
            .join_queue
            .wake()
            .into_iter()
            .chain(self.health.wake())
            .reduce(f64::min);
        // A pace near 0 puts the next joining engine off for ever.
        wake.filter(|at| at.is_finite())
    }

    /// The members, and about how many gateways hold each.
    pub fn members(&self) -> impl Iterator<Item = (EngineKey, f64)> + '_ {
        self.members
            .iter()
            .map(|(engine, member)| (*engine, member.holders))
    }

    /// How many engines the subset holds while no member fails, and why.
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

    /// The number of engines that the subset holds beyond its size, as members fail.
    pub fn widened_by(&self) -> usize {
        self.health.widened_by()
    }

    /// The number of members that fail by the outcomes of the gateway's own attempts.
    pub fn unhealthy_members(&self) -> usize {
        self.health.unhealthy_members()
    }

    /// The number of engines that could not be reached and are tried again.
    pub fn unreached(&self) -> usize {
        self.join_queue.unreached_count()
    }

    fn scorer<'a>(&'a self, catalog: &'a Catalog) -> Scorer<'a> {
        Scorer {
            gateway: self.gateway,
            settings: &self.settings,
            catalog,
        }
    }
}
