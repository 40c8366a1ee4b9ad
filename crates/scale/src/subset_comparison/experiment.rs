//! An experiment's file: the fleets and the strategies to compare.

use super::injected_fault::InjectedFault;
use super::strategy_name::StrategyName;
use crate::experiment::{self, ExperimentError, InvalidValue};
use serde::Deserialize;
use std::path::Path;

/// Bounds of an experiment, so that a typing error does not exhaust the machine.
const MAX_SEEDS: usize = 1_024;
const MAX_ENGINES: usize = 100_000;
const MAX_GATEWAYS: usize = 100_000;
const MAX_THREADS: usize = 64;
const MAX_POINTS_PER_CORE: usize = 256;

/// What is compared, and over which fleets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The first seed; the others follow it.
    pub seed: u64,
    /// How many seeds each comparison runs with.
    pub seeds: usize,
    /// Threads that choose at the same time.
    #[serde(default = "one")]
    pub threads: usize,
    /// The strategies to compare; all when left out.
    #[serde(rename = "ways", default = "StrategyName::all")]
    pub strategies: Vec<StrategyName>,
    /// Engines of each named kind in a subset at least, for the strategies that know placement classes.
    pub class_floor: usize,
    /// Zones, over which engines and gateways are dealt evenly.
    pub zones: u32,
    /// Engines in a rack; a rack lies in one zone.
    pub rack_engines: usize,
    /// Kinds of engines.
    pub kinds: Vec<Kind>,
    pub fleets: Vec<Fleet>,
    pub traffic: Traffic,
    pub ring: Ring,
    pub sampling: Sampling,
    /// Share of the gateways that leaves in the change of gateways.
    pub gateways_lost: f64,
    /// An injected fault, which the judge has to find.
    #[serde(rename = "slip", default)]
    pub injected_fault: Option<InjectedFault>,
}

/// Engines of one number of cores.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub cores: f64,
    /// Part of all engines.
    pub share: f64,
    /// Whether a query class names this kind, which makes it a placement class.
    #[serde(default)]
    pub named: bool,
}

/// So many gateways before so many engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub gateways: usize,
    pub engines: usize,
    /// Engines in a subset; a size under the floor is raised to it.
    pub subset_sizes: Vec<usize>,
}

impl Fleet {
    fn check(&self) -> Result<(), InvalidValue> {
        let found = format!("{self:?}");
        let counts = (2..=MAX_GATEWAYS).contains(&self.gateways)
            && (2..=MAX_ENGINES).contains(&self.engines);
        if !counts {
            let remedy = "name gateways and engines in this range";
            return Err(InvalidValue::new(
                "fleets",
                found,
                "2 to 100,000 of each",
                remedy,
            ));
        }
        if self.subset_sizes.is_empty() || self.subset_sizes.contains(&0) {
            let (expected, remedy) = ("a list of 1 or more", "name the sizes to compare");
            return Err(InvalidValue::new(
                "fleets.subset_sizes",
                found,
                expected,
                remedy,
            ));
        }
        Ok(())
    }
}

/// Uneven traffic: some gateways get several times the mean of the others.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    pub heavy_share: f64,
    pub heavy_factor: f64,
    /// Queries a second a gateway in the mean; only the connections of sampling depend on it.
    pub queries_per_second: f64,
}

/// The ring with virtual nodes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ring {
    /// Points of an engine for each of its cores.
    pub points_per_core: usize,
}

/// Sampling a few engines of the whole list for each decision.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sampling {
    /// Engines polled for their load, for each decision.
    pub draws: usize,
    /// A connection is closed when it was idle for so long.
    pub connection_idle_s: f64,
}

fn one() -> usize {
    1
}

impl Experiment {
    /// Reads and checks an experiment.
    ///
    /// # Errors
    ///
    /// Where it can't be read, is no such experiment, or has a value that can't be used.
    pub fn read(file: &Path) -> Result<Self, ExperimentError> {
        experiment::read(file, Experiment::check)
    }

    /// The kinds that query classes name.
    pub fn named_kinds(&self) -> Vec<u32> {
        (0..)
            .zip(&self.kinds)
            .filter(|(_, kind)| kind.named)
            .map(|(index, _)| index)
            .collect()
    }

    fn check(&self) -> Result<(), InvalidValue> {
        self.check_repeats()?;
        self.check_engines()?;
        self.check_fleets()?;
        self.check_strategies()?;
        self.check_traffic()
    }

    fn check_repeats(&self) -> Result<(), InvalidValue> {
        if !(1..=MAX_SEEDS).contains(&self.seeds) {
            return Err(InvalidValue::new(
                "seeds",
                self.seeds,
                "1 to 1,024",
                "name how often each is played",
            ));
        }
        if !(1..=MAX_THREADS).contains(&self.threads) {
            return Err(InvalidValue::new(
                "threads",
                self.threads,
                "1 to 64",
                "name the cores it may use",
            ));
        }
        Ok(())
    }

    fn check_engines(&self) -> Result<(), InvalidValue> {
        if self.zones == 0 {
            return Err(InvalidValue::new(
                "zones",
                self.zones,
                "1 or more",
                "name the number of zones",
            ));
        }
        if self.rack_engines == 0 {
            let remedy = "name the engines that share a rack";
            return Err(InvalidValue::new(
                "rack_engines",
                self.rack_engines,
                "1 or more",
                remedy,
            ));
        }
        let usable = |kind: &Kind| positive(kind.cores) && positive(kind.share);
        if self.kinds.is_empty() || !self.kinds.iter().all(usable) {
            let remedy = "name cores and share of each kind";
            return Err(InvalidValue::new(
                "kinds",
                format!("{:?}", self.kinds),
                "a list with both over 0",
                remedy,
            ));
        }
        Ok(())
    }

    fn check_fleets(&self) -> Result<(), InvalidValue> {
        if self.fleets.is_empty() {
            let (found, expected) = ("an empty list", "a list of fleets");
            let remedy = "add a [[fleets]] table";
            return Err(InvalidValue::new("fleets", found, expected, remedy));
        }
        self.fleets.iter().try_for_each(Fleet::check)?;
        if !(0.0..1.0).contains(&self.gateways_lost) {
            let (expected, remedy) = (
                "0 or more and under 1",
                "name the part of the gateways that goes",
            );
            let found = self.gateways_lost;
            return Err(InvalidValue::new("gateways_lost", found, expected, remedy));
        }
        Ok(())
    }

    fn check_strategies(&self) -> Result<(), InvalidValue> {
        let judged = [StrategyName::Subset, StrategyName::RendezvousFloors];
        if !judged
            .iter()
            .all(|strategy| self.strategies.contains(strategy))
        {
            let remedy = "name both as well: one is judged by the other";
            let expected = "a list with subset and rendezvous-floors";
            return Err(InvalidValue::new(
                "ways",
                format!("{:?}", self.strategies),
                expected,
                remedy,
            ));
        }
        if !(1..=MAX_POINTS_PER_CORE).contains(&self.ring.points_per_core) {
            let remedy = "name the points of an engine on the ring for each core";
            return Err(InvalidValue::new(
                "ring.points_per_core",
                self.ring.points_per_core,
                "1 to 256",
                remedy,
            ));
        }
        if self.sampling.draws == 0 || !positive(self.sampling.connection_idle_s) {
            let remedy = "name draws of 1 or more and a time over 0";
            return Err(InvalidValue::new(
                "sampling",
                format!("{:?}", self.sampling),
                "usable",
                remedy,
            ));
        }
        Ok(())
    }

    fn check_traffic(&self) -> Result<(), InvalidValue> {
        let traffic = &self.traffic;
        if !positive(traffic.heavy_factor) || !positive(traffic.queries_per_second) {
            let remedy = "name a factor and a rate over 0";
            return Err(InvalidValue::new(
                "traffic",
                format!("{traffic:?}"),
                "usable",
                remedy,
            ));
        }
        let heavy = traffic.heavy_share * traffic.heavy_factor;
        if !(0.0..1.0).contains(&traffic.heavy_share) || heavy >= 1.0 {
            let remedy =
                "name fewer heavy gateways or a lower factor, so that something is left for the others";
            return Err(InvalidValue::new(
                "traffic.heavy_share",
                traffic.heavy_share,
                "under 1 / heavy_factor",
                remedy,
            ));
        }
        Ok(())
    }
}

fn positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}
