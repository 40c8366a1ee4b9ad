//! Tests of the fleet simulation with small experiments: all findings pass, the seed determines the run, and each
//! injected fault fails the finding that covers it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SMALL_EXPERIMENT: &str = "fleet-small.toml";
const COLD_EXPERIMENT: &str = "fleet-cold-small.toml";

fn experiment(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("experiments")
        .join(name)
}

fn run_fleet(experiment: &Path, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnetwall-scale"));
    command
        .arg("fleet")
        .arg(experiment)
        .args(more)
        .output()
        .expect("garnetwall-scale starts")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("standard output is UTF-8")
}

/// Writes a changed copy of an experiment to a temporary file; returns its path.
fn write_variant(from: &str, name: &str, change: impl Fn(String) -> String) -> PathBuf {
    let text = std::fs::read_to_string(experiment(from)).expect("the experiment is readable");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{name}.toml"));
    std::fs::write(&path, change(text)).expect("the temporary directory is writable");
    path
}

/// Asserts that a run with an injected fault fails the given finding.
fn assert_found(from: &str, fault: &str, finding: &str) {
    let path = write_variant(from, fault, |text| format!("slip = \"{fault}\"\n{text}"));
    let output = run_fleet(&path, &[]);
    let printed = stdout(&output);
    assert_eq!(output.status.code(), Some(1), "{fault}: {printed}");
    assert!(
        printed.contains(&format!("FAIL {finding}:")),
        "injected fault {fault} did not fail the expected finding:\n{printed}"
    );
}

fn assert_passes(name: &str) {
    let output = run_fleet(&experiment(name), &[]);
    let printed = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{printed}");
    assert!(
        printed.trim_end().ends_with("passed, 0 failed"),
        "{printed}"
    );
    assert!(!printed.contains("FAIL"), "{printed}");
}

#[test]
fn small_fleet_passes_and_the_summary_comes_last() {
    assert_passes(SMALL_EXPERIMENT);
}

#[test]
fn small_fleet_with_cold_engines_passes_when_demand_exceeds_capacity() {
    assert_passes(COLD_EXPERIMENT);
}

#[test]
fn the_seed_determines_the_run() {
    let seeded = |seed| stdout(&run_fleet(&experiment(SMALL_EXPERIMENT), &["--seed", seed]));
    let first = seeded("11");
    assert_eq!(first, seeded("11"));
    assert_ne!(first, seeded("12"));
}

#[test]
fn results_file_has_a_header_and_one_json_line_per_finding() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("fleet-results.jsonl");
    let output = run_fleet(
        &experiment(SMALL_EXPERIMENT),
        &["--results", path.to_str().expect("the path is UTF-8")],
    );
    let lines = std::fs::read_to_string(&path).expect("the results file is readable");
    let parse = |line| serde_json::from_str::<serde_json::Value>(line).expect("the line is JSON");
    let values: Vec<serde_json::Value> = lines.lines().map(parse).collect();
    let printed = stdout(&output);
    let judged = printed
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
fn an_invalid_experiment_is_rejected_with_the_key_at_fault() {
    for (name, from, to, place) in [
        ("no-engines", "count = 60", "count = 0", "engines.count"),
        ("no-such-zone", "which = 2", "which = 4", "script.which"),
        ("misspelt", "settle =", "setle =", "setle"),
    ] {
        let output = run_fleet(
            &write_variant(SMALL_EXPERIMENT, name, |text| text.replace(from, to)),
            &[],
        );
        let reported = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{name}: {reported}");
        assert!(reported.contains(place), "{name}: {reported}");
    }
}

#[test]
fn repeated_answers_late_answers_and_attempts_after_the_answer_fail_rule_1() {
    assert_found(
        SMALL_EXPERIMENT,
        "answer-twice",
        "rule 1, one final answer in time",
    );
    assert_found(
        SMALL_EXPERIMENT,
        "answer-late",
        "rule 1, one final answer in time",
    );
    assert_found(
        SMALL_EXPERIMENT,
        "send-after-answer",
        "rule 1, one final answer in time",
    );
}

#[test]
fn lost_answers_fail_the_share_of_successful_queries() {
    assert_found(SMALL_EXPERIMENT, "answers-lost", "queries that succeed");
}

#[test]
fn attempts_at_draining_engines_fail_rule_3() {
    assert_found(
        SMALL_EXPERIMENT,
        "send-to-draining",
        "rule 3, engines told draining or gone",
    );
}

#[test]
fn faults_in_slow_start_fail_the_findings_for_cold_engines() {
    assert_found(
        COLD_EXPERIMENT,
        "holders-forgotten",
        "rule 4, cold engines under the sum",
    );
    assert_found(COLD_EXPERIMENT, "cold-shunned", "cold budget used");
    assert_found(SMALL_EXPERIMENT, "starts-untold", "engines told cold");
}

#[test]
fn queries_of_a_key_out_of_order_fail_rule_5() {
    assert_found(
        SMALL_EXPERIMENT,
        "order-forgotten",
        "rule 5, order of a key",
    );
}

#[test]
fn attempts_outside_the_zones_and_kinds_of_a_class_fail_rule_6() {
    assert_found(SMALL_EXPERIMENT, "placement-forgotten", "rule 6, placement");
}

#[test]
fn retries_over_the_budget_fail_rule_7() {
    assert_found(SMALL_EXPERIMENT, "budget-forgotten", "rule 7, retry budget");
}

#[test]
fn faults_in_subsets_fail_the_findings_for_spread_connections_and_refill() {
    assert_found(SMALL_EXPERIMENT, "half-joined", "spread of work");
    assert_found(
        SMALL_EXPERIMENT,
        "all-connected",
        "gateways an engine meets",
    );
    assert_found(
        SMALL_EXPERIMENT,
        "no-refill",
        "full subsets after a zone's loss",
    );
}

#[test]
fn gateways_that_ignore_change_log_entries_fail_the_delivery_times() {
    assert_found(SMALL_EXPERIMENT, "deaf", "time until known");
    assert_found(SMALL_EXPERIMENT, "never-in-force", "time until in force");
}
