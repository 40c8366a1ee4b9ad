//! Faults injected between the strategies and the measures: the judge has to find each of them.

use super::population::Change;
use super::strategies::Assignment;
use serde::Deserialize;
use std::sync::Arc;

/// A fault in what `garnetwall-subset` chose.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// No gateway holds the first engine.
    UnheldEngine,
    /// After a change of engines each gateway has the subset of its neighbour.
    NeedlessMoves,
    /// After a change of gateways each gateway has the subset of its neighbour.
    MovesWithGateways,
    /// One gateway holds one engine too few.
    OneMemberLacks,
    /// Each gateway counts only itself as a holder of its engines.
    HoldersUntold,
    /// When all that was lost is restored each gateway has the subset of its neighbour.
    NoReturn,
}

/// When a choice was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    First,
    After(Change),
    /// All that was lost is restored.
    Restored,
}

impl InjectedFault {
    /// Injects the fault into a choice.
    pub fn apply(self, moment: Moment, assignment: &mut Assignment) {
        match (self, moment) {
            (InjectedFault::UnheldEngine, Moment::First) => {
                assignment.held.iter_mut().for_each(drop_first_engine)
            }
            (
                InjectedFault::NeedlessMoves,
                Moment::After(Change::OneEngine | Change::Rack | Change::Zone),
            ) => {
                assignment.held.rotate_left(1);
            }
            (InjectedFault::MovesWithGateways, Moment::After(Change::Gateways)) => {
                assignment.held.rotate_left(1)
            }
            (InjectedFault::NoReturn, Moment::Restored) => assignment.held.rotate_left(1),
            (InjectedFault::OneMemberLacks, Moment::First) => {
                let held = &mut assignment.held[0];
                *held = held[..held.len() - 1].into();
            }
            (InjectedFault::HoldersUntold, Moment::First) => {
                assignment
                    .holder_counts
                    .iter_mut()
                    .for_each(|counts| counts.fill(1.0));
            }
            _ => {}
        }
    }
}

fn drop_first_engine(held: &mut Arc<[u32]>) {
    *held = held.iter().copied().filter(|engine| *engine != 0).collect();
}
