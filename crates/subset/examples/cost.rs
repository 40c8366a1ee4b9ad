//! Measures the costs of subsets: the time to process a full list and a changed entry, and the memory of many subsets
//! that share one catalog.
//!
//! `cargo run --release -p garnetwall-subset --example cost`

use garnetwall_subset::{
    Action, Catalog, ConnectOutcome, EngineFacts, ListedEngine, ListedState, RetryScope, Subset,
    SubsetError, SubsetSettings, UpdateScope,
};
use std::time::Instant;

const ENGINES: u32 = 6_500;
const ZONES: u32 = 21;
const GATEWAYS: usize = 4_400;
const CHANGED_ENTRIES: u32 = 20_000;
const FULL_LISTS: u32 = 20;

fn settings(retry_scope: RetryScope, near_weight: f64) -> SubsetSettings {
    SubsetSettings {
        size: 80,
        class_floor: 0,
        reserve: 20,
        joins_per_second: 2.0,
        zone: Some(0),
        near_weight,
        gateways: GATEWAYS as f64,
        classes: Vec::new(),
        retry_scope,
    }
}

fn listed_engine(number: u32, state: ListedState) -> ListedEngine {
    let cores = [8.0, 16.0, 32.0][(number / ZONES % 3) as usize];
    let facts = EngineFacts {
        zone: number % ZONES,
        kind: number % 3,
        cell: number / ZONES % 15,
        cores,
        state,
    };
    ListedEngine {
        engine_id: format!("engine-{number}"),
        facts,
    }
}

/// Returns the processor time of this process in nanoseconds, which the load of other processes does not increase.
/// Falls back to the time elapsed since `started_at` if the system does not report processor time.
fn processor_nanoseconds(started_at: Instant) -> f64 {
    let run_time = std::fs::read_to_string("/proc/self/schedstat").ok();
    let run_time = run_time.and_then(|line| line.split_whitespace().next()?.parse().ok());
    run_time.unwrap_or(started_at.elapsed().as_nanos() as f64)
}

fn nanoseconds(times: u32, mut act: impl FnMut(u32)) -> f64 {
    let started_at = Instant::now();
    let before = processor_nanoseconds(started_at);
    (0..times).for_each(&mut act);
    (processor_nanoseconds(started_at) - before) / f64::from(times)
}

/// Returns the resident memory of this process in KiB, or `None` if the system does not report it.
fn resident_kib() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?
        .split_whitespace()
        .next()?
        .parse()
        .ok()
}

fn main() -> Result<(), SubsetError> {
    let listed_engines: Vec<ListedEngine> = (0..ENGINES)
        .map(|number| listed_engine(number, ListedState::Ready))
        .collect();
    let first = nanoseconds(FULL_LISTS, |_| {
        drop(Catalog::default().apply(&listed_engines, UpdateScope::FullList))
    });
    println!(
        "catalog: the first list of {ENGINES} engines: {:.0} us",
        first / 1e3
    );
    let mut catalog = Catalog::default();
    catalog.apply(&listed_engines, UpdateScope::FullList);
    let again = nanoseconds(FULL_LISTS, |_| {
        drop(catalog.apply(&listed_engines, UpdateScope::FullList))
    });
    println!("catalog: the same list again: {:.0} us", again / 1e3);
    let scopes = [
        (RetryScope::Everywhere, 1.0),
        (RetryScope::Everywhere, 4.0),
        (RetryScope::Cell, 1.0),
        (RetryScope::Cell, 4.0),
    ];
    for (scope, near_weight) in scopes {
        measure(&mut catalog, scope, near_weight)?;
    }
    measure_memory(&catalog)
}

fn measure(catalog: &mut Catalog, scope: RetryScope, near_weight: f64) -> Result<(), SubsetError> {
    let what = format!("subset of 80, retries {scope:?}, near weight {near_weight}");
    let settings = settings(scope, near_weight);
    let mut failed = None;
    let fill = nanoseconds(FULL_LISTS, |gateway| {
        match Subset::new(&format!("gateway-{gateway}"), settings.clone()) {
            Ok(mut subset) => drop(subset.poll(0.0, catalog)),
            Err(error) => failed = Some(error),
        }
    });
    failed.map_or(Ok(()), Err)?;
    println!("{what}: the first fill: {:.0} us", fill / 1e3);
    let mut subset = Subset::new("gateway-0", settings)?;
    subset.poll(0.0, catalog);
    let mut now = 0.0;
    let mut actions = 0;
    let changed = nanoseconds(CHANGED_ENTRIES, |number| {
        let state = if number % 2 == 0 {
            ListedState::Draining
        } else {
            ListedState::Ready
        };
        let changes = catalog.apply(
            &[listed_engine(number / 2 * 7 % ENGINES, state)],
            UpdateScope::ChangedEngines,
        );
        now += 0.1;
        subset.changed(now, catalog, &changes);
        for action in subset.poll(now, catalog) {
            actions += 1;
            if let Action::Connect(engine) = action {
                subset.connect_ended(now, engine, ConnectOutcome::Reached);
            }
        }
    });
    println!(
        "{what}: a changed entry, including catalog and poll: {changed:.0} ns, {actions} actions"
    );
    Ok(())
}

fn measure_memory(catalog: &Catalog) -> Result<(), SubsetError> {
    let before = resident_kib();
    let mut subsets = Vec::with_capacity(GATEWAYS);
    for gateway in 0..GATEWAYS {
        let mut subset = Subset::new(
            &format!("gateway-{gateway}"),
            settings(RetryScope::Everywhere, 1.0),
        )?;
        subset.poll(0.0, catalog);
        subsets.push(subset);
    }
    let grown = resident_kib()
        .zip(before)
        .map(|(after, before)| after.saturating_sub(before));
    match grown {
        Some(grown) => println!(
            "{} subsets of one catalog: {:.1} KiB each",
            subsets.len(),
            grown as f64 / GATEWAYS as f64
        ),
        None => println!("this system does not report resident memory"),
    }
    Ok(())
}
