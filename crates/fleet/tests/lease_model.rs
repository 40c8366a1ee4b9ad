//! Every order of events of a small fleet, by exhaustive search: three issuers, two gateways, one resource, with loss,
//! duplicates, reordering, pause and restart of each at every step, and clocks that drift at the bound: issuers' fast,
//! holders' slow. Checked in every state: never two holders at once, and epochs grow. An injected bug must be found, with
//! its trace.

mod fleet_model;

use fleet_model::{Event, EventBudget, FleetState, InjectedBug, ONE_REQUEST_EACH};
use std::collections::HashSet;

/// A violated invariant, and the events that led there.
#[derive(Debug)]
struct Violation {
    invariant: String,
    trace: Vec<Event>,
}

struct SearchResult {
    states: usize,
    /// Events after which the resource was held or had been.
    holdings: usize,
    violation: Option<Violation>,
}

/// A state on the path of the search, the events that are still to be tried there, and the one that led there.
struct PathEntry {
    state: FleetState,
    untried: Vec<Event>,
    led_by: Option<Event>,
}

/// Searches all states depth first.
fn search(bug: InjectedBug, budget: EventBudget) -> SearchResult {
    let start = FleetState::new(bug, budget);
    let mut visited = HashSet::from([start.fingerprint()]);
    let mut holdings = 0;
    let mut path = vec![PathEntry {
        untried: start.events(),
        state: start,
        led_by: None,
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
            let earlier = path.iter().filter_map(|entry| entry.led_by.clone());
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
                led_by: Some(event),
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
    // Each explores another corner; all at once are too many states for a test of seconds.
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
            "{name}: no gateway ever held it, so nothing was checked"
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
            .unwrap_or_else(|| panic!("{bug:?} was not found"));
        println!("{bug:?}: {invariant} after {trace:#?}");
        assert!(invariant.contains("two holders"), "{invariant}");
        assert!(
            search(InjectedBug::None, budget).violation.is_none(),
            "without the bug nothing is wrong"
        );
    }
}
