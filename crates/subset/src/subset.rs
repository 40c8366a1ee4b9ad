//! Maintains the subset of one gateway: takes changes of the list and outcomes of connections and attempts, and returns
//! [`Action`]s.
//!
//! `target` chooses the engines to hold, `transition` moves the members towards this target, and `membership` adds and
//! removes members and reports changes of their facts and numbers of holders.

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

/// The parts of the choice that the next poll must compute again. Each variant includes the ones before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outdated {
    Nothing,
    /// The engines to hold, from the present candidates.
    Target,
    /// The candidates, which requires a scan of the whole list.
    Candidates,
}

/// The engines that one gateway uses.
///
/// Callers must call [`Subset::poll`] after every other call that takes `&mut self`, and no later than the time that
/// [`Subset::wake`] returns. After [`Subset::attempt_ended`], a poll is needed only if [`Subset::wake`] returns a time
/// that has been reached.
///
/// Times are seconds on one monotonic clock. All calls must pass the same catalog. The first poll fills the subset from
/// the catalog, so a gateway that starts late does not need earlier changes.
pub struct Subset {
    gateway: GatewayHash,
    settings: SubsetSettings,
    /// The selection from the whole list, then one for each placement class.
    selections: Vec<Selection>,
    target: Target,
    outdated: Outdated,
    /// Whether the members equal the target.
    settled: bool,
    members: BTreeMap<EngineKey, Member>,
    /// Whether any member has `facts_changed` set.
    facts_changed: bool,
    join_queue: JoinQueue,
    health: MemberHealth,
    parameters: HoldersParameters,
    table: Option<Arc<HoldersTable>>,
    pending_actions: Vec<Action>,
    last_call: f64,
}

impl Subset {
    /// Creates an empty subset for the gateway with this name. The first poll with a catalog that has engines fills it.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is empty or [`SubsetSettings::validate`] rejects the settings.
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

    /// Processes changes that [`Catalog::apply`] returned. `catalog` must already contain them.
    pub fn changed(&mut self, now: f64, catalog: &Catalog, changes: &[Change]) {
        self.last_call = now;
        // Scanning the list once is cheaper than processing many changes one by one.
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
            self.remove_unready(change.engine);
        } else if let Some(member) = self.members.get_mut(&change.engine) {
            member.facts_changed = true;
            self.facts_changed = true;
        }
        if self.outdated == Outdated::Candidates {
            return;
        }
        let was_candidate = self.update_candidates(catalog, change);
        let size = self.effective_size(catalog).size + self.health.widened_by();
        if was_candidate || size != self.parameters.size || self.is_in_searched_domain(change) {
            self.invalidate(Outdated::Target);
        }
    }

    /// Returns whether the engine is or was in a retry domain in which a companion was searched for among all listed
    /// engines. The target may then depend on the engine even if it is not a candidate.
    fn is_in_searched_domain(&self, change: &Change) -> bool {
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

    /// Records the outcome of a connection that [`Action::Connect`] requested.
    pub fn connect_ended(&mut self, now: f64, engine: EngineKey, outcome: ConnectOutcome) {
        self.last_call = now;
        if self.join_queue.connect_ended(now, engine, outcome) {
            self.invalidate(Outdated::Target);
        }
    }

    /// Records the outcome of an attempt at an engine. Outcomes of engines that are not members are ignored.
    pub fn attempt_ended(&mut self, now: f64, engine: EngineKey, outcome: EngineOutcome) {
        if self.members.contains_key(&engine) && self.health.record(now, engine, outcome) {
            self.last_call = now;
            self.invalidate(Outdated::Target);
        }
    }

    /// Updates the subset and returns the actions that the caller must perform now.
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

    /// Returns when to poll next if nothing is reported until then, or `None` if no poll is needed.
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
        // With a very low pace, the time of the next join is infinite.
        wake.filter(|at| at.is_finite())
    }

    /// Iterates over the members with the estimated number of gateways that hold each.
    pub fn members(&self) -> impl Iterator<Item = (EngineKey, f64)> + '_ {
        self.members
            .iter()
            .map(|(engine, member)| (*engine, member.holders))
    }

    /// Returns the number of engines that the subset holds while no member is unhealthy, and the reason for the number.
    pub fn effective_size(&self, catalog: &Catalog) -> EffectiveSize {
        EffectiveSize::new(&self.settings, catalog.ready_count())
    }

    /// Iterates over the placement classes that no ready engine of the list can serve.
    pub fn unserved_classes<'a>(
        &'a self,
        catalog: &'a Catalog,
    ) -> impl Iterator<Item = &'a PlacementClass> + 'a {
        self.settings
            .classes
            .iter()
            .filter(|class| catalog.ready().count_in_class(class) == 0)
    }

    /// Returns the number of engines that the subset currently holds beyond its size because of unhealthy members.
    pub fn widened_by(&self) -> usize {
        self.health.widened_by()
    }

    /// Returns the number of members that are unhealthy by the outcomes of the gateway's own attempts.
    pub fn unhealthy_members(&self) -> usize {
        self.health.unhealthy_members()
    }

    /// Returns the number of engines that could not be reached and will be retried.
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
