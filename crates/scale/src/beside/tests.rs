//! The judge on facts written by hand, and small parts of the stand-ins.

use super::experiment::{Expect, Experiment};
use super::facts::{Attempt, ChangeSeen, Delivery, Facts, Group, Notice, Outcome, Query};
use super::fit::Line;
use super::judge::{judge, seen_by_99_in_100};
use super::report::Figure;
use super::roster::{address, slot, EngineId};
use super::sweeps;
use super::watchers::LineStarts;
use bytes::Bytes;
use std::net::IpAddr;

const ENGINE: EngineId = EngineId {
    slot: 0,
    generation: 0,
};

fn query(id: u64, group: Group, sent: f64, answered: f64) -> Query {
    let outcome = Outcome::Succeeded {
        engine: ENGINE.to_string(),
    };
    let key = (group == Group::Load).then_some(1);
    Query {
        id,
        gateway: 0,
        group,
        key,
        sent,
        limit: 3.0,
        answered,
        outcome,
    }
}

fn attempt(query: u64, came: f64, over: f64) -> Attempt {
    let over = Some(over);
    Attempt {
        query,
        gateway: 0,
        engine: ENGINE,
        came,
        over,
        succeeded: true,
        declined: false,
        asked: came,
    }
}

fn facts(queries: Vec<Query>, attempts: Vec<Attempt>) -> Facts {
    Facts {
        queries,
        attempts,
        gateways: 1,
        engines: 1,
        ..Facts::default()
    }
}

fn failed(facts: &Facts) -> Vec<&'static str> {
    let judgements = judge(facts, &Expect::default());
    judgements
        .into_iter()
        .filter(|judgement| !judgement.passed)
        .map(|judgement| judgement.what)
        .collect()
}

#[test]
fn a_run_by_the_rules_passes() {
    let queries = vec![
        query(1, Group::Load, 0.0, 0.3),
        query(2, Group::Load, 0.1, 0.9),
    ];
    let attempts = vec![attempt(1, 0.05, 0.25), attempt(2, 0.5, 0.8)];
    assert_eq!(failed(&facts(queries, attempts)), Vec::<&str>::new());
}

#[test]
fn a_run_in_which_nothing_succeeded_fails() {
    assert_eq!(
        failed(&facts(Vec::new(), Vec::new())),
        ["something was played"]
    );
}

#[test]
fn an_answer_later_than_its_limit_on_sockets_is_found() {
    let on_time = facts(
        vec![query(1, Group::Report, 0.0, 3.04)],
        vec![attempt(1, 0.1, 0.2)],
    );
    assert_eq!(failed(&on_time), Vec::<&str>::new());
    let late = facts(
        vec![query(1, Group::Report, 0.0, 3.06)],
        vec![attempt(1, 0.1, 0.2)],
    );
    assert_eq!(failed(&late), ["one whole answer within its limit"]);
}

#[test]
fn queries_of_a_key_that_run_together_or_in_the_wrong_order_are_found() {
    let queries = vec![
        query(1, Group::Load, 0.0, 0.9),
        query(2, Group::Load, 0.1, 0.9),
    ];
    let together = vec![attempt(1, 0.2, 0.6), attempt(2, 0.5, 0.8)];
    assert_eq!(
        failed(&facts(queries.clone(), together)),
        ["one at a time for each key"]
    );
    let turned = vec![attempt(2, 0.2, 0.4), attempt(1, 0.5, 0.8)];
    assert_eq!(
        failed(&facts(queries, turned)),
        ["one at a time for each key"]
    );
}

#[test]
fn an_effect_made_twice_is_found() {
    let twice = vec![attempt(1, 0.1, 0.2), attempt(1, 0.3, 0.4)];
    assert_eq!(
        failed(&facts(vec![query(1, Group::Load, 0.0, 0.9)], twice.clone())),
        ["no effect twice"]
    );
    assert_eq!(
        failed(&facts(vec![query(1, Group::Report, 0.0, 0.9)], twice)),
        Vec::<&str>::new()
    );
}

#[test]
fn an_attempt_after_the_answer_is_found() {
    let attempts = vec![attempt(1, 0.1, 0.2), attempt(1, 0.5, 0.6)];
    let found = failed(&facts(vec![query(1, Group::Report, 0.0, 0.3)], attempts));
    assert_eq!(found, ["nothing sent after the answer"]);
}

#[test]
fn a_drain_counts_as_told_soon_after_it_was_written_and_7_s_after_it_was_logged_at_the_latest() {
    let mut drained = facts(
        vec![query(1, Group::Report, 6.4, 6.9)],
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
        at: 5.0,
    }];
    assert_eq!(
        failed(&drained),
        ["nothing new to an engine told draining or gone"]
    );
    drained.deliveries.clear();
    drained.attempts[0].came = 7.1;
    drained.queries[0].answered = 7.5;
    assert_eq!(
        failed(&drained),
        ["nothing new to an engine told draining or gone"]
    );
}

#[test]
fn a_change_that_too_few_watchers_saw_was_not_seen() {
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
fn watchers_take_numbers_from_events_that_are_whole_however_their_bytes_come() {
    let stream = format!(
        ":\n\nid: 7\ndata: {}\n\nid: 8\ndata: {{}}\n\nid: 9\n",
        "x".repeat(500)
    );
    for size in [1, 3, 64, 4096] {
        let mut lines = LineStarts::default();
        let parts = stream.as_bytes().chunks(size);
        let numbers: Vec<u64> = parts
            .flat_map(|part| lines.feed(&Bytes::copy_from_slice(part)))
            .collect();
        assert_eq!(numbers, [7, 8]);
    }
}

#[test]
fn an_address_names_its_slot() {
    for number in [0, 1, 255, 6_499] {
        assert_eq!(slot(IpAddr::from(address(number))), Some(number));
    }
}

#[test]
fn a_line_is_fitted_with_what_is_left_over() {
    let line = Line::through(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]);
    assert_eq!(
        line,
        Some(Line {
            slope: 2.0,
            intercept: 1.0,
            worst: 0.0
        })
    );
    assert_eq!(Line::through(&[(1.0, 1.0), (1.0, 2.0)]), None);
}

#[test]
fn a_sweep_that_lost_what_it_measured_fails() {
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
    let ours = files.filter(|file| {
        file.file_name()
            .unwrap()
            .to_string_lossy()
            .starts_with("beside")
    });
    let read: Vec<Experiment> = ours.map(|file| Experiment::read(&file).unwrap()).collect();
    assert!(!read.is_empty());
}
