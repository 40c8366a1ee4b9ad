//! Compares the estimated number of gateways that hold an engine with the number in a fleet of 800 gateways.

mod world;

use garnetwall_subset::{
    Action, Catalog, EngineFacts, EngineKey, GatewayHash, ListedEngine, ListedState,
    PlacementClass, RetryScope, Subset, SubsetSettings, UpdateScope,
};
use std::collections::BTreeMap;
use world::{listed_engines, settings, InjectedFault};

const GATEWAYS: usize = 800;
const ENGINES: u32 = 400;
const ZONES: u32 = 5;

/// The holders of each engine in a fleet of gateways.
struct Fleet {
    /// Number of gateways that hold the engine.
    counted: BTreeMap<EngineKey, f64>,
    /// Number of these gateways, as estimated by the last of them.
    estimated: BTreeMap<EngineKey, f64>,
}

fn fleet(settings: &SubsetSettings, zones: u32, injected: InjectedFault) -> Fleet {
    fleet_of(settings, zones, injected, |gateway| {
        format!("gateway-{gateway}")
    })
}

fn fleet_of(
    settings: &SubsetSettings,
    zones: u32,
    injected: InjectedFault,
    name: impl Fn(usize) -> String,
) -> Fleet {
    let mut catalog = Catalog::default();
    let changes = catalog.apply(&listed_engines(ENGINES, zones), UpdateScope::FullList);
    let (mut counted, mut estimated) = (BTreeMap::new(), BTreeMap::new());
    for gateway in 0..GATEWAYS {
        let zone = settings.zone.map(|_| gateway as u32 % zones);
        let settings = SubsetSettings {
            zone,
            gateways: GATEWAYS as f64,
            ..settings.clone()
        };
        let mut subset = Subset::new(&name(gateway), settings).expect("good settings");
        subset.changed(1.0, &catalog, &changes);
        for action in subset.poll(1.0, &catalog) {
            let Action::Join { engine, holders } = action else {
                panic!("unexpected {action:?} in the first poll")
            };
            let holders = if injected == InjectedFault::HoldersHalved {
                holders / 2.0
            } else {
                holders
            };
            *counted.entry(engine).or_insert(0.0) += 1.0;
            estimated.insert(engine, holders);
        }
    }
    Fleet { counted, estimated }
}

/// Returns the fraction of the engines that more gateways hold than estimated, and the mean ratio of the estimate to
/// the count.
fn compare(fleet: &Fleet) -> (f64, f64) {
    let understated = fleet
        .counted
        .iter()
        .filter(|(engine, counted)| fleet.estimated[engine] < **counted);
    let ratio: f64 = fleet
        .counted
        .iter()
        .map(|(engine, counted)| fleet.estimated[engine] / counted)
        .sum();
    (
        understated.count() as f64 / fleet.counted.len() as f64,
        ratio / fleet.counted.len() as f64,
    )
}

/// Returns test cases: a name, settings, and the number of zones in the list. Each zone has up to four cells.
fn cases() -> Vec<(&'static str, SubsetSettings, u32)> {
    let base = settings(25);
    let zone = PlacementClass {
        zones: Some(vec![1]),
        kinds: None,
    };
    let kind = PlacementClass {
        zones: Some(vec![2, 3]),
        kinds: Some(vec![1]),
    };
    let classes = SubsetSettings {
        class_floor: 8,
        classes: vec![zone, kind],
        ..base.clone()
    };
    let near = SubsetSettings {
        zone: Some(0),
        near_weight: 4.0,
        ..base.clone()
    };
    let cells = SubsetSettings {
        retry_scope: RetryScope::Cell,
        ..base.clone()
    };
    let all = SubsetSettings {
        retry_scope: RetryScope::Cell,
        zone: Some(0),
        near_weight: 4.0,
        ..classes.clone()
    };
    vec![
        ("plain", base, ZONES),
        ("classes", classes, ZONES),
        ("near zone", near, ZONES),
        ("cells", cells.clone(), ZONES),
        ("cells of two", cells, 50),
        ("all", all, ZONES),
    ]
}

#[test]
fn estimated_holders_are_rarely_too_low_and_not_far_too_high() {
    for (name, settings, zones) in cases() {
        let (understated, ratio) = compare(&fleet(&settings, zones, InjectedFault::None));
        println!(
            "{name}: estimate too low for {:.1}% of the engines, mean ratio of estimate to count {ratio:.2}",
            understated * 100.0
        );
        assert!(understated <= 0.05, "{name}: {understated}");
        assert!((1.0..1.8).contains(&ratio), "{name}: {ratio}");
        let (understated, _) = compare(&fleet(&settings, zones, InjectedFault::HoldersHalved));
        assert!(
            understated > 0.5,
            "{name}: the comparison must detect halved holders, {understated}"
        );
    }
}

#[test]
fn every_engine_has_holders_and_all_gateways_hold_a_short_list() {
    // The effective size is 12, so that 24 gateways hold each engine on average.
    let fleet = fleet(&settings(1), ZONES, InjectedFault::None);
    assert_eq!(fleet.counted.len(), ENGINES as usize);
    let same_names = fleet_of(&settings(1), ZONES, InjectedFault::None, |gateway| {
        format!("gateway-{}", gateway % 20)
    });
    assert!(
        same_names.counted.len() < ENGINES as usize,
        "gateways that share 20 names leave engines without holders"
    );
    let least = fleet.counted.values().copied().fold(f64::MAX, f64::min);
    println!("minimum number of gateways that hold an engine: {least}");
    assert!(least >= 1.0);

    let mut catalog = Catalog::default();
    catalog.apply(&listed_engines(20, ZONES), UpdateScope::FullList);
    let mut subset = Subset::new("g", settings(20)).expect("good settings");
    let joined = subset.poll(1.0, &catalog);
    assert_eq!(joined.len(), 20);
    assert!(joined
        .iter()
        .all(|action| matches!(action, Action::Join { holders, .. } if *holders == 1_000.0)));
}

/// Returns the work per core, relative to the mean, of engines with each number of cores. Every gateway chooses 25
/// engines with these weights, and distributes the same amount of work over them in proportion to cores.
fn work_per_core_by_cores(weight: impl Fn(&EngineFacts) -> f64) -> BTreeMap<u64, f64> {
    let engines = listed_engines(ENGINES, ZONES);
    let mut work: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    for gateway in 0..GATEWAYS {
        let hash = GatewayHash::new(&format!("gateway-{gateway}"));
        let mut scored: Vec<_> = engines
            .iter()
            .map(|listed| {
                (
                    hash.score(&listed.engine_id, weight(&listed.facts)),
                    listed.facts.cores,
                )
            })
            .collect();
        scored.sort_by_key(|(score, _)| *score);
        let cores: f64 = scored[..25].iter().map(|(_, cores)| cores).sum();
        scored[..25]
            .iter()
            .for_each(|(_, own)| work.entry(*own as u64).or_default().0 += own / cores);
    }
    engines.iter().for_each(|listed| {
        work.entry(listed.facts.cores as u64).or_default().1 += listed.facts.cores
    });
    let all: f64 = engines.iter().map(|listed| listed.facts.cores).sum();
    work.into_iter()
        .map(|(kind, (work, cores))| (kind, work / cores / (GATEWAYS as f64 / all)))
        .collect()
}

fn is_even(work: &BTreeMap<u64, f64>) -> bool {
    work.values().all(|work| (0.9..1.1).contains(work))
}

#[test]
fn work_per_core_does_not_depend_on_cores() {
    let chosen = work_per_core_by_cores(|facts| settings(25).weight(facts));
    let weighted = work_per_core_by_cores(|facts| facts.cores);
    println!(
        "work per core relative to the mean, by cores: {chosen:?}; with weights proportional to cores: {weighted:?}"
    );
    assert!(is_even(&chosen) && !is_even(&weighted));
}

#[test]
fn few_changes_do_not_update_all_members() {
    let mut world = world::World::new(settings(40), InjectedFault::None);
    world.apply(&listed_engines(ENGINES, ZONES), UpdateScope::FullList);
    let estimated = world.members.clone();
    // Enough changes to make the table stale, but too few to change the numbers of holders by the update threshold.
    world.apply(
        &listed_engines(ENGINES + 8, ZONES),
        UpdateScope::ChangedEngines,
    );
    assert!(estimated
        .iter()
        .all(|(engine, holders)| world.members.get(engine).is_none_or(|now| now == holders)));
    world.apply(
        &listed_engines(ENGINES * 2, ZONES),
        UpdateScope::ChangedEngines,
    );
    world.settle();
    let halved = |engine: &EngineKey| world.members[engine] < estimated[engine] * 0.7;
    assert!(estimated
        .keys()
        .filter(|engine| world.members.contains_key(engine))
        .all(halved));
    assert_eq!(world.faults, Default::default());
}

/// Returns the members of a new subset by id, with their estimated numbers of holders.
fn members_of_a_new_subset(catalog: &Catalog, settings: &SubsetSettings) -> BTreeMap<String, f64> {
    let mut subset = Subset::new("g", settings.clone()).expect("good settings");
    subset.poll(1.0, catalog);
    let name = |engine| catalog.id(engine).expect("members are listed").to_string();
    subset
        .members()
        .map(|(engine, holders)| (name(engine), holders))
        .collect()
}

#[test]
fn list_applied_by_single_engines_gives_the_same_subset() {
    let mut one_by_one = Catalog::default();
    for listed in listed_engines(ENGINES, ZONES).into_iter().rev() {
        let elsewhere = EngineFacts {
            zone: 77,
            cell: 3,
            cores: 1.0,
            ..listed.facts
        };
        one_by_one.apply(
            &[
                ListedEngine {
                    facts: elsewhere,
                    ..listed.clone()
                },
                listed,
            ],
            UpdateScope::ChangedEngines,
        );
    }
    let removed = EngineFacts {
        state: ListedState::Removed,
        ..listed_engines(1, ZONES)[0].facts
    };
    let drains = EngineFacts {
        state: ListedState::Draining,
        ..removed
    };
    one_by_one.apply(
        &[ListedEngine {
            engine_id: "engine-9999".into(),
            facts: drains,
        }],
        UpdateScope::ChangedEngines,
    );
    one_by_one.apply(
        &[ListedEngine {
            engine_id: "engine-3".into(),
            facts: removed,
        }],
        UpdateScope::ChangedEngines,
    );
    let mut whole = Catalog::default();
    whole.apply(
        &listed_engines(ENGINES, ZONES)
            .into_iter()
            .filter(|listed| listed.engine_id != "engine-3")
            .collect::<Vec<_>>(),
        UpdateScope::FullList,
    );
    for (name, settings, _) in cases() {
        let at_once = members_of_a_new_subset(&whole, &settings);
        assert_eq!(
            members_of_a_new_subset(&one_by_one, &settings),
            at_once,
            "{name}"
        );
    }
}

#[test]
fn invalid_cores_and_repeated_engines_are_tolerated() {
    let mut odd = listed_engines(60, ZONES);
    let cores = [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        0.0,
        -4.0,
        f64::MAX,
        f64::MIN_POSITIVE,
    ];
    odd.iter_mut()
        .zip(cores.iter().cycle())
        .for_each(|(listed, cores)| listed.facts.cores = *cores);
    odd.extend(odd.clone());
    let near = SubsetSettings {
        zone: Some(1),
        near_weight: 1e6,
        retry_scope: RetryScope::Cell,
        ..settings(10)
    };
    let mut world = world::World::new(near, InjectedFault::None);
    for _ in 0..3 {
        world.apply(&odd, UpdateScope::FullList);
        world.advance(30.0);
        world.apply(&odd[..20], UpdateScope::ChangedEngines);
        world.apply(&odd[30..], UpdateScope::FullList);
        world.advance(30.0);
    }
    assert!(world.members.len() >= 10);
    assert_eq!(world.faults, Default::default());
}
