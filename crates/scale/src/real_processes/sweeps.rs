//! Sweeps: measure a gateway's memory over the number of idle client connections, and the change log's work over the
//! number of watchers.

use super::change_log::{address_for_watchers, ChangeLog, LogFaults};
use super::endpoint_list::EndpointList;
use super::experiment::Experiment;
use super::figure::Figure;
use super::gateways::Gateways;
use super::http_client::{self, Connection};
use super::judge::Judgement;
use super::observations::{Observations, Recorder};
use super::run_statistics::seen_by_99_in_100;
use super::test_bed::{StartedGateways, TestBed};
use super::watchers::Watchers;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Limit on a swept gateway's descriptors. The part of it for clients suffices for the largest step.
const SWEPT_SOCKETS: usize = 18_000;
const SWEPT_MEMORY_MB: usize = 512;
/// Number of connections that are opened concurrently.
const CONNECTS_AT_ONCE: usize = 100;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time to wait after the connections are open before memory and descriptors are read.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time for which a change log without changes is measured.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Number of changes published at once.
const BURST_CHANGES: usize = 100;
const CONNECTED_TIMEOUT: Duration = Duration::from_secs(30);
const SEEN_TIMEOUT: Duration = Duration::from_secs(60);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Checks that the connections and watchers of each step were still there and that the changes were received; the
/// figures of a step are valid only then.
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
        let short = steps.iter().find(|figure| figure.value < figure.position);
        let detail = short.map(|figure| format!("{} of {}", figure.value, figure.position));
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
    if figures
        .iter()
        .any(|figure| figure.subject == "log_watchers")
    {
        let detail = unseen.map_or("all were".into(), |figure| {
            format!("{} at {}", figure.name, figure.position)
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

/// Runs all sweeps of an experiment.
pub async fn run(
    experiment: &Experiment,
    binary: &Path,
    folder: &Path,
    started: &StartedGateways,
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

/// Measures one gateway with `count` client connections, each idle after one answer.
async fn client_connections(
    experiment: &Experiment,
    binary: &Path,
    folder: &Path,
    started: &StartedGateways,
    count: usize,
) -> SweepResult {
    let swept = Experiment {
        gateways: 1,
        gateway_sockets: SWEPT_SOCKETS,
        gateway_memory_mb: SWEPT_MEMORY_MB,
        injected_fault: None,
        ..experiment.clone()
    };
    let recorder = Recorder::new(Observations {
        gateways: 1,
        engines: swept.engines,
        ..Observations::default()
    });
    let test_bed = TestBed::build(&swept, binary, folder, &recorder).await?;
    let gateways = &test_bed.gateways;
    started.register(gateways);
    gateways.start(0, &test_bed.log).await?;
    let connections = open_connections(gateways, count).await;
    sleep(SETTLE_TIME).await;
    let usage = gateways.usage(0).await.unwrap_or_default();
    let open = connections.iter().filter(|one| !one.is_closed()).count();
    gateways.stop().await;
    let figure =
        |name: &str, value: f64| Figure::new("client_connections", count as f64, name, value);
    Ok(vec![
        figure("still_open", open as f64),
        figure("resident_bytes", usage.resident_bytes as f64),
        figure("descriptors", usage.descriptors as f64),
        figure("processor_seconds", usage.processor_seconds),
    ])
}

/// Opens `count` connections on which one call was answered; returns fewer after the first failure.
async fn open_connections(gateways: &Arc<Gateways>, count: usize) -> Vec<Connection> {
    let mut connections = Vec::with_capacity(count);
    while connections.len() < count {
        let opening_now = (count - connections.len()).min(CONNECTS_AT_ONCE);
        let opening: Vec<_> = (0..opening_now)
            .map(|_| tokio::spawn(connect_and_call(gateways.address(0))))
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

async fn connect_and_call(address: std::net::SocketAddr) -> Option<Connection> {
    let mut connection = http_client::connect(address).await.ok()?;
    http_client::call(&mut connection, http_client::get("/healthz"), CALL_TIMEOUT)
        .await
        .ok()?;
    Some(connection)
}

/// Cost of one change for the log, and the time until watchers received it.
struct Cost {
    processor_seconds: f64,
    bytes: f64,
    seen_ms: f64,
}

/// A change log with watchers, under measurement.
struct WatchedLog {
    log: ChangeLog,
    recorder: Recorder,
    watchers: usize,
}

impl WatchedLog {
    /// Measures the log while idle and for each kind of change. `connected` is the number of watchers with a stream.
    async fn figures(&self, connected: usize) -> Vec<Figure> {
        let watchers = self.watchers as f64;
        let figure = |name: &str, value: f64| Figure::new("log_watchers", watchers, name, value);
        let mut figures = vec![figure("connected", connected as f64)];
        let before = self.log.processor_seconds();
        sleep(IDLE_TIME).await;
        let idle = (self.log.processor_seconds() - before) / IDLE_TIME.as_secs_f64();
        figures.push(figure("idle_processor_share", idle));
        let single_entry = self.cost(|log| reweight(log, 0)).await;
        let burst = self
            .cost(|log| (0..BURST_CHANGES).for_each(|slot| reweight(log, slot)))
            .await;
        let whole_list = self.cost(ChangeLog::publish_whole_list).await;
        for (name, cost) in [
            ("one_line", single_entry),
            ("burst_of_100", burst),
            ("whole_list", whole_list),
        ] {
            let processor_seconds = format!("{name}_processor_seconds");
            let seen_ms = format!("{name}_seen_by_99_in_100_ms");
            figures.push(figure(&processor_seconds, cost.processor_seconds));
            figures.push(figure(&format!("{name}_bytes"), cost.bytes));
            figures.push(figure(&seen_ms, cost.seen_ms));
        }
        figures
    }

    /// Measures the log from the call of `act` until all watchers have received its changes.
    async fn cost(&self, act: impl FnOnce(&ChangeLog)) -> Cost {
        let (processor, bytes) = (self.log.processor_seconds(), self.log.bytes_to_watchers());
        let before = self.recorder.observations().changes.len();
        act(&self.log);
        self.wait_until_seen().await;
        let observations = self.recorder.observations();
        let seen = observations.changes[before..]
            .iter()
            .map(|change| seen_by_99_in_100(change, self.watchers));
        let seen_ms = 1000.0 * seen.fold(0.0, f64::max);
        drop(observations);
        let processor_seconds = self.log.processor_seconds() - processor;
        Cost {
            processor_seconds,
            bytes: (self.log.bytes_to_watchers() - bytes) as f64,
            seen_ms,
        }
    }

    /// Waits until every watcher has received every change, at most [`SEEN_TIMEOUT`].
    async fn wait_until_seen(&self) {
        let until = Instant::now() + SEEN_TIMEOUT;
        let all = |recorder: &Recorder| {
            recorder
                .observations()
                .changes
                .iter()
                .all(|change| change.seconds.len() >= self.watchers)
        };
        while !all(&self.recorder) && Instant::now() < until {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Measures a change log of the experiment's list with `count` watchers. The watchers run in this process; only the
/// processor time of the log's thread is measured.
async fn log_watchers(experiment: &Experiment, count: usize) -> SweepResult {
    let observations = Observations {
        watchers: count,
        engines: experiment.engines,
        ..Observations::default()
    };
    let recorder = Recorder::new(observations);
    let endpoint_list = EndpointList::new(experiment.engines, experiment.zones);
    let log = ChangeLog::start(
        endpoint_list,
        Vec::new(),
        recorder.clone(),
        LogFaults::default(),
    )?;
    let watchers =
        Watchers::start(count, address_for_watchers(log.port), log.last(), &recorder).await;
    watchers.wait_connected(count, CONNECTED_TIMEOUT).await;
    let connected = watchers.connected();
    let watched = WatchedLog {
        log,
        recorder,
        watchers: count,
    };
    Ok(watched.figures(connected).await)
}

/// Publishes a change of one entry that has no effect on placement.
fn reweight(log: &ChangeLog, slot: usize) {
    log.change(|endpoint_list| {
        let slot = slot % endpoint_list.len();
        endpoint_list.reweight(slot);
        vec![endpoint_list.entry(slot)]
    });
}
