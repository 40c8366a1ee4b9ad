//! The file of an experiment with the hollow fleet, and its checks.

use super::injected_fault::InjectedFault;
use crate::experiment::{self, check_range, ExperimentError, InvalidValue};
use serde::Deserialize;
use std::path::Path;

const MAX_GATEWAYS: usize = 20_000;
const MAX_ENGINES: usize = 50_000;
const MAX_SECONDS: f64 = 3_600.0;
/// Of the lists of classes and kinds.
const MAX_ENTRIES: f64 = 64.0;

/// One run of the hollow fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    pub seed: u64,
    /// Simulated seconds.
    pub seconds: f64,
    /// Seconds at the start that do not count for the spread of work.
    pub settle: f64,
    pub gateways: Gateways,
    pub engines: Engines,
    pub topology: Topology,
    /// Without it each gateway works with the whole list.
    pub subset: Option<SubsetTable>,
    pub cold: Cold,
    pub retries: Retries,
    pub log: Log,
    pub classes: Vec<QueryClass>,
    #[serde(default)]
    pub script: Vec<ScriptStep>,
    pub limits: Limits,
    /// A fault put between module and engines on purpose, which the judge has to find.
    #[serde(rename = "slip")]
    pub injected_fault: Option<InjectedFault>,
}

/// The gateways and their load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    pub count: usize,
    /// Queries a second that one gateway receives, in the mean.
    pub rate: f64,
    /// Queries a second of the real gateway that it stands for.
    pub real_rate: f64,
    /// This share of the gateways gets `busy_times` what the others get.
    pub busy_share: f64,
    pub busy_times: f64,
}

/// The engines, and how they fail.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    pub count: usize,
    /// Share of all cores that the queries need; it sets the work of a query.
    pub utilisation: f64,
    /// Cores of each kind; kinds are equally frequent.
    pub kind_cores: Vec<f64>,
    /// Seconds until an attempt at an engine that is down is known to have no connection.
    pub connect_timeout: f64,
    /// Seconds until an attempt is known to be broken when its engine's rack or zone is lost.
    pub loss_detection: f64,
    /// Seconds that an engine which crashed or was restarted is down.
    pub restart: f64,
}

/// How gateways and engines are spread over regions, zones and racks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    pub regions: usize,
    pub zones: usize,
    pub racks_per_zone: usize,
}

/// Settings of the gateways' subsets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubsetTable {
    pub size: usize,
    pub class_floor: usize,
    pub reserve: usize,
    pub joins_per_second: f64,
    pub near_weight: f64,
}

/// Slow start: the fraction of its cores that a started engine can use, for how many seconds, and its budget.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    pub starts_at: f64,
    pub warm_after: f64,
    pub multiple: f64,
    pub window: f64,
}

/// The retry budget: a floor and a share of the queries, in a window of seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    pub floor: f64,
    pub per_query: f64,
    pub window: f64,
}

/// How the change log reaches the gateways.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Seconds that each delivery takes at least, and the mean of an exponentially distributed addition.
    pub least_delay: f64,
    pub mean_delay: f64,
    /// Seconds until the log reports the loss of a rack or zone.
    #[serde(rename = "loss_told")]
    pub loss_report_delay: f64,
    /// A region that is connected again catches up spread over so many seconds.
    pub resume: f64,
}

/// A class of queries.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryClass {
    pub name: String,
    pub share: f64,
    /// Mean work, in means of all queries before scaling.
    pub work: f64,
    /// Seconds until the client cancels.
    pub deadline: f64,
    /// Keys a gateway; their queries run in order, one at a time. 0: no keys.
    #[serde(default)]
    pub keys: u64,
    pub zones: Option<Vec<u32>>,
    pub kinds: Option<Vec<u32>>,
}

/// One action of the script; docs/scale.md lists the fields that each action reads.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptStep {
    #[serde(rename = "at")]
    pub at_seconds: f64,
    #[serde(rename = "what")]
    pub action: Action,
    /// Number of the zone, rack or region.
    #[serde(rename = "which", default)]
    pub index: usize,
    /// Engines or changes.
    #[serde(default)]
    pub count: usize,
    /// Seconds that it lasts, or over which it is spread.
    #[serde(rename = "lasts", default)]
    pub duration_seconds: f64,
    /// Share of the gateways at a time.
    #[serde(default)]
    pub share: f64,
}

/// What an action of the script does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    RackLost,
    ZoneLost,
    RegionCut,
    RollingRestart,
    MassRestart,
    ConfigurationBurst,
    EnginesReplaced,
    EnginesRestarted,
    EnginesSilent,
}

/// What the judge holds the figures against.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Work a core of an engine over the mean.
    pub spread_p99: f64,
    pub spread_max: f64,
    /// Gateways connected to an engine at once, over what subsets of equal spread would give.
    pub meets_max: f64,
    /// Seconds until a change is known, and in force, at 99 in 100 gateways.
    pub known_p99: f64,
    pub in_force_p99: f64,
    /// Seconds after a zone's loss in which 99 in 100 gateways have full subsets again.
    pub refill_p99: f64,
    /// Share of its cold budget that a started engine gets from notified gateways, in the median. Left out where
    /// so small a fraction of the queries is simulated that gateways have nothing to send it: then it is not judged.
    pub cold_share_p50: Option<f64>,
    /// Share of the queries that succeed.
    pub succeeded: f64,
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Where it can't be read, is no such experiment, or has a value that can't be used.
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
            .try_for_each(|(place, seconds)| within(place, seconds, 0.0, MAX_SECONDS))
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

    /// Mean of the classes' work by share, before scaling.
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
        let place = |field| format!("classes, {}: {field}", self.name);
        within(&place("share"), self.share, 1e-6, 1e6)?;
        within(&place("work"), self.work, 1e-6, 1e6)?;
        within(&place("deadline"), self.deadline, 0.1, MAX_SECONDS)
    }
}

fn within(place: &str, found: f64, least: f64, most: f64) -> Result<(), InvalidValue> {
    let remedy = "see docs/scale.md, section fleet, for what each field may be";
    check_range(place, found, least, most, remedy)
}
