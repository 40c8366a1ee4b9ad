//! Tests of `garnetwall-scale beside` with real gateways: the small experiment passes, the fault injected for each
//! judged property is found, and no process outlives a run.

use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::OnceLock;
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_garnetwall-scale");
/// Timeout for a run. Runs of these tests take much less, so only a hanging run exceeds it.
const RUN_TIMEOUT: Duration = Duration::from_secs(120);

/// Returns the path of the gateway's program, which is built into this test's target folder if it does not exist.
fn gateway_binary() -> &'static Path {
    static BINARY: OnceLock<PathBuf> = OnceLock::new();
    BINARY.get_or_init(|| {
        let profile = Path::new(PROGRAM).parent().unwrap();
        let binary = profile.join("garnetwall");
        if !binary.exists() {
            build_gateway(profile);
        }
        assert!(binary.exists(), "{} was not built", binary.display());
        binary
    })
}

fn build_gateway(profile: &Path) {
    let mut build = Command::new(env!("CARGO"));
    build.args([
        "build",
        "--locked",
        "-p",
        "garnetwall-gateway",
        "--bin",
        "garnetwall",
        "--target-dir",
    ]);
    build
        .arg(profile.parent().unwrap())
        .current_dir(env!("CARGO_MANIFEST_DIR"));
    if profile.ends_with("release") {
        build.arg("--release");
    }
    assert!(build.status().unwrap().success());
}

fn small_experiment() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/beside-small.toml")
}

/// Writes an experiment into a separate file: tests run concurrently, and two of them inject the same fault.
fn experiment(name: &str, text: &str) -> PathBuf {
    static WRITTEN: AtomicUsize = AtomicUsize::new(0);
    let number = WRITTEN.fetch_add(1, Ordering::Relaxed);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
        "beside-{name}-{}-{number}.toml",
        std::process::id()
    ));
    std::fs::write(&file, text).unwrap();
    file
}

fn start(experiment: &Path, binary: &Path) -> Child {
    let mut command = Command::new(PROGRAM);
    command
        .arg("beside")
        .arg(experiment)
        .arg("--gateway-binary")
        .arg(binary);
    command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

fn run(experiment: &Path, binary: &Path) -> Output {
    let mut child = start(experiment, binary);
    let began = Instant::now();
    while child.try_wait().unwrap().is_none() {
        if began.elapsed() > RUN_TIMEOUT {
            child.kill().unwrap();
            panic!(
                "{} did not finish within {RUN_TIMEOUT:?}",
                experiment.display()
            );
        }
        sleep(Duration::from_millis(50));
    }
    child.wait_with_output().unwrap()
}

/// An experiment without an injected fault, with the bounds of the tests that inject one.
const FAULT_FREE: &str = "seed = 3
gateways = 2
engines = 24
watchers = 20
queries_per_second = 40.0
keys = 4
seconds = 10.0
[[events]]
at = 0.2
what = 'engines-drained'
count = 4
gone_after = 10.0
[[events]]
at = 0.5
what = 'changes-burst'
count = 5
over = 2.0
[[events]]
at = 1.0
what = 'gateway-terminated'
gateway = 1
[expect]
spread_max_over_mean = 5.0
succeeded_share = 0.9
change_seen_ms = 1000
engines_a_gateway = 24
gateways_an_engine = 2
ready_ms = 10000
";

#[test]
fn the_fault_free_experiment_passes() {
    let output = run(&experiment("fault-free", FAULT_FREE), gateway_binary());
    let stdout_text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(
        output.status.code(),
        Some(0),
        "{stdout_text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(
        stdout_text.lines().last(),
        Some("14 passed, 0 failed"),
        "{stdout_text}"
    );
}

/// Runs an experiment with `fault` and asserts that `judgement` fails.
fn assert_finds(fault: &str, more: &str, judgement: &str) {
    let text = format!(
        "seed = 3\ngateways = 2\nengines = 24\nwatchers = 20\nqueries_per_second = 40.0\nkeys = 4\nslip = '{fault}'\n{more}"
    );
    assert_finds_in(fault, &text, gateway_binary(), judgement);
}

/// Runs an experiment and asserts that `judgement` fails and that the exit code is 1.
fn assert_finds_in(name: &str, text: &str, binary: &Path, judgement: &str) {
    let output = run(&experiment(name, text), binary);
    let stdout_text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(
        output.status.code(),
        Some(1),
        "{stdout_text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let verdict = format!("FAIL {judgement}");
    assert!(
        stdout_text.lines().any(|line| line.starts_with(&verdict)),
        "{stdout_text}"
    );
    assert!(
        stdout_text.lines().last().unwrap().ends_with(" failed"),
        "{stdout_text}"
    );
}

#[test]
fn the_small_experiment_passes() {
    let output = run(&small_experiment(), gateway_binary());
    let stdout_text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(
        output.status.code(),
        Some(0),
        "{stdout_text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(
        stdout_text.lines().last(),
        Some("11 passed, 0 failed"),
        "{stdout_text}"
    );
}

#[test]
fn a_late_answer_is_found() {
    assert_finds(
        "late-answer",
        "seconds = 3.0",
        "one whole answer within its limit",
    );
}

#[test]
fn a_lost_answer_is_found() {
    assert_finds(
        "lost-answer",
        "seconds = 3.0",
        "one whole answer within its limit",
    );
}

#[test]
fn an_altered_answer_is_found() {
    assert_finds(
        "altered-answer",
        "seconds = 3.0",
        "rows as an engine made them",
    );
}

#[test]
fn an_attempt_after_the_answer_is_found() {
    assert_finds(
        "attempt-after-answer",
        "seconds = 3.0",
        "nothing sent after the answer",
    );
}

#[test]
fn an_effect_made_twice_is_found() {
    assert_finds("effect-twice", "seconds = 5.0", "no effect twice");
}

#[test]
fn a_drain_that_a_gateway_is_not_notified_of_is_found() {
    let drain =
        "seconds = 10.0\n[[events]]\nat = 0.2\nwhat = 'engines-drained'\ncount = 12\ngone_after = 10.0";
    assert_finds(
        "drain-withheld",
        drain,
        "nothing new to an engine told draining or gone",
    );
}

#[test]
fn overlapping_queries_of_a_key_are_found() {
    assert_finds(
        "key-withheld",
        "seconds = 6.0",
        "one at a time for each key",
    );
}

#[test]
fn uneven_work_is_found() {
    let bound = "seconds = 5.0\n[expect]\nspread_max_over_mean = 5.0\nsucceeded_share = 0.9";
    assert_finds(
        "uneven-engines",
        bound,
        "attempts at the busiest engine over the mean",
    );
}

#[test]
fn too_low_a_share_of_successful_queries_is_found() {
    let bound = "seconds = 5.0\n[expect]\nsucceeded_share = 0.9";
    assert_finds("uneven-engines", bound, "share of queries that succeed");
}

#[test]
fn a_change_published_late_is_found() {
    let burst =
        "seconds = 4.0\n[[events]]\nat = 0.5\nwhat = 'changes-burst'\ncount = 5\nover = 2.0\n";
    let text = format!("{burst}[expect]\nchange_seen_ms = 1000");
    assert_finds(
        "slow-log",
        &text,
        "ms until 99 in 100 watchers see a change",
    );
}

#[test]
fn a_gateway_that_does_not_end_cleanly_is_found() {
    let term = "seconds = 3.0\n[[events]]\nat = 1.0\nwhat = 'gateway-terminated'\ngateway = 1";
    assert_finds("killed-drain", term, "terminated gateways end cleanly");
}

/// An experiment without an injected fault and without bounds.
const WITHOUT_FAULT: &str =
    "seed = 3\ngateways = 2\nengines = 24\nwatchers = 5\nqueries_per_second = 60.0\nkeys = 0\nseconds = 3.0\n";

#[test]
fn a_gateway_with_too_many_engines_and_an_engine_with_too_many_gateways_are_found() {
    let text = format!("{WITHOUT_FAULT}[expect]\nengines_a_gateway = 6");
    assert_finds_in(
        "many-engines",
        &text,
        gateway_binary(),
        "engines a gateway meets",
    );
    let text = format!("{WITHOUT_FAULT}[expect]\ngateways_an_engine = 1");
    assert_finds_in(
        "many-gateways",
        &text,
        gateway_binary(),
        "gateways an engine meets",
    );
}

#[test]
fn a_slow_start_is_found() {
    use std::os::unix::fs::PermissionsExt;
    let script =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("slow-gateway-{}", std::process::id()));
    let lines = format!(
        "#!/bin/sh\nsleep 1.5\nexec '{}' \"$@\"\n",
        gateway_binary().display()
    );
    std::fs::write(&script, lines).unwrap();
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755)).unwrap();
    let text = format!("{WITHOUT_FAULT}[expect]\nready_ms = 1000");
    assert_finds_in("slow-start", &text, &script, "ms until a gateway is ready");
}

#[test]
fn a_run_without_queries_fails() {
    let text = WITHOUT_FAULT.replace("60.0", "0.0");
    assert_finds_in("nothing", &text, gateway_binary(), "something was played");
}

#[test]
fn a_run_stopped_by_a_signal_ends_its_gateways() {
    let mut child = start(&small_experiment(), gateway_binary());
    let folder = std::env::temp_dir().join(format!("garnetwall-beside-{}", child.id()));
    let began = Instant::now();
    while gateways_of(&folder).len() < 3 {
        assert!(began.elapsed() < RUN_TIMEOUT, "the gateways did not start");
        sleep(Duration::from_millis(20));
    }
    let stopped = Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status()
        .unwrap();
    assert!(stopped.success());
    assert_eq!(child.wait().unwrap().code(), Some(2));
    let mut stderr_text = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut stderr_text)
        .unwrap();
    assert!(stderr_text.contains("stopped by a signal"), "{stderr_text}");
    assert_eq!(gateways_of(&folder), Vec::<u32>::new());
    assert!(!folder.exists());
}

#[test]
fn a_gateway_that_ends_at_once_is_reported_with_its_log() {
    let file = experiment("ends", WITHOUT_FAULT);
    let child = start(&file, Path::new("/bin/false"));
    let folder = std::env::temp_dir().join(format!("garnetwall-beside-{}", child.id()));
    let output = child.wait_with_output().unwrap();
    let stderr_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{stderr_text}");
    assert!(
        stderr_text.contains("ended before it served (exit status: 1)"),
        "{stderr_text}"
    );
    assert!(folder.join("gateway-0.log").exists());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Returns the ids of the processes that were started with a configuration in this folder.
fn gateways_of(folder: &Path) -> Vec<u32> {
    let mark = folder.to_string_lossy().into_owned();
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    let ids = processes.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let runs = |id: &u32| {
        let line = std::fs::read(format!("/proc/{id}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&line).contains(&mark)
    };
    ids.filter(runs).collect()
}

#[test]
fn an_invalid_experiment_is_reported_with_its_fault() {
    let cases = [
        ("gateways = 0", "gateways: 0 is not from 1 to 200"),
        ("gateways = 'two'", "invalid type: string"),
        ("gateways = 2\nslip = 'none'", "unknown variant `none`"),
    ];
    for (number, (line, reported)) in cases.into_iter().enumerate() {
        let text =
            format!("{line}\nseed = 1\nengines = 5\nwatchers = 0\nseconds = 1.0\nqueries_per_second = 1.0\n");
        let output = run(
            &experiment(&format!("faulty-{number}"), &text),
            gateway_binary(),
        );
        let stderr_text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{stderr_text}");
        assert!(stderr_text.contains(reported), "{stderr_text}");
    }
}
