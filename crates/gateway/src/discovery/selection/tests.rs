use super::*;
use garnetwall_subset::RetryScope;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const ENGINES: u8 = 30;

fn settings(size: usize) -> SubsetSettings {
    SubsetSettings {
        size,
        class_floor: 2,
        reserve: 4,
        joins_per_second: 5.0,
        zone: None,
        near_weight: 1.0,
        gateways: 500.0,
        classes: Vec::new(),
        retry_scope: RetryScope::Everywhere,
    }
}

fn entry(number: u8, state: EndpointState, started: u8) -> EngineEntry {
    let address = SocketAddr::from(([127, 0, 0, 1], 4100 + u16::from(number)));
    let (zone, started_at_unix) = (u32::from(number % 3), Some(f64::from(started)));
    EngineEntry {
        name: format!("e{number}"),
        address,
        zone,
        kind: 0,
        cell: 0,
        started_at_unix,
        state,
    }
}

/// The decision module's view: the last update of each engine that it received.
#[derive(Default)]
struct ModuleView(BTreeMap<String, EngineEntry>);

impl ModuleView {
    fn update(&mut self, selected: Vec<SelectedEngine>) {
        self.0.extend(
            selected
                .into_iter()
                .map(|s| (s.entry.name.clone(), s.entry)),
        );
    }

    fn ready(&self) -> impl Iterator<Item = &EngineEntry> {
        self.0
            .values()
            .filter(|entry| entry.state == EndpointState::Ready)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(37), ..ProptestConfig::default() })]

    /// Each engine that the decision module holds as ready has the same entry in the list, so no draining or removed
    /// engine stays ready after an event. If any engine in the list is ready, the decision module holds at least one.
    #[test]
    fn members_are_ready_and_equal_their_list_entries(
        events in proptest::collection::vec(
            (any::<bool>(), proptest::collection::vec((0..ENGINES, 0_u8..6, 0_u8..3), 0..40), any::<bool>()), 1..20)
    ) {
        let mut selection = SubsetSelection::new("g0", settings(8), vec![Some(16.0)]).unwrap();
        let (mut module, mut list, mut now) = (ModuleView::default(), BTreeMap::new(), 100.0);
        for (is_full, entries, is_reached) in events {
            let scope = if is_full { ListScope::Full } else { ListScope::Delta };
            let reachability = match is_reached {
                true => Reachability::Reachable,
                false => Reachability::Unreachable,
            };
            let state = |c| [EndpointState::Draining, EndpointState::Removed].get(usize::from(c)).copied();
            let of = |(n, c, started): &(u8, u8, u8)| entry(*n, state(*c).unwrap_or(EndpointState::Ready), *started);
            let entries: Vec<EngineEntry> = entries.iter().map(of).collect();
            if is_full {
                list.clear();
            }
            list.extend(entries.iter().map(|entry| (entry.name.clone(), entry.clone())));
            module.update(selection.apply(now, entries, scope));
            for step in 0..5 {
                for entry in module.ready() {
                    prop_assert_eq!(Some(entry), list.get(&entry.name), "in step {} at {} s", step, now);
                }
                let ready = list.values().filter(|entry| entry.state == EndpointState::Ready).count();
                prop_assert!(module.ready().count() >= ready.min(1), "in step {} at {} s", step, now);
                prop_assert_eq!(module.ready().count(), selection.status().members);
                while let Some(candidate) = selection.next_candidate(now) {
                    selection.connect_ended(now, candidate.engine, reachability);
                }
                now += 0.5;
                module.update(selection.poll(now));
            }
        }
    }
}

/// A leaving member is returned as removed exactly once. It keeps its zone and cell, which determine where its queries
/// may be retried.
#[test]
fn leaving_member_is_removed_once_with_its_listed_entry() {
    let mut selection = SubsetSelection::new("g0", settings(8), Vec::new()).unwrap();
    let entries = (0..4).map(|n| entry(n, EndpointState::Ready, 1)).collect();
    assert_eq!(selection.apply(0.0, entries, ListScope::Full).len(), 4);
    let selected = selection.apply(
        1.0,
        vec![entry(2, EndpointState::Draining, 1)],
        ListScope::Delta,
    );
    assert_eq!(
        selected
            .iter()
            .map(|selected| &selected.entry)
            .collect::<Vec<_>>(),
        [&entry(2, EndpointState::Removed, 1)]
    );
    assert_eq!(
        selection.apply(
            2.0,
            vec![entry(2, EndpointState::Removed, 1)],
            ListScope::Delta
        ),
        []
    );
}

/// Changed details of a member reach the decision module though the choice of members does not depend on them.
#[test]
fn restarted_member_is_returned_again() {
    let mut selection = SubsetSelection::new("g0", settings(8), Vec::new()).unwrap();
    assert_eq!(
        selection
            .apply(
                0.0,
                vec![entry(1, EndpointState::Ready, 1)],
                ListScope::Full
            )
            .len(),
        1
    );
    assert_eq!(
        selection.apply(
            1.0,
            vec![entry(1, EndpointState::Ready, 1)],
            ListScope::Full
        ),
        [],
        "the entry is unchanged"
    );
    let selected = selection.apply(
        2.0,
        vec![entry(1, EndpointState::Ready, 2)],
        ListScope::Full,
    );
    assert_eq!(
        selected
            .iter()
            .map(|selected| &selected.entry)
            .collect::<Vec<_>>(),
        [&entry(1, EndpointState::Ready, 2)]
    );
}

/// Where the configured size would leave engines with too few gateways, the subset is larger and the status gives the
/// reason.
#[test]
fn size_under_the_minimum_is_raised_and_reported() {
    let of = |gateways| SubsetSettings {
        gateways,
        ..settings(8)
    };
    for (gateways, size, reason) in [
        (500.0, 8, SizeReason::Configured),
        (60.0, 12, SizeReason::MinHolders),
    ] {
        let mut selection = SubsetSelection::new("g0", of(gateways), Vec::new()).unwrap();
        selection.apply(
            0.0,
            (0..ENGINES)
                .map(|n| entry(n, EndpointState::Ready, 1))
                .collect(),
            ListScope::Full,
        );
        let status = selection.status();
        assert_eq!(
            (status.listed, status.members),
            (usize::from(ENGINES), size)
        );
        assert_eq!(
            (status.size, status.reason, status.widened_by),
            (size, reason, 0)
        );
    }
}

/// A member whose attempts fail widens the subset by one engine, which becomes a member only after it has been reached.
#[test]
fn failing_attempts_widen_the_subset_by_reached_engines() {
    let mut selection = SubsetSelection::new("g0", settings(8), Vec::new()).unwrap();
    let mut module = ModuleView::default();
    module.update(
        selection.apply(
            0.0,
            (0..ENGINES)
                .map(|n| entry(n, EndpointState::Ready, 1))
                .collect(),
            ListScope::Full,
        ),
    );
    let failing = module.ready().next().unwrap().name.clone();
    for n in 0..50 {
        selection.attempt_ended(1.0 + f64::from(n) * 0.01, &failing, EngineHealth::Failing);
    }
    let mut now = 2.0;
    while selection.status().members == 8 && now < 20.0 {
        assert!(
            module.ready().count() == 8,
            "a member joined before it was reached"
        );
        module.update(selection.poll(now));
        while let Some(candidate) = selection.next_candidate(now) {
            selection.connect_ended(now, candidate.engine, Reachability::Reachable);
        }
        now += 0.25;
    }
    module.update(selection.poll(now));
    let status = selection.status();
    assert_eq!(
        (status.members, status.widened_by, status.failed),
        (9, 1, 1),
        "at {now} s"
    );
    assert_eq!(module.ready().count(), 9);
}
