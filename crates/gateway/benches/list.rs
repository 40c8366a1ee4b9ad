//! Benchmarks of decoding and applying a full engine list and a single changed entry, with and without an engine
//! subset.
//!
//! The results are published in docs/results-scale.md.

use divan::{black_box, Bencher};
use garnetwall_gateway::discovery::{
    decode_event_text, EngineList, Event, NameIndex, SubsetSelection,
};
use garnetwall_gateway::system::clock::Clock;
use garnetwall_settings::Names;
use garnetwall_subset::{RetryScope, SubsetSettings};
use std::fmt::Write;
use std::time::Duration;

const ENGINES: usize = 6500;
const GATEWAYS: f64 = 4400.0;
const ZONES: usize = 21;
const KINDS: usize = 4;

fn main() {
    divan::main();
}

fn names() -> NameIndex {
    let zones = (0..ZONES).map(|n| format!("zone-{n}")).collect();
    NameIndex::new(&Names {
        zones,
        kinds: (0..KINDS).map(|n| format!("kind-{n}")).collect(),
        ..Names::default()
    })
}

/// Returns the JSON text of an event with entries for these engines, as the change log sends it. `whole` marks a full
/// list, and `started` is the start time of all engines, in Unix milliseconds.
fn event_text(
    number: u64,
    whole: bool,
    engines: impl Iterator<Item = usize>,
    started: u64,
) -> Vec<u8> {
    let mut out =
        format!(r#"{{"seq":{number},"fleet":{{"version":{number},"full":{whole},"servers":["#);
    for (n, engine) in engines.enumerate() {
        let separator = if n == 0 { "" } else { "," };
        let (zone, kind, cell) = (engine % ZONES, engine / ZONES % KINDS, engine / 100);
        let _ = write!(
            out,
            r#"{separator}{{"id":"s-{engine:08x}","addr":"10.{}.{}.{}:4100","zone":"zone-{zone}","kind":"kind-{kind}","cell":{cell},"state":"SERVING","weight":1,"started_ms":{started}}}"#,
            engine >> 16,
            engine >> 8 & 255,
            engine & 255,
        );
    }
    out.push_str("]}}");
    out.into_bytes()
}

fn whole_text() -> Vec<u8> {
    event_text(1, true, 0..ENGINES, 0)
}

fn decode(text: &[u8]) -> Event {
    decode_event_text(text, &names()).expect("the event is valid")
}

fn selection() -> SubsetSelection {
    let settings = SubsetSettings {
        size: 80,
        class_floor: 4,
        reserve: 20,
        joins_per_second: 1.0,
        zone: None,
        near_weight: 1.0,
        gateways: GATEWAYS,
        classes: Vec::new(),
        retry_scope: RetryScope::Everywhere,
    };
    SubsetSelection::new("g-17", settings, vec![Some(64.0); KINDS]).expect("the settings are valid")
}

fn list(subset: bool) -> EngineList {
    EngineList::new(
        Duration::from_secs(32),
        Clock::start(),
        subset.then(selection),
    )
}

#[divan::bench]
fn decode_whole_list(bencher: Bencher) {
    let (text, names) = (whole_text(), names());
    bencher.bench_local(|| decode_event_text(black_box(&text), &names));
}

#[divan::bench]
fn decode_changed_line(bencher: Bencher) {
    let (text, names) = (event_text(2, false, 3000..3001, 5), names());
    bencher.bench_local(|| decode_event_text(black_box(&text), &names));
}

#[divan::bench(args = [false, true])]
fn apply_first_list(bencher: Bencher, subset: bool) {
    let event = decode(&whole_text());
    bencher
        .with_inputs(|| (list(subset), event.clone()))
        .bench_local_values(|(list, event)| {
            black_box(list.apply(event));
            list
        });
}

#[divan::bench(args = [false, true])]
fn apply_whole_list_again(bencher: Bencher, subset: bool) {
    let (event, list) = (decode(&whole_text()), list(subset));
    list.apply(event.clone());
    bencher
        .with_inputs(|| event.clone())
        .bench_local_values(|event| list.apply(event));
}

/// Each iteration applies the restart of a different engine.
#[divan::bench(args = [false, true])]
fn apply_changed_line(bencher: Bencher, subset: bool) {
    let list = list(subset);
    list.apply(decode(&whole_text()));
    let mut number = 0;
    bencher
        .with_inputs(|| {
            number += 1;
            let engine = number * 7919 % ENGINES;
            decode(&event_text(2, false, engine..engine + 1, number as u64))
        })
        .bench_local_values(|event| list.apply(event));
}
