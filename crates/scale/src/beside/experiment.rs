//! The file of an experiment: what is started, what happens when, and what is expected.

use serde::Deserialize;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// More real gateways than one machine plays well.
const MOST_GATEWAYS: usize = 200;
/// One loopback address an engine.
const MOST_ENGINES: usize = 20_000;
const MOST_WATCHERS: usize = 8_000;
const MOST_SECONDS: f64 = 600.0;
/// Every query is kept for the judge.
const MOST_QUERIES: f64 = 1e6;
const MOST_CLIENT_CONNECTIONS: usize = 8_000;

/// Everything that one run plays.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub seed: u64,
    pub gateways: usize,
    /// How many gateways each is told that there are; as many as run if not told.
    pub gateways_told: Option<usize>,
    pub engines: usize,
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// Hollow watchers of the change log.
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
    /// The program to run; beside this one if not told.
    pub gateway_binary: Option<PathBuf>,
    /// A fault put in on purpose, which the judge has to find.
    pub slip: Option<Slip>,
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
    pub at: f64,
    #[serde(flatten)]
    pub what: Happening,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Happening {
    /// Engines die; the log tells so `told_after` seconds later.
    EnginesKilled { count: usize, told_after: f64 },
    /// Engines are told draining, and gone `gone_after` seconds later.
    EnginesDrained { count: usize, gone_after: f64 },
    /// Engines die, and others take their addresses at once.
    EnginesReplaced { count: usize },
    /// Engines die and come back cold after `down` seconds.
    EnginesRestarted { count: usize, down: f64 },
    /// A zone falls silent; the log tells so `told_after` seconds later.
    ZoneLost { zone: usize, told_after: f64 },
    /// A lost zone serves again.
    ZoneBack { zone: usize },
    /// Changes of single lines, spread over some seconds.
    ChangesBurst { count: usize, over: f64 },
    /// SIGHUP.
    GatewayReloaded { gateway: usize },
    /// SIGTERM, and a new start once the process has ended.
    GatewayTerminated { gateway: usize },
    /// SIGKILL, and a new start at once.
    GatewayKilled { gateway: usize },
}

/// Bounds that the judge holds measures to; what is not told is measured only.
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
    /// Hollow watchers on a change log of its own.
    #[serde(default)]
    pub log_watchers: Vec<usize>,
}

/// Faults that the stand-ins make on purpose, one for each thing that is judged.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Slip {
    /// Clients tell gateways a longer limit than they hold to.
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
    /// Clients do not tell the key.
    KeyWithheld,
    /// Most engines decline.
    UnevenEngines,
    /// The log tells changes late.
    SlowLog,
    /// A gateway that is terminated is killed instead.
    KilledDrain,
}

/// What is wrong with an experiment: where, why, and what to do.
#[derive(Debug, Error)]
pub enum ExperimentError {
    #[error("{}: {cause}; name a file that can be read", file.display())]
    Unreadable {
        file: PathBuf,
        cause: std::io::Error,
    },
    #[error("{}: {cause}", file.display())]
    NotToml {
        file: PathBuf,
        cause: Box<toml::de::Error>,
    },
    #[error("{}: {place}: {found} is not {expected}; {remedy}", file.display())]
    OutOfRange {
        file: PathBuf,
        place: String,
        found: f64,
        expected: String,
        remedy: &'static str,
    },
}

impl Experiment {
    /// Reads and checks a file.
    pub fn read(file: &Path) -> Result<Experiment, ExperimentError> {
        let unreadable = |cause| ExperimentError::Unreadable {
            file: file.into(),
            cause,
        };
        let text = std::fs::read_to_string(file).map_err(unreadable)?;
        let not_toml = |cause| ExperimentError::NotToml {
            file: file.into(),
            cause: Box::new(cause),
        };
        let experiment: Experiment = toml::from_str(&text).map_err(not_toml)?;
        experiment.check(file)?;
        Ok(experiment)
    }

    fn check(&self, file: &Path) -> Result<(), ExperimentError> {
        let queries = self.queries_per_second * self.seconds;
        let least_work = self.work_ms[0] as f64;
        let numbers = [
            ("gateways", self.gateways as f64, 1.0, MOST_GATEWAYS as f64),
            ("engines", self.engines as f64, 1.0, MOST_ENGINES as f64),
            ("zones", self.zones as f64, 1.0, self.engines as f64),
            ("watchers", self.watchers as f64, 0.0, MOST_WATCHERS as f64),
            ("seconds", self.seconds, 0.0, MOST_SECONDS),
            ("queries_per_second * seconds", queries, 0.0, MOST_QUERIES),
            ("work_ms.1", self.work_ms[1] as f64, least_work, 2_000.0),
            ("keys", self.keys as f64, 0.0, 10_000.0),
        ];
        for (place, found, least, most) in numbers {
            within(file, place, found, least, most)?;
        }
        for (i, event) in self.events.iter().enumerate() {
            within(file, &format!("events.{i}.at"), event.at, 0.0, self.seconds)?;
            let (name, found, most) = event.what.reach(self);
            within(
                file,
                &format!("events.{i}.{name}"),
                found as f64,
                0.0,
                most as f64,
            )?;
        }
        for (place, steps, most) in [
            (
                "sweeps.client_connections",
                &self.sweeps.client_connections,
                MOST_CLIENT_CONNECTIONS,
            ),
            (
                "sweeps.log_watchers",
                &self.sweeps.log_watchers,
                MOST_WATCHERS,
            ),
        ] {
            for step in steps {
                within(file, place, *step as f64, 0.0, most as f64)?;
            }
        }
        Ok(())
    }
}

impl Happening {
    /// The number that it names, and the most that there is.
    fn reach(&self, experiment: &Experiment) -> (&'static str, usize, usize) {
        match *self {
            Happening::EnginesKilled { count, .. }
            | Happening::EnginesDrained { count, .. }
            | Happening::EnginesReplaced { count }
            | Happening::EnginesRestarted { count, .. } => ("count", count, experiment.engines),
            Happening::ChangesBurst { count, .. } => ("count", count, 10_000),
            Happening::ZoneLost { zone, .. } | Happening::ZoneBack { zone } => {
                ("zone", zone, experiment.zones - 1)
            }
            Happening::GatewayReloaded { gateway }
            | Happening::GatewayTerminated { gateway }
            | Happening::GatewayKilled { gateway } => ("gateway", gateway, experiment.gateways - 1),
        }
    }
}

fn within(
    file: &Path,
    place: &str,
    found: f64,
    least: f64,
    most: f64,
) -> Result<(), ExperimentError> {
    if found >= least && found <= most {
        return Ok(());
    }
    let expected = format!("from {least} to {most}");
    let (file, place) = (file.into(), place.into());
    Err(ExperimentError::OutOfRange {
        file,
        place,
        found,
        expected,
        remedy: "write a number from that range",
    })
}
