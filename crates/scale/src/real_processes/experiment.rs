//! Experiment files of the subcommand `beside`: the processes to start, the events, and the bounds on measured values.

use crate::experiment::{self, check_range, ExperimentError, InvalidValue};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Limit on gateway processes; more do not run well on one machine.
const MAX_GATEWAYS: usize = 200;
/// Limit on engines, each of which has its own loopback address.
const MAX_ENGINES: usize = 20_000;
const MAX_WATCHERS: usize = 8_000;
const MAX_SECONDS: f64 = 600.0;
/// Limit on queries, all of which are held in memory for the judge.
const MAX_QUERIES: f64 = 1e6;
const MAX_CLIENT_CONNECTIONS: usize = 8_000;

/// Parameters of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub seed: u64,
    pub gateways: usize,
    /// Number of gateways that each gateway's settings state; by default the number that run.
    #[serde(rename = "gateways_told")]
    pub assumed_gateways: Option<usize>,
    pub engines: usize,
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// Number of watchers, which read the change log and record when they receive each event.
    pub watchers: usize,
    /// Time in which queries are sent. With 0 only the sweeps run.
    pub seconds: f64,
    /// Rate of queries without a key, over all gateways.
    pub queries_per_second: f64,
    /// Number of ordering keys; the queries of one key run one at a time.
    #[serde(default)]
    pub keys: usize,
    /// Minimum and maximum work of a query without a key, in milliseconds.
    #[serde(default = "default_work")]
    pub work_ms: [u64; 2],
    #[serde(default = "default_sockets")]
    pub gateway_sockets: usize,
    #[serde(default = "default_memory")]
    pub gateway_memory_mb: usize,
    /// Size in the gateways' `subset` block. Without a size, each gateway uses the whole list.
    pub subset_size: Option<usize>,
    /// Path of the gateway's program; by default the program `garnetwall` beside this one.
    pub gateway_binary: Option<PathBuf>,
    /// Fault to inject, which the judge has to find.
    #[serde(rename = "slip")]
    pub injected_fault: Option<InjectedFault>,
    #[serde(default)]
    pub events: Vec<Event>,
    #[serde(default)]
    pub expect: Expect,
    #[serde(default)]
    pub sweeps: Sweeps,
}

fn default_zones() -> usize {
    3
}

fn default_work() -> [u64; 2] {
    [5, 60]
}

fn default_sockets() -> usize {
    4096
}

fn default_memory() -> usize {
    192
}

/// An action and its time, in seconds after queries begin.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    #[serde(rename = "at")]
    pub at_seconds: f64,
    #[serde(flatten)]
    pub action: Action,
}

/// Action of an event.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Kills engines; the change log reports them as deleted `told_after` seconds later.
    EnginesKilled {
        count: usize,
        #[serde(rename = "told_after")]
        report_delay: f64,
    },
    /// The change log reports engines as draining; `gone_after` seconds later they end and are reported as deleted.
    EnginesDrained {
        count: usize,
        #[serde(rename = "gone_after")]
        removal_delay: f64,
    },
    /// Kills engines and starts others at their addresses at once.
    EnginesReplaced { count: usize },
    /// Kills engines and starts others at their addresses, cold, after `down` seconds.
    EnginesRestarted { count: usize, down: f64 },
    /// A zone stops answering; the change log reports its engines as deleted `told_after` seconds later.
    ZoneLost {
        zone: usize,
        #[serde(rename = "told_after")]
        report_delay: f64,
    },
    /// Starts new engines in a lost zone.
    ZoneBack { zone: usize },
    /// Publishes `count` changes of single entries, spread evenly over `over` seconds.
    ChangesBurst {
        count: usize,
        #[serde(rename = "over")]
        spread_over: f64,
    },
    /// Sends SIGHUP to a gateway.
    GatewayReloaded { gateway: usize },
    /// Sends SIGTERM to a gateway and starts it again once its process has ended.
    GatewayTerminated { gateway: usize },
    /// Sends SIGKILL to a gateway and starts it again at once.
    GatewayKilled { gateway: usize },
}

/// Bounds that the judge checks. A value without a bound is only measured.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Maximum ratio of the attempts at the busiest engine to the mean over all engines.
    pub spread_max_over_mean: Option<f64>,
    /// Maximum number of engines to which one gateway opens connections.
    pub engines_a_gateway: Option<usize>,
    /// Maximum number of gateways that open connections to one engine.
    pub gateways_an_engine: Option<usize>,
    /// Maximum time until 99 in 100 watchers have received a change.
    pub change_seen_ms: Option<f64>,
    /// Maximum time from a gateway's start until it serves.
    pub ready_ms: Option<f64>,
    /// Minimum share of all queries that succeed, from 0 to 1.
    pub succeeded_share: Option<f64>,
}

/// Quantities that are swept after the run, one step at a time.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweeps {
    /// Numbers of idle client connections, each measured on a separate gateway.
    #[serde(default)]
    pub client_connections: Vec<usize>,
    /// Numbers of watchers, each measured on a separate change log.
    #[serde(default)]
    pub log_watchers: Vec<usize>,
}

/// Faults that the simulated clients, engines and change log inject, one for each property that the judge checks.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// Clients send a longer limit than the one that they are judged by.
    LateAnswer,
    /// Clients record a received answer as lost.
    LostAnswer,
    /// Clients alter a row of an answer.
    AlteredAnswer,
    /// An engine receives an attempt that no gateway sent, after the query was answered.
    AttemptAfterAnswer,
    /// An engine receives a second attempt of a query that must not run twice.
    EffectTwice,
    /// The change log does not tell one gateway that engines drain.
    DrainWithheld,
    /// Clients do not send the ordering key.
    KeyWithheld,
    /// A few engines accept the attempts of one gateway; all other attempts are declined.
    UnevenEngines,
    /// The change log delays events.
    SlowLog,
    /// A gateway that should be terminated is killed instead.
    KilledDrain,
}

impl Experiment {
    /// Reads an experiment file and checks its values.
    ///
    /// # Errors
    /// The file can't be read, is not an experiment of this kind, or has a value out of range.
    pub fn read(file: &Path) -> Result<Experiment, ExperimentError> {
        experiment::read(file, Experiment::check)
    }

    fn check(&self) -> Result<(), InvalidValue> {
        let queries = self.queries_per_second * self.seconds;
        let least_work = self.work_ms[0] as f64;
        let numbers = [
            ("gateways", self.gateways as f64, 1.0, MAX_GATEWAYS as f64),
            ("engines", self.engines as f64, 1.0, MAX_ENGINES as f64),
            ("zones", self.zones as f64, 1.0, self.engines as f64),
            ("watchers", self.watchers as f64, 0.0, MAX_WATCHERS as f64),
            ("seconds", self.seconds, 0.0, MAX_SECONDS),
            ("queries_per_second * seconds", queries, 0.0, MAX_QUERIES),
            ("work_ms.1", self.work_ms[1] as f64, least_work, 2_000.0),
            ("keys", self.keys as f64, 0.0, 10_000.0),
        ];
        for (place, found, least, most) in numbers {
            within(place, found, least, most)?;
        }
        self.check_events()?;
        for step in &self.sweeps.client_connections {
            let place = "sweeps.client_connections";
            within(place, *step as f64, 0.0, MAX_CLIENT_CONNECTIONS as f64)?;
        }
        for step in &self.sweeps.log_watchers {
            let place = "sweeps.log_watchers";
            within(place, *step as f64, 0.0, MAX_WATCHERS as f64)?;
        }
        Ok(())
    }

    fn check_events(&self) -> Result<(), InvalidValue> {
        for (index, event) in self.events.iter().enumerate() {
            let place = |key: &str| format!("events.{index}.{key}");
            within(&place("at"), event.at_seconds, 0.0, self.seconds)?;
            let BoundedNumber { key, value, most } = event.action.bounded_number(self);
            within(&place(key), value as f64, 0.0, most as f64)?;
        }
        Ok(())
    }
}

/// A number of an action, its key in the file, and its maximum.
struct BoundedNumber {
    key: &'static str,
    value: usize,
    most: usize,
}

impl Action {
    fn bounded_number(&self, experiment: &Experiment) -> BoundedNumber {
        let bounded = |key, value, most| BoundedNumber { key, value, most };
        match *self {
            Action::EnginesKilled { count, .. }
            | Action::EnginesDrained { count, .. }
            | Action::EnginesReplaced { count }
            | Action::EnginesRestarted { count, .. } => bounded("count", count, experiment.engines),
            Action::ChangesBurst { count, .. } => bounded("count", count, 10_000),
            Action::ZoneLost { zone, .. } | Action::ZoneBack { zone } => {
                bounded("zone", zone, experiment.zones - 1)
            }
            Action::GatewayReloaded { gateway }
            | Action::GatewayTerminated { gateway }
            | Action::GatewayKilled { gateway } => {
                bounded("gateway", gateway, experiment.gateways - 1)
            }
        }
    }
}

/// Checks that the value `found` at `place` in the file lies between `least` and `most`, both included.
fn within(place: &str, found: f64, least: f64, most: f64) -> Result<(), InvalidValue> {
    check_range(place, found, least, most, "use a number in this range")
}
