//! Compares the subset with a slow reference model, over lists that change at random.

mod world;

use garnetwall_subset::{
    EngineFacts, EngineOutcome, ListedEngine, ListedState, PlacementClass, RetryScope,
    SubsetSettings, UpdateScope,
};
use proptest::prelude::*;
use std::collections::BTreeSet;
use world::{
    listed_engine, listed_engines, reference_target, settings, InjectedFault, World, GATEWAY,
};

const ZONES: u32 = 5;
const ENGINES: u32 = 120;

#[derive(Clone, Debug)]
enum Step {
    Apply {
        first: u32,
        count: u32,
        state: ListedState,
    },
    Rezone {
        engine: u32,
        zone: u32,
    },
    WholeList {
        part: u32,
    },
    LoseZone(u32),
    Unreachable {
        first: u32,
        count: u32,
    },
    Reachable,
    MemberFails {
        member: usize,
        attempts: usize,
    },
    Wait(f64),
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![4 => Just(ListedState::Ready), 1 => Just(ListedState::Draining), 1 => Just(ListedState::Removed)];
    prop_oneof![
        6 => (0..ENGINES, 1..12_u32, state).prop_map(|(first, count, state)| Step::Apply { first, count, state }),
        1 => (0..ENGINES, 0..ZONES).prop_map(|(engine, zone)| Step::Rezone { engine, zone }),
        1 => (1..4_u32).prop_map(|part| Step::WholeList { part }),
        1 => (0..ZONES).prop_map(Step::LoseZone),
        2 => (0..ENGINES, 1..40_u32).prop_map(|(first, count)| Step::Unreachable { first, count }),
        1 => Just(Step::Reachable),
        2 => (0..40_usize, 1..8_usize).prop_map(|(member, attempts)| Step::MemberFails { member, attempts }),
        3 => (0.001..40.0).prop_map(Step::Wait),
    ]
}

fn any_settings() -> impl Strategy<Value = SubsetSettings> {
    let scope = prop_oneof![
        Just(RetryScope::Everywhere),
        Just(RetryScope::Zone),
        Just(RetryScope::Cell)
    ];
    let numbers = (
        1..30_usize,
        0..6_usize,
        0..8_usize,
        prop_oneof![Just(200.0), Just(1_000.0), Just(20.0)],
    );
    (
        numbers,
        scope,
        proptest::option::of(0..ZONES),
        0.2..5.0,
        proptest::bool::ANY,
    )
        .prop_map(
            |(
                (size, class_floor, reserve, gateways),
                retry_scope,
                zone,
                joins_per_second,
                classes,
            )| {
                let by_zone = PlacementClass {
                    zones: Some(vec![0, 3]),
                    kinds: None,
                };
                let by_kind = PlacementClass {
                    zones: Some(vec![2]),
                    kinds: Some(vec![1]),
                };
                let unserved = PlacementClass {
                    zones: None,
                    kinds: Some(vec![9]),
                };
                SubsetSettings {
                    class_floor: class_floor.min(size),
                    reserve,
                    joins_per_second,
                    zone,
                    near_weight: 4.0,
                    gateways,
                    classes: if classes {
                        vec![by_zone, by_kind, unserved]
                    } else {
                        Vec::new()
                    },
                    retry_scope,
                    ..settings(size)
                }
            },
        )
}

fn apply_step(world: &mut World, step: &Step) {
    match *step {
        Step::Apply {
            first,
            count,
            state,
        } => {
            let with_state = |number| {
                let listed = listed_engine(number, ZONES);
                ListedEngine {
                    facts: EngineFacts {
                        state,
                        ..listed.facts
                    },
                    ..listed
                }
            };
            world.apply(
                &(first..first + count).map(with_state).collect::<Vec<_>>(),
                UpdateScope::ChangedEngines,
            );
        }
        Step::Rezone { engine, zone } => {
            let listed = listed_engine(engine, ZONES);
            world.apply(
                &[ListedEngine {
                    facts: EngineFacts {
                        zone,
                        ..listed.facts
                    },
                    ..listed
                }],
                UpdateScope::ChangedEngines,
            );
        }
        Step::WholeList { part } => world.apply(
            &listed_engines(ENGINES / part, ZONES),
            UpdateScope::FullList,
        ),
        Step::LoseZone(zone) => {
            let lost = world.list.iter().filter(|(_, facts)| facts.zone == zone);
            let removed = |facts: &EngineFacts| EngineFacts {
                state: ListedState::Removed,
                ..*facts
            };
            let lost: Vec<ListedEngine> = lost
                .map(|(id, facts)| ListedEngine {
                    engine_id: id.clone(),
                    facts: removed(facts),
                })
                .collect();
            world.apply(&lost, UpdateScope::ChangedEngines);
        }
        Step::Unreachable { first, count } => {
            world.unreachable.extend(
                (first..first + count).map(|number| listed_engine(number, ZONES).engine_id),
            );
        }
        Step::Reachable => world.unreachable.clear(),
        Step::MemberFails { member, attempts } => {
            let engine = world
                .members
                .keys()
                .nth(member % world.members.len().max(1))
                .copied();
            engine
                .into_iter()
                .for_each(|engine| world.attempts(engine, EngineOutcome::Failed, attempts));
        }
        Step::Wait(seconds) => world.advance(seconds),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn subset_converges_to_the_reference_model(settings in any_settings(), steps in proptest::collection::vec(step(), 1..24)) {
        let mut world = World::new(settings, InjectedFault::None);
        for step in &steps {
            apply_step(&mut world, step);
            prop_assert_eq!(&world.faults, &BTreeSet::new(), "after {:?}", step);
        }
        world.settle();
        prop_assert_eq!(&world.faults, &BTreeSet::new());
    }

    #[test]
    fn loss_of_one_engine_changes_few_members(settings in any_settings(), engine in 0..ENGINES) {
        let mut world = World::new(settings.clone(), InjectedFault::None);
        world.apply(&listed_engines(ENGINES, ZONES), UpdateScope::FullList);
        let whole = world.member_ids();
        world.set_state(&listed_engine(engine, ZONES).engine_id, ListedState::Removed);
        world.settle();
        let without = world.member_ids();
        prop_assert!(changes_few_members(&settings, &whole, &without));
        world.apply(&listed_engines(ENGINES, ZONES), UpdateScope::FullList);
        world.settle();
        prop_assert_eq!(&world.member_ids(), &whole);
        prop_assert_eq!(&world.faults, &BTreeSet::new());
    }
}

/// Returns whether the loss of one engine changed no more members than necessary: the lost engine, its replacements,
/// and the companions of both.
fn changes_few_members(
    settings: &SubsetSettings,
    before: &BTreeSet<String>,
    after: &BTreeSet<String>,
) -> bool {
    let choices = 1 + settings.classes.len();
    // If companions are needed, the companion of the lost engine may leave too. Two engines then replace them, and the
    // second may bring a companion of its own.
    let (leaving, joining) = if settings.retry_scope == RetryScope::Everywhere {
        (1, 1)
    } else {
        (2, 3)
    };
    // A size that depends on the length of the list may shrink by one.
    before.difference(after).count() <= 1 + choices * leaving
        && after.difference(before).count() <= choices * joining
}

#[test]
fn check_of_changed_members_rejects_an_independent_selection() {
    let settings = settings(20);
    let list = listed_engines(ENGINES, ZONES)
        .into_iter()
        .map(|listed| (listed.engine_id, listed.facts))
        .collect();
    let before = reference_target(GATEWAY, &settings, &list);
    assert!(!changes_few_members(
        &settings,
        &before,
        &reference_target("drawn anew", &settings, &list)
    ));
}

/// Returns the faults that the checker finds in a run that exercises all of its checks, with a fault injected.
fn faults_found_with(injected: InjectedFault) -> BTreeSet<String> {
    let by_zone = PlacementClass {
        zones: Some(vec![1]),
        kinds: None,
    };
    let settings = SubsetSettings {
        class_floor: 4,
        classes: vec![by_zone],
        ..settings(12)
    };
    let mut world = World::new(settings, injected);
    world.apply(&listed_engines(ENGINES, ZONES), UpdateScope::FullList);
    world.advance(10.0);
    let members = world.member_ids();
    members
        .iter()
        .take(2)
        .for_each(|id| world.set_state(id, ListedState::Draining));
    world.advance(10.0);
    world.settle();
    world.faults
}

#[test]
fn checker_finds_each_injected_fault() {
    let injected_faults = [
        (InjectedFault::KeepsUnready, "a member is not ready"),
        (
            InjectedFault::JoinsUntried,
            "an engine joins without a connection test above the floor",
        ),
        (InjectedFault::UnderFloor, "the subset is below its floor"),
        (InjectedFault::UnderClassFloor, "a class is below its floor"),
        (
            InjectedFault::WrongEngine,
            "settled members differ from the reference model",
        ),
    ];
    assert_eq!(faults_found_with(InjectedFault::None), BTreeSet::new());
    for (injected, fault) in injected_faults {
        assert!(
            faults_found_with(injected).contains(fault),
            "{injected:?}: {:?}",
            faults_found_with(injected)
        );
    }
}
