use super::*;
use crate::discovery::event::EngineEntry;

/// Returns an entry of an engine at an address of its own.
fn entry(name: &str, state: EndpointState) -> EngineEntry {
    let port = name.bytes().map(u16::from).sum();
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    EngineEntry {
        name: name.into(),
        address,
        zone: 0,
        kind: 0,
        cell: 0,
        started_at_unix: None,
        state,
    }
}

/// Without a subset, the updates are the log's entries in the same order, and have the same scope.
#[test]
fn updates_without_a_subset_equal_the_entries_of_the_log() {
    let list = EngineList::new(Duration::from_secs(20), Clock::start(), None);
    let ready = |name: &str| entry(name, EndpointState::Ready);
    let removed = |name: &str| entry(name, EndpointState::Removed);
    for (scope, entries, engines) in [
        (
            ListScope::Full,
            vec![ready("b"), ready("a"), ready("c")],
            vec![0, 1, 2],
        ),
        (
            ListScope::Delta,
            vec![ready("c"), ready("c"), removed("a"), removed("x")],
            vec![2, 2, 1],
        ),
        (ListScope::Delta, vec![], vec![]),
        (
            ListScope::Full,
            vec![ready("d"), entry("b", EndpointState::Draining)],
            vec![3, 0],
        ),
        (ListScope::Full, vec![], vec![]),
    ] {
        let change = list.apply(Event {
            number: 1,
            scope,
            entries: entries.clone(),
        });
        assert_eq!(change.scope, scope);
        assert_eq!(
            change
                .updates
                .iter()
                .map(|update| update.endpoint.engine)
                .collect::<Vec<_>>(),
            engines
        );
        let expected = entries.iter().filter(|entry| entry.name != "x");
        for (update, entry) in change.updates.iter().zip(expected) {
            let Endpoint {
                zone,
                kind,
                cell,
                started_at,
                state,
                gateways: holders,
                ..
            } = update.endpoint;
            assert_eq!((&update.name, update.address), (&entry.name, entry.address));
            assert_eq!((zone, kind, cell), (entry.zone, entry.kind, entry.cell));
            assert_eq!(
                (started_at, state, holders),
                (entry.started_at_unix, entry.state, None)
            );
        }
    }
}

/// The log's clock may differ from the process clock by seconds or an hour. Regardless of that, the engine reported as
/// started last counts as started at the report, no engine counts as started in the future, and none as older than the
/// log reports.
#[test]
fn start_on_another_clock_is_converted_to_its_latest_possible_time() {
    for clock_offset in [-3600.0, -7.0, 0.0, 7.0, 3600.0] {
        let clock = Clock::start();
        let list = EngineList::new(Duration::from_secs(20), clock, None);
        let now = clock.now();
        let started = |name: &str, ago: f64| EngineEntry {
            started_at_unix: Some(now + clock_offset - ago),
            ..entry(name, EndpointState::Ready)
        };
        let entries = vec![
            started("new", 0.0),
            started("old", 600.0),
            entry("long ago", EndpointState::Ready),
        ];
        let first = list.apply(Event {
            number: 1,
            scope: ListScope::Full,
            entries: entries.clone(),
        });
        let age = |update: &EngineUpdate| update.endpoint.started_at.map(|at| now - at);
        let ages: Vec<_> = first.updates.iter().map(age).collect();
        assert!(
            ages[0].is_some_and(|age| (-0.5..0.5).contains(&age)),
            "{clock_offset}: {ages:?}"
        );
        assert!(
            ages[1].is_some_and(|age| (-0.5..600.5).contains(&age)),
            "{clock_offset}: {ages:?}"
        );
        assert_eq!(ages[2], None);
        // The start keeps its converted time when it is reported again, even with a newer start in the same event.
        let later = list.apply(Event {
            number: 2,
            scope: ListScope::Delta,
            entries: vec![started("newer", -30.0), entries[0].clone()],
        });
        assert_eq!(
            later.updates[1].endpoint.started_at,
            first.updates[0].endpoint.started_at
        );
    }
}
