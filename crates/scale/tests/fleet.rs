//! The hollow fleet in small: it passes, the same seed gives the same run, and each injected fault is found where it belongs.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SMALL: &str = "fleet-small.toml";
const COLD: &str = "fleet-cold-small.toml";

fn experiment(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("experiments")
        .join(name)
}

fn play(experiment: &Path, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnetwall-scale"));
    command
        .arg("fleet")
        .arg(experiment)
        .args(more)
        .output()
        .expect("the program starts")
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

/// An experiment with the text changed, as a file of this name.
fn changed(from: &str, name: &str, change: impl Fn(String) -> String) -> PathBuf {
    let text = std::fs::read_to_string(experiment(from)).expect("the experiment");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{name}.toml"));
    std::fs::write(&path, change(text)).expect("a writable directory");
    path
}

fn assert_found(from: &str, fault: &str, finding: &str) {
    let path = changed(from, fault, |text| format!("slip = \"{fault}\"\n{text}"));
    let output = play(&path, &[]);
    let shown = text(&output);
    assert_eq!(output.status.code(), Some(1), "{fault}: {shown}");
    assert!(
        shown.contains(&format!("FAIL {finding}:")),
        "{fault} is not found:\n{shown}"
    );
}

fn passes(name: &str) {
    let output = play(&experiment(name), &[]);
    let shown = text(&output);
    assert_eq!(output.status.code(), Some(0), "{shown}");
    assert!(shown.trim_end().ends_with("passed, 0 failed"), "{shown}");
    assert!(!shown.contains("FAIL"), "{shown}");
}

#[test]
fn the_small_fleet_passes_and_says_so_last() {
    passes(SMALL);
}

#[test]
fn cold_engines_under_more_demand_than_all_can_meet_pass() {
    passes(COLD);
}

#[test]
fn the_same_seed_gives_the_same_run_and_another_does_not() {
    let seeded = |seed| text(&play(&experiment(SMALL), &["--seed", seed]));
    let first = seeded("11");
    assert_eq!(first, seeded("11"));
    assert_ne!(first, seeded("12"));
}

#[test]
fn results_are_json_lines_with_every_finding() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("fleet-results.jsonl");
    let output = play(
        &experiment(SMALL),
        &["--results", path.to_str().expect("a path of text")],
    );
    let lines = std::fs::read_to_string(&path).expect("results");
    let parse = |line| serde_json::from_str::<serde_json::Value>(line).expect("a JSON line");
    let values: Vec<serde_json::Value> = lines.lines().map(parse).collect();
    let shown = text(&output);
    let judged = shown
        .lines()
        .filter(|line| line.starts_with("ok ") || line.starts_with("FAIL "))
        .count();
    assert_eq!(values.len(), judged + 1, "{lines}");
    assert_eq!(values[0]["gateways"], 90);
    assert!(values[1..]
        .iter()
        .all(|value| value["passed"].is_boolean() && value["values"].is_object()));
}

#[test]
fn a_bad_experiment_is_reported_with_its_place() {
    for (name, from, to, place) in [
        ("no-engines", "count = 60", "count = 0", "engines.count"),
        ("no-such-zone", "which = 2", "which = 4", "script.which"),
        ("misspelt", "settle =", "setle =", "setle"),
    ] {
        let output = play(&changed(SMALL, name, |text| text.replace(from, to)), &[]);
        let reported = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{name}: {reported}");
        assert!(reported.contains(place), "{name}: {reported}");
    }
}

#[test]
fn injected_faults_against_one_answer_in_time_are_found() {
    assert_found(SMALL, "answer-twice", "rule 1, one final answer in time");
    assert_found(SMALL, "answer-late", "rule 1, one final answer in time");
    assert_found(
        SMALL,
        "send-after-answer",
        "rule 1, one final answer in time",
    );
}

#[test]
fn an_injected_fault_that_loses_answers_is_found() {
    assert_found(SMALL, "answers-lost", "queries that succeed");
}

#[test]
fn an_injected_fault_that_sends_to_draining_engines_is_found() {
    assert_found(
        SMALL,
        "send-to-draining",
        "rule 3, engines told draining or gone",
    );
}

#[test]
fn injected_faults_against_cold_engines_are_found() {
    assert_found(
        COLD,
        "holders-forgotten",
        "rule 4, cold engines under the sum",
    );
    assert_found(COLD, "cold-shunned", "cold budget used");
    assert_found(SMALL, "starts-untold", "engines told cold");
}

#[test]
fn an_injected_fault_against_the_order_of_keys_is_found() {
    assert_found(SMALL, "order-forgotten", "rule 5, order of a key");
}

#[test]
fn an_injected_fault_against_placement_is_found() {
    assert_found(SMALL, "placement-forgotten", "rule 6, placement");
}

#[test]
fn an_injected_fault_against_the_retry_budget_is_found() {
    assert_found(SMALL, "budget-forgotten", "rule 7, retry budget");
}

#[test]
fn injected_faults_against_subsets_are_found() {
    assert_found(SMALL, "half-joined", "spread of work");
    assert_found(SMALL, "all-connected", "gateways an engine meets");
    assert_found(SMALL, "no-refill", "full subsets after a zone's loss");
}

#[test]
fn injected_faults_against_the_change_log_are_found() {
    assert_found(SMALL, "deaf", "time until known");
    assert_found(SMALL, "never-in-force", "time until in force");
}
