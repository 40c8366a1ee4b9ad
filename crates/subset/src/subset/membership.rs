//! Adds and removes members, and reports changes of their facts and numbers of holders.

use super::member::Member;
use super::{Action, Outdated, Subset};
use crate::catalog::Catalog;
use crate::engine::{EngineFacts, EngineKey};
use std::sync::Arc;

/// The number of holders of a member is reported again when it has changed by more than this fraction. Each change of
/// the list changes the numbers of all members slightly, and reporting every change would update all members each time.
const HOLDERS_UPDATE_FRACTION: f64 = 0.05;

impl Subset {
    pub(super) fn add_member(&mut self, engine: EngineKey, facts: &EngineFacts) {
        let holders = self
            .table
            .as_ref()
            .map_or(self.settings.gateways, |table| table.holders(facts));
        let member = Member {
            holders,
            facts_changed: false,
        };
        self.join_queue.forget(engine);
        self.members.insert(engine, member);
        self.pending_actions.push(Action::Join { engine, holders });
    }

    /// Removes an engine that takes no new work any more, and allows one refill if the engine was a member.
    pub(super) fn remove_unready(&mut self, engine: EngineKey) {
        self.join_queue.forget(engine);
        if self.remove_member(engine) {
            self.join_queue.add_refill(self.settings.reserve);
            self.invalidate(Outdated::Target);
        }
    }

    /// Removes an engine from the members. Returns whether it was a member.
    pub(super) fn remove_member(&mut self, engine: EngineKey) -> bool {
        self.health.forget(self.last_call, engine);
        let was_member = self.members.remove(&engine).is_some();
        if was_member {
            self.pending_actions.push(Action::Leave(engine));
        }
        was_member
    }

    /// Adds an [`Action::Update`] for each member whose facts have changed, or whose number of holders has changed by
    /// more than [`HOLDERS_UPDATE_FRACTION`].
    pub(super) fn refresh_holders(&mut self, catalog: &Catalog) {
        let table = catalog.holders(&self.parameters);
        let is_same_table = self
            .table
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &table));
        let facts_changed = std::mem::take(&mut self.facts_changed);
        if is_same_table && !facts_changed {
            return;
        }
        for (&engine, member) in &mut self.members {
            let Some(facts) = catalog.facts(engine) else {
                continue;
            };
            let holders = table.holders(&facts);
            let change = (holders - member.holders).abs();
            if member.facts_changed || change > member.holders * HOLDERS_UPDATE_FRACTION {
                member.holders = holders;
                member.facts_changed = false;
                self.pending_actions
                    .push(Action::Update { engine, holders });
            }
        }
        self.table = Some(table);
    }
}
