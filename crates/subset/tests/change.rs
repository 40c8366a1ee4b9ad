//! Tests the changes of a subset over time: the pace, refills, widening for unhealthy members, and jitter.

mod world;

use garnetwall_subset::{
    EngineFacts, EngineOutcome, ListedEngine, ListedState, PlacementClass, RetryScope,
    SubsetSettings, UpdateScope,
};
use std::collections::BTreeSet;
use world::{
    listed_engine, listed_engines, reference_target, settings, InjectedFault, World, GATEWAY,
    SETTLING_SECONDS,
};

/// Returns whether the connections at these times kept to the pace. One connection more than the pace allows is
/// tolerated.
fn within_pace(times: &[f64], joins_per_second: f64) -> bool {
    let interval_respected = |(index, start): (usize, &f64)| {
        let allowed = |end: &f64| 1.0 + joins_per_second * (end - start) + 1e-6;
        times[index..]
            .iter()
            .enumerate()
            .all(|(count, end)| (count + 1) as f64 <= allowed(end))
    };
    times.iter().enumerate().all(interval_respected)
}

/// Doubles the list of a settled subset and returns the times of the connections that follow.
fn connect_times(injected: InjectedFault) -> Vec<f64> {
    let mut world = World::new(settings(40), injected);
    world.apply(&listed_engines(200, 5), UpdateScope::FullList);
    world.advance(SETTLING_SECONDS);
    assert_eq!(world.connects_at, [0.0; 0]);
    world.apply(&listed_engines(400, 5), UpdateScope::FullList);
    assert_eq!(world.members.len(), 40);
    world.settle();
    assert_eq!(world.faults, BTreeSet::new());
    world.connects_at
}

#[test]
fn joins_do_not_exceed_the_configured_pace() {
    let times = connect_times(InjectedFault::None);
    assert!(times.len() > 10, "{} connections", times.len());
    assert!(within_pace(&times, 2.0));
    assert!(!within_pace(
        &connect_times(InjectedFault::ConnectsTwice),
        2.0
    ));
}

/// Lists one new engine at 300 gateways. Returns the distinct times, in tenths of a second since the listing, at which
/// gateways connect to it.
fn connect_tenths(injected: InjectedFault) -> BTreeSet<i64> {
    let mut tenths = BTreeSet::new();
    for gateway in 0..300 {
        let mut world = World::named(&format!("gateway-{gateway}"), settings(8), injected);
        world.apply(&listed_engines(30, 5), UpdateScope::FullList);
        world.advance(1.0);
        let listed = world.now;
        world.apply(&[listed_engine(30, 5)], UpdateScope::ChangedEngines);
        world.advance(10.0);
        let at = world.connects_at.first().copied();
        let at = if injected == InjectedFault::Synchronized {
            at.and(Some(listed))
        } else {
            at
        };
        tenths.extend(at.map(|at| ((at - listed) * 10.0) as i64));
    }
    tenths
}

fn are_spread_out(tenths: &BTreeSet<i64>) -> bool {
    tenths.len() >= 15 && tenths.iter().all(|tenth| *tenth <= 20)
}

#[test]
fn jitter_spreads_the_connections_of_gateways_to_a_new_engine() {
    assert!(
        are_spread_out(&connect_tenths(InjectedFault::None)),
        "{:?}",
        connect_tenths(InjectedFault::None)
    );
    assert!(!are_spread_out(&connect_tenths(
        InjectedFault::Synchronized
    )));
}

#[test]
fn lost_zone_is_refilled_up_to_the_reserve_immediately_and_then_at_the_pace() {
    let mut world = World::new(
        SubsetSettings {
            reserve: 4,
            ..settings(40)
        },
        InjectedFault::None,
    );
    world.apply(&listed_engines(200, 5), UpdateScope::FullList);
    world.advance(10.0);
    let left: Vec<ListedEngine> = listed_engines(200, 5)
        .into_iter()
        .filter(|listed| listed.facts.zone != 0)
        .collect();
    world.apply(&left, UpdateScope::FullList);
    let remaining = world.members.len();
    assert!((20..35).contains(&remaining), "{remaining} members remain");
    world.advance(0.1);
    assert!(
        (remaining + 4..=remaining + 5).contains(&world.members.len()),
        "{}",
        world.members.len()
    );
    world.advance(40.0);
    assert_eq!(
        world.member_ids(),
        reference_target(GATEWAY, &world.settings, &world.list)
    );
    assert_eq!(world.faults, BTreeSet::new());
}

#[test]
fn engines_join_immediately_below_the_floor() {
    let mut world = World::new(settings(40), InjectedFault::None);
    world.apply(&listed_engines(200, 5), UpdateScope::FullList);
    let members = world.member_ids();
    let left: Vec<ListedEngine> = listed_engines(200, 5)
        .into_iter()
        .filter(|listed| !members.contains(&listed.engine_id))
        .collect();
    world.apply(&left, UpdateScope::FullList);
    assert_eq!(
        world.members.len(),
        40,
        "a subset without members is filled at once"
    );
    let few: BTreeSet<String> = world.member_ids().into_iter().take(35).collect();
    let left: Vec<ListedEngine> = left
        .into_iter()
        .filter(|listed| !few.contains(&listed.engine_id))
        .collect();
    world.apply(&left, UpdateScope::FullList);
    assert_eq!(world.members.len(), 20, "filled up to the floor");
    assert_eq!(world.faults, BTreeSet::new());
}

#[test]
fn members_follow_late_empty_partial_and_repeated_lists() {
    let mut world = World::new(settings(40), InjectedFault::None);
    world.apply(&[], UpdateScope::FullList);
    assert_eq!(world.members.len(), 0);
    world.apply(&listed_engines(200, 5), UpdateScope::FullList);
    let members = world.member_ids();
    let first = world.members.clone();
    world.apply(&listed_engines(200, 5), UpdateScope::FullList);
    world.apply(&listed_engines(200, 5), UpdateScope::ChangedEngines);
    assert_eq!(world.members, first, "a repeated list changes nothing");
    world.apply(&listed_engines(100, 5), UpdateScope::FullList);
    assert!(world.members.len() >= 20);
    world.apply(&listed_engines(200, 5), UpdateScope::FullList);
    world.settle();
    assert_eq!(
        world.member_ids(),
        members,
        "same members after a temporary half list"
    );
    world.apply(&[], UpdateScope::FullList);
    assert_eq!(world.members.len(), 0);
    world.apply(&listed_engines(200, 5), UpdateScope::FullList);
    assert_eq!(world.member_ids(), members);
    assert_eq!(world.faults, BTreeSet::new());
}

#[test]
fn unhealthy_members_widen_the_subset_which_then_narrows_slowly() {
    let mut world = World::new(
        SubsetSettings {
            reserve: 3,
            ..settings(20)
        },
        InjectedFault::None,
    );
    world.apply(&listed_engines(200, 5), UpdateScope::FullList);
    let failing: Vec<_> = world.members.keys().copied().take(5).collect();
    world.attempts(failing[0], EngineOutcome::Failed, 3);
    assert_eq!(
        world.subset.widened_by(),
        0,
        "three attempts are too few for a judgement"
    );
    world.attempts(failing[1], EngineOutcome::Healthy, 100);
    world.attempts(failing[1], EngineOutcome::Failed, 50);
    assert_eq!(world.subset.widened_by(), 0, "less than half failed");
    failing
        .iter()
        .for_each(|engine| world.attempts(*engine, EngineOutcome::Failed, 150));
    assert_eq!(
        (world.subset.unhealthy_members(), world.subset.widened_by()),
        (5, 3)
    );
    world.advance(5.0);
    assert_eq!(world.members.len(), 23);
    world.advance(24.0);
    assert_eq!(world.members.len(), 23, "no narrowing while held down");
    let mut sizes = Vec::new();
    for _ in 0..20 {
        world.advance(1.0);
        sizes.push(world.members.len());
    }
    assert_eq!(sizes.last(), Some(&20));
    assert!(
        sizes.windows(2).all(|pair| pair[0] - pair[1] <= 1),
        "{sizes:?}"
    );
    assert!(
        sizes.iter().filter(|size| **size == 22).count() >= 4,
        "{sizes:?}"
    );
    world.settle();
    assert_eq!(world.faults, BTreeSet::new());
}

#[test]
fn unreached_engine_is_replaced_and_retried() {
    let mut world = World::new(settings(20), InjectedFault::None);
    world.apply(&listed_engines(100, 5), UpdateScope::FullList);
    world.advance(10.0);
    let members = world.member_ids();
    let removed = members.first().expect("members").clone();
    world.set_state(&removed, ListedState::Removed);
    let expected = reference_target(GATEWAY, &world.settings, &world.list);
    let next = expected
        .difference(&members)
        .next()
        .expect("an engine that replaces the removed one")
        .clone();
    world.unreachable.insert(next.clone());
    world.advance(1.0);
    assert!(!world.member_ids().contains(&next) && world.members.len() == 20);
    assert_eq!(world.subset.unreached(), 1);
    world.advance(300.0);
    assert!(
        (4..=16).contains(&world.connects_at.len()),
        "{} connections, which the backoff must limit",
        world.connects_at.len()
    );
    world.settle();
    assert_eq!(
        world.member_ids(),
        expected,
        "the engine joins once it is reachable"
    );
    assert_eq!(world.faults, BTreeSet::new());
}

#[test]
fn subset_narrows_after_an_unhealthy_member_was_displaced() {
    let mut world = World::new(
        SubsetSettings {
            reserve: 3,
            ..settings(20)
        },
        InjectedFault::None,
    );
    world.apply(&listed_engines(200, 5), UpdateScope::FullList);
    // The id of the member that a new engine displaces from the target. That member has the highest score; while it is
    // unhealthy, the subset is one engine larger.
    let displaces = |world: &World, new_engine: &ListedEngine| {
        let mut list = world.list.clone();
        list.insert(new_engine.engine_id.clone(), new_engine.facts);
        let target = reference_target(GATEWAY, &world.settings, &list);
        world.member_ids().difference(&target).next().cloned()
    };
    let new_engines: Vec<ListedEngine> = (200..400)
        .map(|number| listed_engine(number, 5))
        .filter(|listed| displaces(&world, listed).is_some())
        .take(2)
        .collect();
    let last = displaces(&world, &new_engines[0]).expect("the engine displaces a member");
    let failing = world.catalog.key(&last).expect("listed");
    world.attempts(failing, EngineOutcome::Failed, 4);
    world.advance(5.0);
    assert_eq!((world.subset.widened_by(), world.members.len()), (1, 21));
    world.apply(&new_engines, UpdateScope::ChangedEngines);
    world.settle();
    assert_eq!((world.subset.widened_by(), world.members.len()), (0, 20));
    assert_eq!(world.faults, BTreeSet::new());
}

/// The floor of a class is derived from its listed engines. If it were derived from the reached ones, a class with
/// unreachable engines would fall below its floor.
#[test]
fn floor_of_a_class_counts_unreached_engines() {
    let by_zone = PlacementClass {
        zones: Some(vec![0, 3]),
        kinds: None,
    };
    let by_kind = PlacementClass {
        zones: Some(vec![2]),
        kinds: Some(vec![1]),
    };
    let classes = vec![by_zone, by_kind];
    let reserve = 0;
    let slow = SubsetSettings {
        class_floor: 3,
        reserve,
        joins_per_second: 0.2,
        classes,
        ..settings(3)
    };
    let mut world = World::new(slow, InjectedFault::None);
    let list_eight = |world: &mut World, first: u32| {
        world.apply(
            &(first..first + 8)
                .map(|number| listed_engine(number, 5))
                .collect::<Vec<_>>(),
            UpdateScope::ChangedEngines,
        );
    };
    world
        .unreachable
        .extend((23..38).map(|number| listed_engine(number, 5).engine_id));
    list_eight(&mut world, 70);
    list_eight(&mut world, 21);
    world.advance(29.0);
    list_eight(&mut world, 0);
    world.settle();
    assert_eq!(world.faults, BTreeSet::new());
}

#[test]
fn engines_that_are_listed_one_by_one_join_at_the_pace() {
    let mut world = World::new(
        SubsetSettings {
            joins_per_second: 0.2,
            ..settings(40)
        },
        InjectedFault::None,
    );
    world.apply(&listed_engines(200, 5), UpdateScope::FullList);
    for number in 200..500 {
        world.apply(&[listed_engine(number, 5)], UpdateScope::ChangedEngines);
        world.advance(1.0);
    }
    assert!(world.connects_at.len() > 10 && within_pace(&world.connects_at, 0.2));
}

/// Growing and shrinking a list by single engines makes a subset add and drop candidates and scan the list again. The
/// members must agree with the reference model throughout.
#[test]
fn members_follow_a_list_that_grows_and_shrinks_by_single_engines() {
    for retry_scope in [RetryScope::Everywhere, RetryScope::Cell] {
        let mut world = World::new(
            SubsetSettings {
                retry_scope,
                ..settings(8)
            },
            InjectedFault::None,
        );
        for number in 0..300 {
            world.apply(&[listed_engine(number, 40)], UpdateScope::ChangedEngines);
            if number % 10 == 9 {
                world.settle();
                assert_eq!(
                    world.faults,
                    BTreeSet::new(),
                    "{retry_scope:?} with {number}"
                );
            }
        }
        for round in 0..60 {
            let id = world.member_ids().first().cloned().expect("members");
            world.set_state(&id, ListedState::Removed);
            world.settle();
            assert_eq!(
                world.faults,
                BTreeSet::new(),
                "{retry_scope:?} in round {round}"
            );
        }
    }
}

#[test]
fn unreached_engines_join_when_no_others_are_left() {
    let mut world = World::new(
        SubsetSettings {
            reserve: 10,
            ..settings(20)
        },
        InjectedFault::None,
    );
    world.apply(&listed_engines(30, 5), UpdateScope::FullList);
    let members: Vec<String> = world.member_ids().into_iter().collect();
    let others = world
        .list
        .keys()
        .filter(|id| !members.contains(id))
        .cloned();
    world.unreachable = others.collect();
    members[..6]
        .iter()
        .for_each(|id| world.set_state(id, ListedState::Removed));
    world.advance(20.0);
    assert_eq!((world.subset.unreached(), world.members.len()), (10, 14));
    members[6..13]
        .iter()
        .for_each(|id| world.set_state(id, ListedState::Removed));
    assert_eq!(
        world.members.len(),
        9,
        "unreached engines join up to the floor for 17 engines"
    );
    assert_eq!(world.faults, BTreeSet::new());
}

#[test]
fn connection_without_an_outcome_counts_as_not_reached() {
    let mut world = World::new(settings(20), InjectedFault::None);
    world.apply(&listed_engines(100, 5), UpdateScope::FullList);
    world.drops_outcomes = true;
    let removed = world.member_ids().first().cloned().expect("members");
    world.set_state(&removed, ListedState::Removed);
    world.advance(9.0);
    assert_eq!(world.subset.unreached(), 0);
    world.advance(2.0);
    assert_eq!(world.subset.unreached(), 1);
}

#[test]
fn class_below_its_quota_is_refilled_without_waiting_for_the_pace() {
    let class = PlacementClass {
        zones: Some(vec![1]),
        kinds: None,
    };
    let classes = vec![class];
    let slow = SubsetSettings {
        class_floor: 6,
        reserve: 0,
        joins_per_second: 0.01,
        classes,
        ..settings(20)
    };
    let mut world = World::new(slow, InjectedFault::None);
    world.apply(&listed_engines(200, 5), UpdateScope::FullList);
    let in_class = |world: &World| -> Vec<String> {
        world
            .member_ids()
            .into_iter()
            .filter(|id| world.list[id].zone == 1)
            .collect()
    };
    in_class(&world)
        .iter()
        .take(3)
        .for_each(|id| world.set_state(id, ListedState::Draining));
    world.advance(0.5);
    assert!(in_class(&world).len() >= 6, "{:?}", in_class(&world));
}

#[test]
fn member_with_changed_facts_is_updated_and_a_new_shape_is_counted() {
    let mut world = World::new(settings(20), InjectedFault::None);
    world.apply(&listed_engines(400, 5), UpdateScope::FullList);
    let (engine, holders) = world
        .members
        .first_key_value()
        .map(|(engine, holders)| (*engine, *holders))
        .expect("members");
    let id = world.catalog.id(engine).expect("listed").to_string();
    for facts in [
        EngineFacts {
            cell: 77,
            ..world.list[&id]
        },
        EngineFacts {
            cores: 12.0,
            ..world.list[&id]
        },
    ] {
        world.updated.clear();
        world.apply(
            &[ListedEngine {
                engine_id: id.clone(),
                facts,
            }],
            UpdateScope::ChangedEngines,
        );
        assert_eq!(world.updated, BTreeSet::from([engine]));
        assert!(
            (world.members[&engine] / holders - 1.0).abs() < 0.05,
            "{holders} before, {:?}",
            world.members[&engine]
        );
    }
}
