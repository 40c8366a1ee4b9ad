//! Checks the measured values against the limits of the experiment.

use super::experiment::Limit;
use super::regression::Sample;
use super::report::{number, Series};

/// Checks all limits, prints a line for each and the counts, and returns whether all hold.
pub fn judge(limits: &[Limit], all_series: &[Series]) -> bool {
    let verdicts: Vec<bool> = limits
        .iter()
        .flat_map(|limit| judge_limit(limit, all_series))
        .collect();
    let passed = verdicts.iter().filter(|verdict| **verdict).count();
    println!("{passed} passed, {} failed", verdicts.len() - passed);
    passed == verdicts.len()
}

/// Checks one limit at all sizes, the predicted one included. A metric that the role does not measure fails.
fn judge_limit(limit: &Limit, all_series: &[Series]) -> Vec<bool> {
    let label = limit.metric.label();
    let Some(series) = all_series
        .iter()
        .find(|series| series.metric == limit.metric)
    else {
        println!("FAILED {label}: not measured by this role");
        return vec![false];
    };
    let measured = series
        .predicted
        .iter()
        .map(|prediction| prediction.measured.median());
    let worst = series
        .samples
        .iter()
        .map(Sample::median)
        .chain(measured)
        .fold(0.0, f64::max);
    let smallest = series.samples.first().map_or(0.0, Sample::median);
    let most = limit.most.map(|most| judge_value(label, worst, most));
    let most_over_smallest = limit.most_over_smallest.map(|most| {
        let label = format!("{label} over the smallest");
        judge_value(&label, worst / smallest, most)
    });
    most.into_iter().chain(most_over_smallest).collect()
}

fn judge_value(label: &str, found: f64, most: f64) -> bool {
    let passed = found <= most;
    let verdict = if passed { "passed" } else { "FAILED" };
    println!(
        "{verdict} {label}: {} at worst, {} at most",
        number(found),
        number(most)
    );
    passed
}
