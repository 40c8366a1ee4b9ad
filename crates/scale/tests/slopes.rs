//! Tests of `garnetwall-scale slopes`: small experiments of every role, limits, and experiments that can't be used.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A directory that is deleted when this is dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("garnetwall-slopes-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TemporaryFolder(path)
    }

    fn experiment(&self, text: &str) -> PathBuf {
        let path = self.0.join("experiment.toml");
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn slopes(experiment: &Path, results: Option<&Path>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnetwall-scale"));
    command.arg("slopes").arg(experiment);
    if let Some(path) = results {
        command.arg("--results").arg(path);
    }
    command.output().unwrap()
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

const LEDGER: &str = r#"
role = "ledger"
sweep = "open-attempts"
sizes = [100, 200, 400, 800]
predict = 1600
runs = 2
seed = 3
"#;

#[test]
fn an_experiment_prints_the_fit_and_the_prediction_and_writes_results() {
    let scratch = TemporaryFolder::new("results");
    let results = scratch.0.join("ledger.jsonl");
    let output = slopes(&scratch.experiment(LEDGER), Some(&results));
    let text = stdout_text(&output);
    assert!(
        output.status.success(),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(text.contains("measured / predicted at 1600"), "{text}");
    assert!(text.ends_with("0 passed, 0 failed\n"), "{text}");
    let lines = std::fs::read_to_string(&results).unwrap();
    // Five sizes, two runs, two metrics.
    assert_eq!(lines.lines().count(), 20, "{lines}");
    for line in lines.lines() {
        let row: serde_json::Value = serde_json::from_str(line).unwrap();
        assert!(
            row["value"].as_f64().is_some_and(|value| value >= 0.0),
            "{line}"
        );
    }
    let table = std::fs::read_to_string(results.with_extension("csv")).unwrap();
    assert!(
        table.starts_with("role,metric,quantity,size,run,seed,value\n"),
        "{table}"
    );
    assert_eq!(table.lines().count(), 21, "{table}");
    let chart = std::fs::read_to_string(scratch.0.join("ledger-an-attempt-us.svg")).unwrap();
    assert!(
        chart.contains("<svg") && chart.contains("<circle"),
        "{chart}"
    );
}

#[test]
fn a_limit_that_is_exceeded_fails_the_run_and_one_that_holds_does_not() {
    let scratch = TemporaryFolder::new("limits");
    let limited =
        |most: f64| format!("{LEDGER}\n[[limits]]\nmetric = \"attempt\"\nmost = {most}\n");
    let kept = slopes(&scratch.experiment(&limited(1e6)), None);
    assert!(
        kept.status.success() && stdout_text(&kept).ends_with("1 passed, 0 failed\n"),
        "{}",
        stdout_text(&kept)
    );
    let passed = slopes(&scratch.experiment(&limited(1e-6)), None);
    assert_eq!(passed.status.code(), Some(1));
    assert!(
        stdout_text(&passed).ends_with("0 passed, 1 failed\n"),
        "{}",
        stdout_text(&passed)
    );
}

#[test]
fn a_limit_on_a_metric_that_the_role_does_not_measure_fails() {
    let scratch = TemporaryFolder::new("foreign-limit");
    let text = format!("{LEDGER}\n[[limits]]\nmetric = \"query\"\nmost = 1.0\n");
    let output = slopes(&scratch.experiment(&text), None);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stdout_text(&output).contains("not measured by this role"),
        "{}",
        stdout_text(&output)
    );
}

/// Each role is measured at sizes that take about a second in a debug build.
#[test]
fn every_role_is_measured() {
    let scratch = TemporaryFolder::new("roles");
    let roles = [
        ("module", "engines", "a query, us"),
        ("list", "engines", "decode whole list, us"),
        ("subset", "engines", "subset, engines"),
        ("membership", "members", "a member sends, bytes/s"),
        ("configuration", "engines", "read and check, us"),
        ("leases", "members", "a renewal, us"),
    ];
    for (role, sweep, metric) in roles {
        let text = format!(
            "role = \"{role}\"\nsweep = \"{sweep}\"\nsizes = [4, 6, 8, 12]\npredict = 16\nruns = 1\nseed = 1\n\
             [fixed]\nseconds = 0.2\nqueries-per-second = 200\nsubset-size = 5\ngateways = 10\n"
        );
        let output = slopes(&scratch.experiment(&text), None);
        let text = stdout_text(&output);
        assert!(
            output.status.success(),
            "{role}: {text}{}",
            String::from_utf8_lossy(&output.stderr)
        );
        assert!(text.contains(metric), "{role}: {text}");
    }
}

/// Values that do not depend on the machine are the same for the same seed.
#[test]
fn simulated_bytes_are_the_same_for_the_same_seed() {
    let scratch = TemporaryFolder::new("seed");
    let text = "role = \"membership\"\nsweep = \"members\"\nsizes = [3, 4, 5, 6]\nruns = 1\nseed = 5\n[fixed]\nseconds = 1.0\n";
    let experiment = scratch.experiment(text);
    let bytes = |name: &str| -> Vec<String> {
        let results = scratch.0.join(name);
        assert!(slopes(&experiment, Some(&results)).status.success());
        let lines = std::fs::read_to_string(&results).unwrap();
        lines
            .lines()
            .filter(|line| line.contains("bytes/s"))
            .map(String::from)
            .collect()
    };
    let first = bytes("first.jsonl");
    assert_eq!(first.len(), 4);
    assert_eq!(first, bytes("second.jsonl"));
}

#[test]
fn an_invalid_experiment_is_reported_with_its_fault() {
    let scratch = TemporaryFolder::new("faults");
    let changed = |from: &str, to: &str| LEDGER.replace(from, to);
    let cases = [
        (
            changed("runs = 2", "runs = 0"),
            "runs: 0 is not a number from 1 to 100",
        ),
        (changed("runs = 2", "rums = 2"), "unknown field `rums`"),
        (
            changed("\"ledger\"", "\"leger\""),
            "unknown variant `leger`",
        ),
        (
            changed("[100, 200, 400, 800]", "[100, 200, 400]"),
            "sizes: [100, 200, 400] is not a list of four",
        ),
        (
            changed("[100, 200, 400, 800]", "[100, 400, 200, 800]"),
            "a list that grows",
        ),
        (
            changed("[100, 200, 400, 800]", "[0, 100, 200, 400]"),
            "a list that grows from over 0",
        ),
        (
            changed("predict = 1600", "predict = 300"),
            "predict: 300 is not a size outside",
        ),
        (
            format!("{LEDGER}point-limit = 0.0\n"),
            "point-limit: 0 is not a time over 0",
        ),
        (
            format!("{LEDGER}[fixed]\nseconds = 0.0\n"),
            "fixed.seconds: 0 is not a time over 0",
        ),
        (
            format!("{LEDGER}[fixed]\nloss = 95\n"),
            "fixed.loss: 95 is not 0 to 90",
        ),
        (
            format!("{LEDGER}[fixed]\ngateways = 0\n"),
            "fixed.gateways: 0 is not a number from 1",
        ),
    ];
    for (text, expected) in cases {
        let output = slopes(&scratch.experiment(&text), None);
        let reported = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text}: {reported}");
        assert!(
            reported.contains(expected) && reported.contains("experiment.toml"),
            "{expected}: {reported}"
        );
    }
    let missing = slopes(&scratch.0.join("none.toml"), None);
    assert_eq!(missing.status.code(), Some(2));
}

/// A measurement that takes too long is ended and reported.
#[test]
fn a_point_that_exceeds_its_limit_is_reported() {
    let scratch = TemporaryFolder::new("slow");
    let text = "role = \"membership\"\nsweep = \"members\"\nsizes = [200, 300, 400, 500]\nruns = 1\nseed = 5\npoint-limit = 0.05\n";
    let output = slopes(&scratch.experiment(text), None);
    let reported = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{reported}");
    assert!(reported.contains("the point took over 50ms"), "{reported}");
}

/// The experiments that the documentation quotes can be read.
#[test]
fn all_slopes_experiments_in_the_repository_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let is_ours = |name: &str| name.starts_with("slopes-") || name.starts_with("module-");
    let files: Vec<PathBuf> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    let ours = files
        .iter()
        .filter(|path| is_ours(&path.file_name().unwrap().to_string_lossy()));
    let mut count = 0;
    for path in ours {
        // The run times out at once; a fault of the file would be reported before that.
        let text = std::fs::read_to_string(path).unwrap();
        let scratch = TemporaryFolder::new(&format!("sound-{count}"));
        let output = slopes(
            &scratch.experiment(&format!("point-limit = 0.001\n{text}")),
            None,
        );
        let reported = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            reported.contains("the point took over 1ms"),
            "{}: {reported}",
            path.display()
        );
        count += 1;
    }
    assert!(count >= 10, "{count}");
}
