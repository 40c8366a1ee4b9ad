//! The file of an experiment with real processes: what is started, the events, and the bounds.

use crate::experiment::{self, check_range, ExperimentError, InvalidValue};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// More than one machine can run well.
const MAX_GATEWAYS: usize = 200;
/// One loopback address an engine.
const MAX_ENGINES: usize = 20_000;
const MAX_WATCHERS: usize = 8_000;
const MAX_SECONDS: f64 = 600.0;
/// Every query is held in memory for the judge.
const MAX_QUERIES: f64 = 1e6;
const MAX_CLIENT_CONNECTIONS: usize = 8_000;

/// All parameters of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub seed: u64,
    pub gateways: usize,
    /// The number of gateways in each gateway's settings; by default as many as run.
    #[serde(rename = "gateways_told")]
    pub assumed_gateways: Option<usize>,
    pub engines: usize,
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// Watchers of the change log that only record what they receive.
    pub watchers: usize,
    /// How long queries are sent.
    pub seconds: f64,
    /// Queries without a key, of all gateways together.
    pub queries_per_second: f64,
    /// Keys whose queries run one at a time.
    #[serde(default)]
    pub keys: usize,
    /// Least and most work of a query, in milliseconds.
    #[serde(default = "default_work")]
    pub work_ms: [u64; 2],
    #[serde(default = "default_sockets")]
    pub gateway_sockets: usize,
    #[serde(default = "default_memory")]
    pub gateway_memory_mb: usize,
    /// The size in the gateways' `subset` block; without it they work with the whole list.
    pub subset_size: Option<usize>,
    /// The program to run; by default the one beside this program.
    pub gateway_binary: Option<PathBuf>,
    /// An injected fault, which the judge has to find.
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

/// Something that happens at a time, in seconds after queries begin.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    #[serde(rename = "at")]
    pub at_seconds: f64,
    #[serde(flatten)]
    pub action: Action,
}

/// What an event does.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Engines end; the log reports it `told_after` seconds later.
    EnginesKilled {
        count: usize,
        #[serde(rename = "told_after")]
        report_delay: f64,
    },
    /// The log reports engines as draining, and as deleted `gone_after` seconds later.
    EnginesDrained {
        count: usize,
        #[serde(rename = "gone_after")]
        removal_delay: f64,
    },
    /// Engines end, and others take their addresses at once.
    EnginesReplaced { count: usize },
    /// Engines end and are started again, cold, after `down` seconds.
    EnginesRestarted { count: usize, down: f64 },
    /// A zone stops answering; the log reports it `told_after` seconds later.
    ZoneLost {
        zone: usize,
        #[serde(rename = "told_after")]
        report_delay: f64,
    },
    /// A lost zone serves again.
    ZoneBack { zone: usize },
    /// Changes of single entries, spread over some seconds.
    ChangesBurst {
        count: usize,
        #[serde(rename = "over")]
        spread_over: f64,
    },
    /// SIGHUP.
    GatewayReloaded { gateway: usize },
    /// SIGTERM, and a new start once the process has ended.
    GatewayTerminated { gateway: usize },
    /// SIGKILL, and a new start at once.
    GatewayKilled { gateway: usize },
}

/// Bounds that the judge holds measures to; without a bound a value is only measured.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Attempts at the busiest engine over the mean.
    pub spread_max_over_mean: Option<f64>,
    /// Engines that one gateway opens connections to, at most.
    pub engines_a_gateway: Option<usize>,
    /// Gateways that open connections to one engine, at most.
    pub gateways_an_engine: Option<usize>,
    /// Until 99 in 100 watchers have seen a change, at most.
    pub change_seen_ms: Option<f64>,
    /// From a gateway's start until it serves, at most.
    pub ready_ms: Option<f64>,
    /// Part of all queries that must succeed.
    pub succeeded_share: Option<f64>,
}

/// Quantities that are swept after the run, one step after the other.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweeps {
    /// Idle client connections on one gateway of its own.
    #[serde(default)]
    pub client_connections: Vec<usize>,
    /// Watchers on a change log of their own.
    #[serde(default)]
    pub log_watchers: Vec<usize>,
}

/// Faults that the stand-ins inject, one for each thing that is judged.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// Clients send gateways a longer limit than their own.
    LateAnswer,
    /// Clients drop an answer.
    LostAnswer,
    /// Clients change a row of an answer.
    AlteredAnswer,
    /// An engine gets an attempt from nowhere after its query was answered.
    AttemptAfterAnswer,
    /// An engine gets a second attempt of a query that must not run twice.
    EffectTwice,
    /// The log withholds from a gateway that an engine drains.
    DrainWithheld,
    /// Clients do not send the key.
    KeyWithheld,
    /// A few engines accept the attempts of one gateway; all other attempts are declined.
    UnevenEngines,
    /// The log publishes changes late.
    SlowLog,
    /// A gateway that is terminated is killed instead.
    KilledDrain,
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Where it can't be read, is no such experiment, or has a value that can't be used.
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

/// The number that an action names, under `key`, and the most that it may be.
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

fn within(place: &str, found: f64, least: f64, most: f64) -> Result<(), InvalidValue> {
    check_range(place, found, least, most, "write a number from that range")
}
