//! The subcommand `slopes`: measures the cost of one role as one quantity grows. Each point is measured several times,
//! each time in a fresh process. A line and a power law are fitted to the sizes; a size outside the fitted range is
//! predicted and then measured.

mod chart;
mod experiment;
mod judge;
mod measurement;
mod metric;
mod quantities;
mod regression;
mod report;
mod role;
mod role_name;
mod roles;
mod runner;

use crate::results::Results;
use crate::run::{RunArguments, Verdict};
use experiment::Experiment;
use indicatif::{ProgressBar, ProgressStyle};
use measurement::{Measured, Point};
use metric::Metric;
use regression::{Regression, Sample};
use report::{Prediction, Series, ValueRow};
use runner::Runner;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Measured values of all runs, by metric and size.
type Values = BTreeMap<Metric, BTreeMap<u64, Vec<f64>>>;

/// Reads a point from standard input, measures it, and writes the values to standard output.
pub fn measure_point() -> Verdict {
    let point: Point = serde_json::from_reader(std::io::stdin())?;
    let measured = roles::role(point.role).measure(&point)?;
    println!("{}", serde_json::to_string(&measured)?);
    Ok(true)
}

/// Runs one experiment: measures all points, prints tables and fits, and checks the limits. With a results file, also
/// writes the values and a chart for each metric.
pub fn run(arguments: &RunArguments) -> Verdict {
    let mut experiment = Experiment::read(&arguments.experiment)?;
    experiment.seed = arguments.seed.unwrap_or(experiment.seed);
    let mut results = Results::create(arguments.results.as_deref())?;
    let values = measure_all(&experiment, &mut results)?;
    let all_series: Vec<Series> = values
        .into_iter()
        .map(|(metric, sizes)| series(&experiment, metric, sizes))
        .collect();
    print(&experiment, &all_series);
    if let Some(path) = &arguments.results {
        for one in &all_series {
            chart::draw(&chart_path(path, one.metric), one, experiment.sweep)?;
        }
    }
    Ok(judge::judge(&experiment.limits, &all_series))
}

/// Measures all points. Each run measures every size once, so that a change of the machine's load affects all sizes.
fn measure_all(
    experiment: &Experiment,
    results: &mut Results,
) -> Result<Values, Box<dyn std::error::Error>> {
    let runner = Runner::new(Duration::from_secs_f64(experiment.point_limit))?;
    let sizes: Vec<u64> = experiment
        .sizes
        .iter()
        .copied()
        .chain(experiment.predict)
        .collect();
    let progress = progress(sizes.len() as u64 * u64::from(experiment.runs));
    let mut values = Values::new();
    for run in 0..experiment.runs {
        for size in &sizes {
            progress.set_message(format!("{} {}", size, experiment.sweep.label()));
            let point = point(experiment, run, *size);
            for Measured { metric, value } in runner.measure(&point)? {
                let sizes = values.entry(metric).or_default();
                sizes.entry(*size).or_default().push(value);
                results.add(&ValueRow {
                    role: experiment.role.label(),
                    metric: metric.label(),
                    quantity: experiment.sweep.label(),
                    size: *size,
                    run,
                    seed: point.seed,
                    value,
                })?;
            }
            progress.inc(1);
        }
    }
    progress.finish_and_clear();
    Ok(values)
}

/// Returns the point of one run and size. Each run has its own seed.
fn point(experiment: &Experiment, run: u32, size: u64) -> Point {
    Point {
        role: experiment.role,
        seed: experiment.seed + u64::from(run),
        quantities: experiment.fixed.with(experiment.sweep, size),
    }
}

/// Creates a progress bar on standard error, hidden if standard error is not a terminal.
fn progress(points: u64) -> ProgressBar {
    let bar = ProgressBar::new(points);
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} {msg} {elapsed}");
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Fits the regression to a metric's values and compares it with the measurement at the predicted size.
fn series(experiment: &Experiment, metric: Metric, mut sizes: BTreeMap<u64, Vec<f64>>) -> Series {
    let outside = experiment
        .predict
        .and_then(|size| Some((size, sizes.remove(&size)?)));
    let sample = |(size, values): (u64, Vec<f64>)| Sample::new(size as f64, values);
    let samples: Vec<Sample> = sizes.into_iter().map(sample).collect();
    let regression = Regression::new(&samples);
    let predicted = outside.map(|(size, values)| Prediction {
        value: regression.predict(size as f64),
        measured: sample((size, values)),
    });
    Series {
        metric,
        samples,
        regression,
        predicted,
    }
}

fn print(experiment: &Experiment, all_series: &[Series]) {
    let (role, quantity) = (experiment.role.label(), experiment.sweep.label());
    println!(
        "{role} by {quantity}, {} runs, seed {}, processor time\n",
        experiment.runs, experiment.seed
    );
    for series in all_series {
        println!("{}", series.table(experiment.sweep));
    }
    let rows: String = all_series.iter().map(Series::regression_row).collect();
    println!("{}{rows}", report::regression_header(experiment.predict));
}

/// Returns the path of a metric's chart, in the folder of the results.
fn chart_path(results: &Path, metric: Metric) -> PathBuf {
    let stem = results.file_stem().unwrap_or_default().to_string_lossy();
    let words: Vec<&str> = metric
        .label()
        .split(|c: char| !c.is_alphanumeric())
        .filter(|w| !w.is_empty())
        .collect();
    results.with_file_name(format!("{stem}-{}.svg", words.join("-")))
}
