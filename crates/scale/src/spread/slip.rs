//! Faults put in on purpose between the ways and the measures: the judge has to find each of them.

use super::population::Change;
use super::ways::Assignment;
use serde::Deserialize;
use std::sync::Arc;

/// A fault in what `garnetwall-subset` chose.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Slip {
    /// No gateway holds the first engine.
    UnheldEngine,
    /// After a change of engines each gateway has the subset of its neighbour.
    NeedlessMoves,
    /// After a change of gateways each gateway has the subset of its neighbour.
    MovesWithGateways,
    /// One gateway holds an engine less than it should.
    OneMemberLacks,
    /// Each gateway takes itself for the only one that holds its engines.
    HoldersUntold,
    /// When all that was lost has come back each gateway has the subset of its neighbour.
    NoReturn,
}

/// When a choice was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    First,
    After(Change),
    /// All that was lost has come back.
    Returned,
}

impl Slip {
    /// Puts the fault into a choice.
    pub fn apply(self, moment: Moment, assignment: &mut Assignment) {
        match (self, moment) {
            (Slip::UnheldEngine, Moment::First) => {
                assignment.held.iter_mut().for_each(drop_first_engine)
            }
            (
                Slip::NeedlessMoves,
                Moment::After(Change::OneEngine | Change::Rack | Change::Zone),
            ) => {
                assignment.held.rotate_left(1);
            }
            (Slip::MovesWithGateways, Moment::After(Change::Gateways)) => {
                assignment.held.rotate_left(1)
            }
            (Slip::NoReturn, Moment::Returned) => assignment.held.rotate_left(1),
            (Slip::OneMemberLacks, Moment::First) => {
                let held = &mut assignment.held[0];
                *held = held[..held.len() - 1].into();
            }
            (Slip::HoldersUntold, Moment::First) => {
                assignment
                    .told_holders
                    .iter_mut()
                    .for_each(|told| told.fill(1.0));
            }
            _ => {}
        }
    }
}

fn drop_first_engine(held: &mut Arc<[u32]>) {
    *held = held.iter().copied().filter(|engine| *engine != 0).collect();
}
