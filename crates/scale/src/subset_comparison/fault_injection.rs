//! Injects faults into the subsets that a strategy chose, before they are measured.

use super::injected_fault::InjectedFault;
use super::population::Change;
use super::strategy::Assignment;
use std::sync::Arc;

/// Point of a comparison at which subsets were chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// Before any change.
    First,
    /// After a change.
    After(Change),
    /// After all lost engines and gateways have been restored.
    Restored,
}

/// Applies the fault to the assignment, if the fault concerns this moment.
pub fn inject(fault: InjectedFault, moment: Moment, assignment: &mut Assignment) {
    match (fault, moment) {
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

fn drop_first_engine(held: &mut Arc<[u32]>) {
    *held = held.iter().copied().filter(|engine| *engine != 0).collect();
}
