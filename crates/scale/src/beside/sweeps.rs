//! What grows with one quantity: a gateway's memory with idle client connections, the log's work with watchers.

use super::change_log::{address_for_watchers, ChangeLog, LogSlips};
use super::engines::Engines;
use super::experiment::Experiment;
use super::facts::{Facts, Recorder};
use super::gateways::Gateways;
use super::http_client::{self, Connection};
use super::judge::{seen_by_99_in_100, Judgement};
use super::report::Figure;
use super::roster::Roster;
use super::watchers::Watchers;
use super::Started;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Descriptors that a swept gateway may have; its part for clients holds the largest step.
const SWEPT_SOCKETS: usize = 18_000;
const SWEPT_MEMORY_MB: usize = 512;
/// Connections that come up at a time.
const AT_A_TIME: usize = 100;
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// Until memory and descriptors are read.
const SETTLES: Duration = Duration::from_secs(1);
/// How long a log without changes is looked at.
const IDLE: Duration = Duration::from_secs(4);
const BURST: usize = 100;
const CONNECTED_WITHIN: Duration = Duration::from_secs(30);
const SEEN_WITHIN: Duration = Duration::from_secs(60);
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What a sweep measured holds only if everything that it measured was there.
pub fn judge(figures: &[Figure]) -> Vec<Judgement> {
    let mut judgements = Vec::new();
    for (name, what) in [
        ("still_open", "swept client connections stayed open"),
        ("connected", "swept watchers had a stream"),
    ] {
        let steps: Vec<&Figure> = figures
            .iter()
            .filter(|figure| figure.name == name)
            .collect();
        let short = steps.iter().find(|figure| figure.value < figure.at);
        let detail = short.map(|figure| format!("{} of {}", figure.value, figure.at));
        if !steps.is_empty() {
            let passed = detail.is_none();
            judgements.push(Judgement {
                what,
                passed,
                detail: detail.unwrap_or_else(|| "all did".into()),
            });
        }
    }
    let unseen = figures
        .iter()
        .find(|figure| figure.name.ends_with("_seen_by_99_in_100_ms") && !figure.value.is_finite());
    if figures.iter().any(|figure| figure.of == "log_watchers") {
        let detail = unseen.map_or("all were".into(), |figure| {
            format!("{} at {}", figure.name, figure.at)
        });
        judgements.push(Judgement {
            what: "swept changes were seen",
            passed: unseen.is_none(),
            detail,
        });
    }
    judgements
}

type SweepResult = Result<Vec<Figure>, Box<dyn std::error::Error>>;

/// Plays all sweeps of an experiment.
pub async fn run(
    experiment: &Experiment,
    binary: &Path,
    folder: &Path,
    started: &Started,
) -> SweepResult {
    let mut figures = Vec::new();
    for count in &experiment.sweeps.client_connections {
        figures.extend(client_connections(experiment, binary, folder, started, *count).await?);
    }
    for count in &experiment.sweeps.log_watchers {
        figures.extend(log_watchers(experiment, *count).await?);
    }
    Ok(figures)
}

/// One gateway with so many client connections, each of which has had one answer and then asks for nothing.
async fn client_connections(
    experiment: &Experiment,
    binary: &Path,
    folder: &Path,
    started: &Started,
    count: usize,
) -> SweepResult {
    let swept = Experiment {
        gateways: 1,
        gateway_sockets: SWEPT_SOCKETS,
        gateway_memory_mb: SWEPT_MEMORY_MB,
        ..experiment.clone()
    };
    let recorder = Recorder::new(Facts {
        gateways: 1,
        engines: swept.engines,
        ..Facts::default()
    });
    let engines = Engines::start(swept.engines, 1, recorder.clone(), false).await?;
    let roster = Roster::new(swept.engines, swept.zones);
    let log = ChangeLog::start(
        roster,
        engines.ports.clone(),
        recorder.clone(),
        LogSlips::default(),
    )?;
    let gateways = Arc::new(Gateways::new(
        &swept,
        PathBuf::from(binary),
        folder,
        recorder,
        false,
    ));
    started
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(gateways.clone());
    gateways.start(0, &log).await?;
    let connections = open(&gateways, count).await;
    sleep(SETTLES).await;
    let usage = gateways.usage(0).await.unwrap_or_default();
    let still_open = connections
        .iter()
        .filter(|connection| !connection.is_closed())
        .count();
    gateways.stop().await;
    let figure =
        |name: &str, value: f64| Figure::new("client_connections", count as f64, name, value);
    Ok(vec![
        figure("still_open", still_open as f64),
        figure("resident_bytes", usage.resident_bytes as f64),
        figure("descriptors", usage.descriptors as f64),
        figure("processor_seconds", usage.processor_seconds),
    ])
}

async fn open(gateways: &Arc<Gateways>, count: usize) -> Vec<Connection> {
    let mut connections = Vec::with_capacity(count);
    while connections.len() < count {
        let lot = (count - connections.len()).min(AT_A_TIME);
        let opening: Vec<_> = (0..lot)
            .map(|_| tokio::spawn(answered_once(gateways.address(0))))
            .collect();
        for one in opening {
            match one.await {
                Ok(Some(connection)) => connections.push(connection),
                _ => return connections,
            }
        }
    }
    connections
}

async fn answered_once(address: std::net::SocketAddr) -> Option<Connection> {
    let mut connection = http_client::connect(address).await.ok()?;
    http_client::call(&mut connection, http_client::get("/healthz"), CALL_WITHIN)
        .await
        .ok()?;
    Some(connection)
}

/// What a step cost the log, and how long until watchers had seen it.
struct Cost {
    processor_seconds: f64,
    bytes: f64,
    seen_ms: f64,
}

struct WatchedLog {
    log: ChangeLog,
    recorder: Recorder,
    watchers: usize,
}

impl WatchedLog {
    async fn cost(&self, act: impl FnOnce(&ChangeLog)) -> Cost {
        let (processor, bytes) = (self.log.processor_seconds(), self.log.bytes_to_watchers());
        let before = self.recorder.facts().changes.len();
        act(&self.log);
        self.all_seen().await;
        let facts = self.recorder.facts();
        let seen = facts.changes[before..]
            .iter()
            .map(|change| seen_by_99_in_100(change, self.watchers));
        let seen_ms = 1000.0 * seen.fold(0.0, f64::max);
        drop(facts);
        let processor_seconds = self.log.processor_seconds() - processor;
        Cost {
            processor_seconds,
            bytes: (self.log.bytes_to_watchers() - bytes) as f64,
            seen_ms,
        }
    }

    async fn all_seen(&self) {
        let until = Instant::now() + SEEN_WITHIN;
        let all = |recorder: &Recorder| {
            recorder
                .facts()
                .changes
                .iter()
                .all(|change| change.seconds.len() >= self.watchers)
        };
        while !all(&self.recorder) && Instant::now() < until {
            sleep(LOOK_EVERY).await;
        }
    }
}

/// A log of the experiment's list with so many watchers. They share this process, so that only the log's thread is measured.
async fn log_watchers(experiment: &Experiment, count: usize) -> SweepResult {
    let facts = Facts {
        watchers: count,
        engines: experiment.engines,
        ..Facts::default()
    };
    let recorder = Recorder::new(facts);
    let roster = Roster::new(experiment.engines, experiment.zones);
    let log = ChangeLog::start(roster, Vec::new(), recorder.clone(), LogSlips::default())?;
    let watchers =
        Watchers::start(count, address_for_watchers(log.port), log.last(), &recorder).await;
    let until = Instant::now() + CONNECTED_WITHIN;
    while watchers.connected() < count && Instant::now() < until {
        sleep(LOOK_EVERY).await;
    }
    let connected = watchers.connected();
    let watched = WatchedLog {
        log,
        recorder,
        watchers: count,
    };
    let figure = |name: &str, value: f64| Figure::new("log_watchers", count as f64, name, value);
    let mut figures = vec![figure("connected", connected as f64)];
    let idle = watched.log.processor_seconds();
    sleep(IDLE).await;
    let idle = (watched.log.processor_seconds() - idle) / IDLE.as_secs_f64();
    figures.push(figure("idle_processor_share", idle));
    let one_line = watched.cost(|log| touch(log, 0)).await;
    let burst = watched
        .cost(|log| (0..BURST).for_each(|slot| touch(log, slot)))
        .await;
    let whole = watched.cost(ChangeLog::tell_whole).await;
    for (name, cost) in [
        ("one_line", one_line),
        ("burst_of_100", burst),
        ("whole_list", whole),
    ] {
        figures.push(figure(
            &format!("{name}_processor_seconds"),
            cost.processor_seconds,
        ));
        figures.push(figure(&format!("{name}_bytes"), cost.bytes));
        figures.push(figure(
            &format!("{name}_seen_by_99_in_100_ms"),
            cost.seen_ms,
        ));
    }
    Ok(figures)
}

fn touch(log: &ChangeLog, slot: usize) {
    log.change(|roster| {
        let slot = slot % roster.len();
        roster.touch(slot);
        vec![roster.line(slot)]
    });
}
