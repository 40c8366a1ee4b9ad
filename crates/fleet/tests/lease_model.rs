//! Checks leases in every order of events of a small fleet, by exhaustive search.
//!
//! The fleet has three issuers, two holders and one resource. Messages may be lost, duplicated and reordered, gateways
//! may pause and restart at every step, and clocks drift at the bound: the issuers' clocks are fast, the holders' slow.
//! In every state there may be at most one holder, and each new holding must have a higher epoch. The search must find
//! bugs that are injected on purpose, with a trace of the events.

mod fleet_model;

use fleet_model::{Event, EventBudget, FleetState, InjectedBug, ONE_REQUEST_EACH};
use std::collections::HashSet;

/// A violated invariant and the events that led to the violation.
#[derive(Debug)]
struct Violation {
    invariant: String,
    trace: Vec<Event>,
}

struct SearchResult {
    /// The number of different states that were visited.
    states: usize,
    /// The number of events after which the resource was held or had been held before.
    holdings: usize,
    violation: Option<Violation>,
}

/// A state on the current path of the search, the events that are still to be tried from it, and the event that led to
/// it.
struct PathEntry {
    state: FleetState,
    untried: Vec<Event>,
    last_event: Option<Event>,
}

/// Searches all states depth first, until an invariant is violated or all events of the budget are used up.
fn search(bug: InjectedBug, budget: EventBudget) -> SearchResult {
    let start = FleetState::new(bug, budget);
    let mut visited = HashSet::from([start.fingerprint()]);
    let mut holdings = 0;
    let mut path = vec![PathEntry {
        untried: start.events(),
        state: start,
        last_event: None,
    }];
    while let Some(entry) = path.last_mut() {
        let Some(event) = entry.untried.pop() else {
            path.pop();
            continue;
        };
        let mut next = entry.state.clone();
        next.apply(&event, bug);
        let violation = next.violation();
        holdings += usize::from(next.last_holding.is_some());
        if let Some(invariant) = violation {
            let earlier = path.iter().filter_map(|entry| entry.last_event.clone());
            let trace = earlier.chain([event]).collect();
            return SearchResult {
                states: visited.len(),
                holdings,
                violation: Some(Violation { invariant, trace }),
            };
        }
        if visited.insert(next.fingerprint()) {
            path.push(PathEntry {
                untried: next.events(),
                state: next,
                last_event: Some(event),
            });
        }
    }
    SearchResult {
        states: visited.len(),
        holdings,
        violation: None,
    }
}

#[test]
fn never_two_holders_and_epochs_grow_in_every_order_of_events() {
    // Each budget allows another kind of event. With all kinds in one budget there are too many states to search in a
    // test.
    let steps = EventBudget {
        steps: 2,
        ..ONE_REQUEST_EACH
    };
    let restart = EventBudget {
        steps: 1,
        restarts: 1,
        ..ONE_REQUEST_EACH
    };
    let release = EventBudget {
        requests: [2, 1],
        releases: 1,
        ..ONE_REQUEST_EACH
    };
    let duplicate = EventBudget {
        steps: 1,
        duplicates: 1,
        ..ONE_REQUEST_EACH
    };
    for (name, budget) in [
        ("steps", steps),
        ("restart", restart),
        ("release", release),
        ("duplicate", duplicate),
    ] {
        let result = search(InjectedBug::None, budget);
        println!(
            "{name}: {} states, {} with a holder so far",
            result.states, result.holdings
        );
        assert!(
            result.violation.is_none(),
            "{name}: {:#?}",
            result.violation
        );
        assert!(
            result.holdings > 0,
            "{name}: no gateway held the resource, so that nothing was checked"
        );
    }
}

#[test]
fn search_finds_two_holders_without_drift_margin_or_startup_silence() {
    let steps = EventBudget {
        steps: 2,
        ..ONE_REQUEST_EACH
    };
    let restart = EventBudget {
        restarts: 1,
        ..ONE_REQUEST_EACH
    };
    for (bug, budget) in [
        (InjectedBug::NoDriftMargin, steps),
        (InjectedBug::NoStartupSilence, restart),
    ] {
        let Violation { invariant, trace } = search(bug, budget)
            .violation
            .unwrap_or_else(|| panic!("the search did not find {bug:?}"));
        println!("{bug:?}: {invariant} after {trace:#?}");
        assert!(invariant.contains("two holders"), "{invariant}");
        assert!(
            search(InjectedBug::None, budget).violation.is_none(),
            "an invariant is violated without the bug"
        );
    }
}
