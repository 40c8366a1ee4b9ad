//! Tests of `garnetwall-scale spread`: the verdict, the detection of each injected fault, and the rejection of invalid
//! experiments.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SMALL: &str = include_str!("../experiments/spread-small.toml");

/// The small experiment, reduced to one seed and one size.
fn reduced() -> String {
    SMALL
        .replace("seeds = 2", "seeds = 1")
        .replace("[24, 48]", "[24]")
}

/// Writes an experiment into a separate file for a test.
fn experiment(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("spread-{name}.toml"));
    std::fs::write(&path, text).expect("the directory for tests can be written");
    path
}

fn spread(experiment: &Path, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnetwall-scale"));
    command
        .arg("spread")
        .arg(experiment)
        .args(more)
        .env_remove("GARNETWALL_LOG");
    command.output().expect("the program starts")
}

fn text(output: &[u8]) -> String {
    String::from_utf8(output.to_vec()).expect("the output is text")
}

/// Returns the checks that failed, and the last line of the output.
fn verdict(output: &Output) -> (Vec<String>, String) {
    let stdout = text(&output.stdout);
    let failed = stdout
        .lines()
        .filter(|line| line.starts_with("FAILED"))
        .map(String::from)
        .collect();
    (
        failed,
        stdout.lines().last().unwrap_or_default().to_string(),
    )
}

#[test]
fn the_small_experiment_passes() {
    let output = spread(&experiment("passes", SMALL), &[]);
    let (failed, last) = verdict(&output);
    assert!(failed.is_empty(), "{failed:#?}");
    // Two sizes with eight checks each.
    assert_eq!(last, "16 passed, 0 failed");
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let path = experiment("same-seed", &reduced());
    let figures = |name: &str, seed: &str| {
        let results = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let results_text = results.to_str().expect("a plain path");
        spread(&path, &["--results", results_text, "--seed", seed]);
        let lines = std::fs::read_to_string(&results).expect("results are written");
        // Processor time differs between runs.
        lines
            .lines()
            .filter(|line| !line.contains("choose-us"))
            .map(String::from)
            .collect::<Vec<_>>()
    };
    let first = figures("spread-first.jsonl", "7");
    assert!(first.len() > 100, "{} rows", first.len());
    assert_eq!(first, figures("spread-second.jsonl", "7"));
    assert_ne!(first, figures("spread-third.jsonl", "8"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    assert!(std::fs::read_to_string(directory.join("spread-first.csv"))
        .expect("a table")
        .contains("work-even-max"));
    let chart =
        std::fs::read_to_string(directory.join("spread-first-120x100.svg")).expect("a chart");
    assert!(
        chart.contains("rendezvous-equal"),
        "the chart has no legend for rendezvous-equal"
    );
}

/// Each injected fault, and the checks that have to fail because of it.
const INJECTED_FAULTS: [(&str, &[&str]); 6] = [
    (
        "unheld-engine",
        &[
            "engines held by nobody",
            "gateways that differ from the plain form",
        ],
    ),
    (
        "needless-moves",
        &[
            "one engine lost",
            "a rack lost",
            "a zone lost",
            "gateways that differ",
        ],
    ),
    ("moves-with-gateways", &["moves of those that stay"]),
    (
        "one-member-lacks",
        &["gateways that differ from the plain form"],
    ),
    ("holders-untold", &["sum of what the holders"]),
    ("no-return", &["not back at their subset"]),
];

#[test]
fn each_injected_fault_is_found() {
    let reduced = reduced();
    let fault_free = verdict(&spread(&experiment("fault_free", &reduced), &[]));
    assert!(fault_free.0.is_empty(), "{fault_free:#?}");
    for (fault, found) in INJECTED_FAULTS {
        let output = spread(
            &experiment(fault, &format!("slip = \"{fault}\"\n{reduced}")),
            &[],
        );
        let (failed, last) = verdict(&output);
        for wanted in found {
            assert!(
                failed.iter().any(|line| line.contains(wanted)),
                "{fault}: {wanted}: {failed:#?}"
            );
        }
        assert!(!last.ends_with(" 0 failed"), "{fault}: {last}");
        assert_eq!(output.status.code(), Some(1), "{fault}");
    }
}

/// Text of the small experiment, its replacement, and texts that the error has to contain.
const INVALID_EXPERIMENTS: [(&str, &str, &[&str]); 10] = [
    ("seeds = 2", "seeds = 0", &["seeds: 0", "1 to 1,024"]),
    ("seeds = 2", "sedes = 2", &["sedes", "seeds"]),
    ("zones = 5", "zones = 0", &["zones: 0"]),
    (
        "rack_engines = 10",
        "rack_engines = 0",
        &["rack_engines: 0"],
    ),
    ("engines = 100", "engines = 1", &["fleets", "2 to 100,000"]),
    (
        "subset_sizes = [24, 48]",
        "subset_sizes = []",
        &["fleets.subset_sizes"],
    ),
    (
        "gateways_lost = 0.1",
        "gateways_lost = 1.0",
        &["gateways_lost: 1"],
    ),
    (
        "gateways_lost = 0.1",
        "gateways_lost = 0.1\nways = [\"ring\"]",
        &["ways", "rendezvous-floors"],
    ),
    (
        "points_per_core = 1",
        "points_per_core = 0",
        &["ring.points_per_core: 0"],
    ),
    (
        "heavy_share = 0.1",
        "heavy_share = 0.2",
        &["traffic.heavy_share: 0.2"],
    ),
];

#[test]
fn invalid_experiments_are_rejected_with_their_key() {
    for (index, (from, to, named)) in INVALID_EXPERIMENTS.into_iter().enumerate() {
        assert!(SMALL.contains(from), "{from}");
        let path = experiment(&format!("bad-{index}"), &SMALL.replace(from, to));
        let output = spread(&path, &[]);
        let stderr = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{to}: {stderr}");
        for wanted in named.iter().chain(&["spread-bad-"]) {
            assert!(stderr.contains(wanted), "{to}: {wanted}: {stderr}");
        }
    }
}

#[test]
fn a_missing_experiment_file_is_reported_by_name() {
    let output = spread(Path::new("no-such-experiment.toml"), &[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("no-such-experiment.toml"));
}

#[test]
fn results_that_cannot_be_written_are_reported_before_the_run() {
    let output = spread(
        &experiment("unwritable", SMALL),
        &["--results", "/proc/no/such/file.jsonl"],
    );
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty(), "the experiment ran");
}
