//! Adds and removes members, and reports what changed of them.

use super::member::Member;
use super::{Action, Outdated, Subset};
use crate::catalog::Catalog;
use crate::engine::{EngineFacts, EngineKey};
use std::sync::Arc;

/// A member's number of holders is reported again when it has changed by more than this fraction: each change of the list
/// moves the numbers of all members a little.
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

    /// An engine of the list takes no new work any more.
    pub(super) fn leave_list(&mut self, engine: EngineKey) {
        self.join_queue.forget(engine);
        if self.remove_member(engine) {
            self.join_queue.add_refill(self.settings.reserve);
            self.invalidate(Outdated::Target);
        }
    }

    /// Removes a member; whether it was one.
    pub(super) fn remove_member(&mut self, engine: EngineKey) -> bool {
        self.health.forget(self.last_call, engine);
        let was_member = self.members.remove(&engine).is_some();
        if was_member {
            self.pending_actions.push(Action::Leave(engine));
        }
        was_member
    }

    /// Reports members whose facts or number of holders have changed.
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
