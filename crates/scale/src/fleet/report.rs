//! Prints the findings of a run, and writes them to the results file.

use super::experiment::Experiment;
use super::judge::Finding;
use super::simulation::Outcome;
use serde::Serialize;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::time::Duration;

/// The first line of a results file.
#[derive(Serialize)]
struct Header<'a> {
    experiment: &'a str,
    seed: u64,
    gateways: usize,
    engines: usize,
    subset: Option<usize>,
    seconds: f64,
    played_share: f64,
    mean_work: f64,
    events: u64,
    wall_seconds: f64,
    peak_memory_kb: Option<u64>,
}

/// Prints the findings, followed by the numbers that passed and failed; returns whether none failed.
pub fn print(experiment: &Experiment, seed: u64, outcome: &Outcome) -> bool {
    let gateways = &experiment.gateways;
    println!(
        "{}: {} gateways and {} engines, seed {seed}, {} s simulated; {:.2}% of {} queries per second per gateway, \
         mean work {:.3} s per query",
        experiment.name,
        gateways.count,
        experiment.engines.count,
        experiment.seconds,
        gateways.rate / gateways.real_rate * 100.0,
        gateways.real_rate,
        outcome.mean_work
    );
    for finding in &outcome.findings {
        let status = match finding.passed {
            Some(true) => "ok  ",
            Some(false) => "FAIL",
            None => "--  ",
        };
        println!("{status} {}: {}", finding.name, finding.figure);
    }
    let count = |verdict| {
        outcome
            .findings
            .iter()
            .filter(|finding| finding.passed == Some(verdict))
            .count()
    };
    let (passed, failed) = (count(true), count(false));
    println!("{passed} passed, {failed} failed");
    failed == 0
}

/// Writes a results file as JSON lines: a header, then one line per finding.
///
/// # Errors
///
/// Returns an error if the file cannot be created or written.
pub fn write(
    path: &Path,
    experiment: &Experiment,
    seed: u64,
    outcome: &Outcome,
    wall: Duration,
) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    let header = Header {
        experiment: &experiment.name,
        seed,
        gateways: experiment.gateways.count,
        engines: experiment.engines.count,
        subset: experiment.subset.as_ref().map(|subset| subset.size),
        seconds: experiment.seconds,
        played_share: experiment.gateways.rate / experiment.gateways.real_rate,
        mean_work: outcome.mean_work,
        events: outcome.events,
        wall_seconds: wall.as_secs_f64(),
        peak_memory_kb: peak_memory_kb(),
    };
    write_record(&mut file, &header)?;
    outcome
        .findings
        .iter()
        .try_for_each(|finding: &Finding| write_record(&mut file, finding))?;
    file.flush()
}

fn write_record(file: &mut impl Write, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer(&mut *file, value)?;
    file.write_all(b"\n")
}

/// Returns the peak resident memory of this process in KiB, if the system reports it.
pub fn peak_memory_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let peak = status.lines().find(|entry| entry.starts_with("VmHWM:"))?;
    peak.split_whitespace().nth(1)?.parse().ok()
}
