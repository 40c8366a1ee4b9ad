//! Reads and checks experiment files of the subcommand `spread`: the fleets and the strategies to compare.

use super::injected_fault::InjectedFault;
use super::strategy_name::StrategyName;
use crate::experiment::{self, ExperimentError, InvalidValue};
use serde::Deserialize;
use std::path::Path;

/// Bounds on an experiment, so that a typing error does not exhaust the machine.
const MAX_SEEDS: usize = 1_024;
const MAX_ENGINES: usize = 100_000;
const MAX_GATEWAYS: usize = 100_000;
const MAX_THREADS: usize = 64;
const MAX_POINTS_PER_CORE: usize = 256;

/// Parameters of a comparison.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// First seed; the others are the numbers that follow it.
    pub seed: u64,
    /// Number of seeds that each case runs with.
    pub seeds: usize,
    /// Number of threads that choose subsets concurrently.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Strategies to compare; by default all.
    #[serde(rename = "ways", default = "StrategyName::all")]
    pub strategies: Vec<StrategyName>,
    /// Minimum number of engines of each named kind in a subset, for the strategies that know placement classes.
    pub class_floor: usize,
    /// Number of zones. Racks are assigned to them in turn.
    pub zones: u32,
    /// Number of engines in a rack; a rack lies in one zone.
    pub rack_engines: usize,
    /// Kinds of engines, which are drawn at random by their shares.
    pub kinds: Vec<Kind>,
    pub fleets: Vec<Fleet>,
    pub traffic: Traffic,
    pub ring: Ring,
    pub sampling: Sampling,
    /// Share of the gateways that leave in the change of gateways; 0 or more and less than 1.
    pub gateways_lost: f64,
    /// Fault to inject, which the judge has to find.
    #[serde(rename = "slip", default)]
    pub injected_fault: Option<InjectedFault>,
}

/// A kind of engine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub cores: f64,
    /// Share of all engines, relative to the sum of the shares of all kinds.
    pub share: f64,
    /// Whether a query class names this kind, which makes it a placement class.
    #[serde(default)]
    pub named: bool,
}

/// A fleet and the subset sizes to compare in it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub gateways: usize,
    pub engines: usize,
    /// Numbers of engines in a subset. Sizes with too few holders per engine are raised.
    pub subset_sizes: Vec<usize>,
}

impl Fleet {
    fn check(&self) -> Result<(), InvalidValue> {
        let found = format!("{self:?}");
        let counts = (2..=MAX_GATEWAYS).contains(&self.gateways)
            && (2..=MAX_ENGINES).contains(&self.engines);
        if !counts {
            let remedy = "use numbers of gateways and engines in this range";
            return Err(InvalidValue::new(
                "fleets",
                found,
                "2 to 100,000 of each",
                remedy,
            ));
        }
        if self.subset_sizes.is_empty() || self.subset_sizes.contains(&0) {
            let (expected, remedy) = ("a list of 1 or more", "list the sizes to compare");
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

/// Uneven traffic: some gateways get a multiple of the mean, and the others share the rest.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Share of the gateways that get heavy traffic.
    pub heavy_share: f64,
    /// Traffic of a heavy gateway, as a multiple of the mean over all gateways.
    pub heavy_factor: f64,
    /// Mean query rate of a gateway. Only the connections of the strategy `sampling` depend on it.
    pub queries_per_second: f64,
}

/// Settings of the strategy `ring`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ring {
    /// Number of an engine's points on the ring for each of its cores.
    pub points_per_core: usize,
}

/// Settings of the strategy `sampling`, which draws a few engines of the whole list for each decision.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sampling {
    /// Number of engines that are polled for their load at each decision.
    pub draws: usize,
    /// Idle time in seconds after which a connection is closed.
    pub connection_idle_s: f64,
}

fn default_threads() -> usize {
    1
}

impl Experiment {
    /// Reads an experiment file and checks its values.
    ///
    /// # Errors
    ///
    /// The file can't be read, is not an experiment of this kind, or has a value that can't be used.
    pub fn read(file: &Path) -> Result<Self, ExperimentError> {
        experiment::read(file, Experiment::check)
    }

    /// Returns the indices of the kinds that query classes name.
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
                "use the number of seeds for each case",
            ));
        }
        if !(1..=MAX_THREADS).contains(&self.threads) {
            return Err(InvalidValue::new(
                "threads",
                self.threads,
                "1 to 64",
                "use the number of cores available to the run",
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
                "use the number of zones",
            ));
        }
        if self.rack_engines == 0 {
            let remedy = "use the number of engines that share a rack";
            return Err(InvalidValue::new(
                "rack_engines",
                self.rack_engines,
                "1 or more",
                remedy,
            ));
        }
        let usable = |kind: &Kind| positive(kind.cores) && positive(kind.share);
        if self.kinds.is_empty() || !self.kinds.iter().all(usable) {
            let remedy = "set cores and share of each kind";
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
                "use the share of gateways that leave",
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
            let remedy = "list both as well: one is judged by the other";
            let expected = "a list with subset and rendezvous-floors";
            return Err(InvalidValue::new(
                "ways",
                format!("{:?}", self.strategies),
                expected,
                remedy,
            ));
        }
        if !(1..=MAX_POINTS_PER_CORE).contains(&self.ring.points_per_core) {
            let remedy = "use the number of ring points for each core of an engine";
            return Err(InvalidValue::new(
                "ring.points_per_core",
                self.ring.points_per_core,
                "1 to 256",
                remedy,
            ));
        }
        if self.sampling.draws == 0 || !positive(self.sampling.connection_idle_s) {
            let remedy = "set draws to 1 or more and connection_idle_s to a time over 0";
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
            let remedy = "set heavy_factor and queries_per_second to numbers over 0";
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
                "use a lower share or factor, so that some traffic is left for the other gateways";
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
