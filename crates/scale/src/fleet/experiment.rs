//! The experiment file of a fleet simulation, and the checks of its values.

use super::injected_fault::InjectedFault;
use crate::experiment::{self, check_range, ExperimentError, InvalidValue};
use serde::Deserialize;
use std::path::Path;

const MAX_GATEWAYS: usize = 20_000;
const MAX_ENGINES: usize = 50_000;
const MAX_SECONDS: f64 = 3_600.0;
/// Maximum length of the lists of classes and kinds.
const MAX_ENTRIES: f64 = 64.0;

/// The settings of a fleet simulation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    pub seed: u64,
    /// Simulated time in seconds.
    pub seconds: f64,
    /// Seconds at the start during which work does not count towards the spread.
    pub settle: f64,
    pub gateways: Gateways,
    pub engines: Engines,
    pub topology: Topology,
    /// Subset settings; without them each gateway uses every engine of the endpoint list.
    pub subset: Option<SubsetTable>,
    pub cold: SlowStartSettings,
    pub retries: Retries,
    pub log: Log,
    pub classes: Vec<QueryClass>,
    #[serde(default)]
    pub script: Vec<ScriptStep>,
    pub limits: Limits,
    /// A fault to inject, to test that the judge detects it.
    #[serde(rename = "slip")]
    pub injected_fault: Option<InjectedFault>,
}

/// Gateways and their query rates.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    pub count: usize,
    /// Mean queries per second that a gateway receives in the simulation.
    pub rate: f64,
    /// Queries per second of the real gateway that a simulated one represents; at least `rate`.
    pub real_rate: f64,
    /// Share of the gateways that receive `busy_times` the queries of the others.
    pub busy_share: f64,
    pub busy_times: f64,
}

/// Engines, their hardware and the timing of their failures.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    pub count: usize,
    /// Share of all cores that the queries use. It determines the mean work of a query; over 1 is overload.
    pub utilisation: f64,
    /// Cores of an engine of each kind. Each kind is equally likely.
    pub kind_cores: Vec<f64>,
    /// Seconds until an attempt at an engine that is down fails to connect.
    pub connect_timeout: f64,
    /// Seconds from the loss of a rack or zone until gateways detect that their attempts there are lost.
    pub loss_detection: f64,
    /// Seconds of downtime after a crash or restart of an engine.
    pub restart: f64,
}

/// Numbers of regions, zones and racks. Gateways and engines are assigned to them in turn.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    pub regions: usize,
    pub zones: usize,
    pub racks_per_zone: usize,
}

/// Settings of the gateways' engine subsets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubsetTable {
    pub size: usize,
    pub class_floor: usize,
    pub reserve: usize,
    pub joins_per_second: f64,
    pub near_weight: f64,
}

/// Slow start of an engine: the fraction `starts_at` of its cores is usable at its start, rising to all cores after
/// `warm_after` seconds. The budget for any `window` of seconds is `multiple` times the work that the initially usable
/// cores can do in that time. A cold engine that receives more, beyond a tolerance, crashes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStartSettings {
    pub starts_at: f64,
    pub warm_after: f64,
    pub multiple: f64,
    pub window: f64,
}

/// The retry budget of a gateway: `floor` plus `per_query` for each query, in any `window` of seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    pub floor: f64,
    pub per_query: f64,
    pub window: f64,
}

/// Timing of the delivery of change log entries to the gateways.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Minimum delay of a delivery in seconds.
    pub least_delay: f64,
    /// Mean, in seconds, of the exponentially distributed delay on top of the minimum.
    pub mean_delay: f64,
    /// Seconds until the log reports the engines of a lost rack or zone as removed.
    #[serde(rename = "loss_told")]
    pub loss_report_delay: f64,
    /// Seconds over which the gateways of a reconnected region spread their catching up.
    pub resume: f64,
}

/// A query class, its share of the queries and its placement constraints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryClass {
    pub name: String,
    /// Share of the queries, relative to the sum over all classes.
    pub share: f64,
    /// Mean work relative to the other classes. It is scaled so that the engines reach `utilisation`.
    pub work: f64,
    /// Seconds from the arrival of a query to its response deadline.
    pub deadline: f64,
    /// Number of ordering keys per gateway; queries with the same key run in order, one at a time. 0 for none.
    #[serde(default)]
    pub keys: u64,
    /// Zones whose engines may run queries of the class; all if unset.
    pub zones: Option<Vec<u32>>,
    /// Kinds of engine that may run queries of the class; all if unset.
    pub kinds: Option<Vec<u32>>,
}

/// A step of the script. docs/scale.md lists the fields that each action reads.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptStep {
    /// Seconds since the beginning of the simulation.
    #[serde(rename = "at")]
    pub at_seconds: f64,
    #[serde(rename = "what")]
    pub action: Action,
    /// Number of the zone, rack or region that the action affects.
    #[serde(rename = "which", default)]
    pub index: usize,
    /// Number of engines or of configuration changes.
    #[serde(default)]
    pub count: usize,
    /// Seconds that the outage lasts, or over which the individual changes are spread.
    #[serde(rename = "lasts", default)]
    pub duration_seconds: f64,
    /// Share of the gateways that a rolling restart ends at a time.
    #[serde(default)]
    pub share: f64,
}

/// A failure or change that a script step causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The engines of a rack fail without notice, and start again later.
    RackLost,
    /// The gateways and engines of a zone fail without notice, and start again later.
    ZoneLost,
    /// The gateways of a region are cut off from the change log for some time.
    RegionCut,
    /// All gateways restart, a share of them at a time.
    RollingRestart,
    /// All gateways restart, at random times.
    MassRestart,
    /// The change log publishes configuration changes at regular intervals.
    ConfigurationBurst,
    /// Randomly chosen engines drain and are replaced by new ones.
    EnginesReplaced,
    /// Processes of randomly chosen engines end and start again.
    EnginesRestarted,
    /// Randomly chosen engines accept attempts but do not answer for some time.
    EnginesSilent,
}

/// Limits that the judge compares the measured figures with.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum work per core of an engine, relative to the mean over all engines: 99th percentile and maximum.
    pub spread_p99: f64,
    pub spread_max: f64,
    /// Maximum number of gateways connected to an engine at once, relative to an even spread of the subsets.
    pub meets_max: f64,
    /// Maximum seconds from the publication of a log entry until a gateway has read it, in 99% of the deliveries.
    pub known_p99: f64,
    /// Maximum seconds from the publication of a log entry until a gateway has put it in force, in 99% of the
    /// deliveries.
    pub in_force_p99: f64,
    /// Maximum seconds from the loss of a zone until 99% of the gateways have full subsets again.
    pub refill_p99: f64,
    /// Minimum share of its slow-start budget that a started engine receives from notified gateways, as the median over
    /// all starts. Not judged if unset: with a very small fraction of the queries simulated, gateways may have nothing
    /// to send to the engine.
    pub cold_share_p50: Option<f64>,
    /// Minimum share of the answered queries that succeed.
    pub succeeded: f64,
}

impl Experiment {
    /// Reads an experiment from a file and checks its values.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not a fleet experiment, or has a value out of range.
    pub fn read(file: &Path) -> Result<Experiment, ExperimentError> {
        experiment::read(file, Experiment::check)
    }

    fn check(&self) -> Result<(), InvalidValue> {
        within("seconds", self.seconds, 0.1, MAX_SECONDS)?;
        within("settle", self.settle, 0.0, self.seconds)?;
        self.check_gateways()?;
        self.check_engines()?;
        self.check_durations()?;
        self.check_rules()?;
        self.check_topology()?;
        let classes = self.classes.len() as f64;
        within("classes, entries", classes, 1.0, MAX_ENTRIES)?;
        self.classes.iter().try_for_each(QueryClass::check)?;
        self.script
            .iter()
            .try_for_each(|step| self.check_step(step))
    }

    fn check_gateways(&self) -> Result<(), InvalidValue> {
        let gateways = &self.gateways;
        let count = gateways.count as f64;
        within("gateways.count", count, 1.0, MAX_GATEWAYS as f64)?;
        within("gateways.rate", gateways.rate, 0.01, 1e5)?;
        within("gateways.real_rate", gateways.real_rate, gateways.rate, 1e6)?;
        within("gateways.busy_share", gateways.busy_share, 0.0, 1.0)?;
        within("gateways.busy_times", gateways.busy_times, 1.0, 1e3)
    }

    fn check_engines(&self) -> Result<(), InvalidValue> {
        let engines = &self.engines;
        let kinds = engines.kind_cores.len() as f64;
        within(
            "engines.count",
            engines.count as f64,
            1.0,
            MAX_ENGINES as f64,
        )?;
        within("engines.utilisation", engines.utilisation, 0.001, 10.0)?;
        within("engines.kind_cores, entries", kinds, 1.0, MAX_ENTRIES)?;
        engines
            .kind_cores
            .iter()
            .try_for_each(|cores| within("engines.kind_cores", *cores, 0.5, 1e4))
    }

    fn check_durations(&self) -> Result<(), InvalidValue> {
        let durations = [
            ("engines.connect_timeout", self.engines.connect_timeout),
            ("engines.loss_detection", self.engines.loss_detection),
            ("engines.restart", self.engines.restart),
            ("log.least_delay", self.log.least_delay),
            ("log.mean_delay", self.log.mean_delay),
            ("log.loss_told", self.log.loss_report_delay),
            ("log.resume", self.log.resume),
        ];
        durations
            .into_iter()
            .try_for_each(|(key, seconds)| within(key, seconds, 0.0, MAX_SECONDS))
    }

    fn check_rules(&self) -> Result<(), InvalidValue> {
        within("cold.starts_at", self.cold.starts_at, 0.01, 1.0)?;
        within("cold.warm_after", self.cold.warm_after, 0.1, MAX_SECONDS)?;
        within("cold.multiple", self.cold.multiple, 0.1, 100.0)?;
        within("cold.window", self.cold.window, 0.1, MAX_SECONDS)?;
        within("retries.window", self.retries.window, 0.1, MAX_SECONDS)
    }

    fn check_topology(&self) -> Result<(), InvalidValue> {
        let topology = &self.topology;
        let (engines, zones) = (self.engines.count as f64, topology.zones as f64);
        let regions = topology.regions as f64;
        let racks_per_zone = topology.racks_per_zone as f64;
        within("topology.zones", zones, 1.0, engines)?;
        within("topology.regions", regions, 1.0, zones)?;
        within("topology.racks_per_zone", racks_per_zone, 1.0, 1e4)
    }

    fn check_step(&self, step: &ScriptStep) -> Result<(), InvalidValue> {
        within("script.at", step.at_seconds, 0.0, self.seconds)?;
        within("script.lasts", step.duration_seconds, 0.0, self.seconds)?;
        let topology = &self.topology;
        let numbered = match step.action {
            Action::RackLost => topology.zones * topology.racks_per_zone,
            Action::ZoneLost => topology.zones,
            Action::RegionCut => topology.regions,
            _ => usize::MAX,
        };
        within(
            "script.which",
            step.index as f64,
            0.0,
            numbered as f64 - 1.0,
        )?;
        match step.action {
            Action::RollingRestart => within("script.share", step.share, 0.001, 1.0),
            Action::ConfigurationBurst => within("script.count", step.count as f64, 1.0, 1e5),
            Action::EnginesReplaced | Action::EnginesRestarted | Action::EnginesSilent => within(
                "script.count",
                step.count as f64,
                1.0,
                self.engines.count as f64,
            ),
            _ => Ok(()),
        }
    }

    /// Returns the mean work of all queries before scaling: the classes' work weighted by their shares.
    pub fn unscaled_mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes
            .iter()
            .map(|class| class.share * class.work)
            .sum::<f64>()
            / shares
    }
}

impl QueryClass {
    fn check(&self) -> Result<(), InvalidValue> {
        let key = |field| format!("classes, {}: {field}", self.name);
        within(&key("share"), self.share, 1e-6, 1e6)?;
        within(&key("work"), self.work, 1e-6, 1e6)?;
        within(&key("deadline"), self.deadline, 0.1, MAX_SECONDS)
    }
}

fn within(key: &str, found: f64, min: f64, max: f64) -> Result<(), InvalidValue> {
    let remedy = "see docs/scale.md, section fleet, for the range of each field";
    check_range(key, found, min, max, remedy)
}
