//! Tests of the judge with hand-written observations, and of small parts of the simulated change log and engines.

use super::endpoint_list::{address, slot, EngineId};
use super::experiment::{Expect, Experiment};
use super::figure::Figure;
use super::judge::judge;
use super::observations::{
    Attempt, ChangeSeen, Delivery, Notice, Observations, Outcome, Query, QueryClass,
};
use super::run_statistics::seen_by_99_in_100;
use super::sweeps;
use super::watchers::EventNumberParser;
use bytes::Bytes;
use std::net::IpAddr;

const ENGINE: EngineId = EngineId {
    slot: 0,
    generation: 0,
};

fn query(id: u64, class: QueryClass, started_at: f64, answered_at: f64) -> Query {
    let outcome = Outcome::Succeeded {
        engine: ENGINE.to_string(),
    };
    let key = (class == QueryClass::Load).then_some(1);
    Query {
        id,
        gateway: 0,
        class,
        key,
        started_at,
        limit: 3.0,
        answered_at,
        outcome,
    }
}

fn attempt(query: u64, received_at: f64, ended_at: f64) -> Attempt {
    let ended_at = Some(ended_at);
    Attempt {
        query,
        gateway: 0,
        engine: ENGINE,
        received_at,
        ended_at,
        succeeded: true,
        declined: false,
        polled_at: received_at,
    }
}

fn observations(queries: Vec<Query>, attempts: Vec<Attempt>) -> Observations {
    Observations {
        queries,
        attempts,
        gateways: 1,
        engines: 1,
        ..Observations::default()
    }
}

fn failed(observations: &Observations) -> Vec<&'static str> {
    let judgements = judge(observations, &Expect::default());
    judgements
        .into_iter()
        .filter(|judgement| !judgement.passed)
        .map(|judgement| judgement.what)
        .collect()
}

#[test]
fn a_run_that_follows_the_rules_passes() {
    let queries = vec![
        query(1, QueryClass::Load, 0.0, 0.3),
        query(2, QueryClass::Load, 0.1, 0.9),
    ];
    let attempts = vec![attempt(1, 0.05, 0.25), attempt(2, 0.5, 0.8)];
    assert_eq!(failed(&observations(queries, attempts)), Vec::<&str>::new());
}

#[test]
fn a_run_in_which_nothing_succeeded_fails() {
    assert_eq!(
        failed(&observations(Vec::new(), Vec::new())),
        ["something was played"]
    );
}

#[test]
fn an_answer_later_than_its_limit_and_the_socket_allowance_is_found() {
    let on_time = observations(
        vec![query(1, QueryClass::Report, 0.0, 3.04)],
        vec![attempt(1, 0.1, 0.2)],
    );
    assert_eq!(failed(&on_time), Vec::<&str>::new());
    let late = observations(
        vec![query(1, QueryClass::Report, 0.0, 3.06)],
        vec![attempt(1, 0.1, 0.2)],
    );
    assert_eq!(failed(&late), ["one whole answer within its limit"]);
}

#[test]
fn queries_of_a_key_that_overlap_or_run_in_the_wrong_order_are_found() {
    let queries = vec![
        query(1, QueryClass::Load, 0.0, 0.9),
        query(2, QueryClass::Load, 0.1, 0.9),
    ];
    let overlapping = vec![attempt(1, 0.2, 0.6), attempt(2, 0.5, 0.8)];
    assert_eq!(
        failed(&observations(queries.clone(), overlapping)),
        ["one at a time for each key"]
    );
    let reversed = vec![attempt(2, 0.2, 0.4), attempt(1, 0.5, 0.8)];
    assert_eq!(
        failed(&observations(queries, reversed)),
        ["one at a time for each key"]
    );
}

#[test]
fn an_effect_made_twice_is_found() {
    let twice = vec![attempt(1, 0.1, 0.2), attempt(1, 0.3, 0.4)];
    assert_eq!(
        failed(&observations(
            vec![query(1, QueryClass::Load, 0.0, 0.9)],
            twice.clone()
        )),
        ["no effect twice"]
    );
    assert_eq!(
        failed(&observations(
            vec![query(1, QueryClass::Report, 0.0, 0.9)],
            twice
        )),
        Vec::<&str>::new()
    );
}

#[test]
fn an_attempt_after_the_answer_is_found() {
    let attempts = vec![attempt(1, 0.1, 0.2), attempt(1, 0.5, 0.6)];
    let found = failed(&observations(
        vec![query(1, QueryClass::Report, 0.0, 0.3)],
        attempts,
    ));
    assert_eq!(found, ["nothing sent after the answer"]);
}

#[test]
fn a_drain_counts_as_notified_soon_after_delivery_and_7_s_after_publication_at_the_latest() {
    let mut drained = observations(
        vec![query(1, QueryClass::Report, 6.4, 6.9)],
        vec![attempt(1, 6.5, 6.8)],
    );
    drained.notices = vec![Notice {
        engine: ENGINE,
        number: 2,
        appended: 0.0,
    }];
    assert_eq!(failed(&drained), Vec::<&str>::new());
    drained.deliveries = vec![Delivery {
        number: 2,
        gateway: 0,
        delivered_at: 5.0,
    }];
    assert_eq!(
        failed(&drained),
        ["nothing new to an engine told draining or gone"]
    );
    drained.deliveries.clear();
    drained.attempts[0].received_at = 7.1;
    drained.queries[0].answered_at = 7.5;
    assert_eq!(
        failed(&drained),
        ["nothing new to an engine told draining or gone"]
    );
}

#[test]
fn a_change_is_seen_only_after_99_in_100_watchers_received_it() {
    let mut change = ChangeSeen {
        number: 2,
        appended: 0.0,
        seconds: vec![0.1; 98],
    };
    assert_eq!(seen_by_99_in_100(&change, 100), f64::INFINITY);
    change.seconds.push(0.7);
    assert_eq!(seen_by_99_in_100(&change, 100), 0.7);
}

#[test]
fn event_numbers_are_parsed_from_complete_events_however_the_bytes_are_split() {
    let stream = format!(
        ":\n\nid: 7\ndata: {}\n\nid: 8\ndata: {{}}\n\nid: 9\n",
        "x".repeat(500)
    );
    for size in [1, 3, 64, 4096] {
        let mut parser = EventNumberParser::default();
        let parts = stream.as_bytes().chunks(size);
        let numbers: Vec<u64> = parts
            .flat_map(|part| parser.feed(&Bytes::copy_from_slice(part)))
            .collect();
        assert_eq!(numbers, [7, 8]);
    }
}

#[test]
fn an_address_converts_back_to_its_slot() {
    for number in [0, 1, 255, 6_499] {
        assert_eq!(slot(IpAddr::from(address(number))), Some(number));
    }
}

#[test]
fn a_sweep_with_closed_connections_or_unseen_changes_fails() {
    let step = |name: &str, value: f64| Figure::new("log_watchers", 100.0, name, value);
    let whole = [
        step("connected", 100.0),
        step("one_line_seen_by_99_in_100_ms", 5.0),
    ];
    assert!(sweeps::judge(&whole)
        .iter()
        .all(|judgement| judgement.passed));
    let lost = [
        step("connected", 99.0),
        step("one_line_seen_by_99_in_100_ms", f64::INFINITY),
    ];
    assert_eq!(
        sweeps::judge(&lost)
            .iter()
            .filter(|judgement| judgement.passed)
            .count(),
        0
    );
    let closed = Figure::new("client_connections", 500.0, "still_open", 499.0);
    assert_eq!(
        sweeps::judge(&[closed])
            .iter()
            .filter(|judgement| !judgement.passed)
            .count(),
        1
    );
}

#[test]
fn every_experiment_in_the_repository_can_be_read() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let files = std::fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path());
    let beside_files = files.filter(|file| {
        file.file_name()
            .unwrap()
            .to_string_lossy()
            .starts_with("beside")
    });
    let read: Vec<Experiment> = beside_files
        .map(|file| Experiment::read(&file).unwrap())
        .collect();
    assert!(!read.is_empty());
}
