//! Scores engines by weighted rendezvous hashing.
//!
//! The score of an engine for a gateway is an exponential variate with the engine's weight as its rate, drawn from a
//! hash of both names. The engines with the lowest scores are chosen, so the probability of an engine is about
//! proportional to its weight. Adding or removing an engine does not change the scores of others. Engines of the
//! gateway's own zone can be configured to weigh more. Cores do not affect the weight; the decision module accounts for
//! them.

use crate::engine::EngineFacts;
use crate::settings::SubsetSettings;
use std::cmp::Ordering;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Lower bound of cores, also used if the number is 0, negative or NaN.
const MIN_CORES: f64 = 1e-3;

/// Upper bound of cores, far above that of any engine, so that sums over the list stay finite.
const MAX_CORES: f64 = 1e6;

/// Exponent of the cores in the weight of an engine: at 1 the weight is proportional to the cores, at 0 independent of
/// them.
///
/// The decision module distributes a gateway's work over its members in proportion to their cores. If cores also
/// affected the choice, work per core would grow with the cores of an engine (tests/holders.rs), and engines with few
/// cores would be the first that no gateway holds.
const CORES_EXPONENT: f64 = 0.0;

/// Number of bits of a hash that form a fraction. With 52 bits, an `f64` represents the fraction plus half a step
/// exactly, so that the sum stays below 1.
const FRACTION_BITS: u32 = 52;

/// The finite score of an engine; engines with lower scores are chosen first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Score(pub f64);

impl Eq for Score {}

impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Score {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The hash of a gateway's name, from which its scores and jitter are derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayHash(u64);

impl GatewayHash {
    /// Hashes the name of a gateway.
    pub fn new(gateway: &str) -> Self {
        GatewayHash(xxh3_64(gateway.as_bytes()))
    }

    /// Returns the score of the engine with this id for this gateway. The weight must be greater than 0.
    pub fn score(self, engine: &str, weight: f64) -> Score {
        Score(-fraction(xxh3_64_with_seed(engine.as_bytes(), self.0)).ln() / weight)
    }

    /// Returns the jitter with this number, between 0 and 1. The value is uniformly distributed over gateways and the
    /// same at each call.
    pub(crate) fn jitter(self, draw: u64) -> f64 {
        fraction(xxh3_64_with_seed(&draw.to_le_bytes(), self.0))
    }
}

/// Maps a hash to a fraction between 0 and 1, both excluded.
fn fraction(hash: u64) -> f64 {
    let steps = (hash >> (u64::BITS - FRACTION_BITS)) as f64;
    (steps + 0.5) / (1_u64 << FRACTION_BITS) as f64
}

/// Returns the cores of an engine, clamped to the range from [`MIN_CORES`] to [`MAX_CORES`]; [`MIN_CORES`] for NaN.
pub(crate) fn usable_cores(cores: f64) -> f64 {
    if cores.is_nan() {
        MIN_CORES
    } else {
        cores.clamp(MIN_CORES, MAX_CORES)
    }
}

/// Returns the weight of an engine with this number of cores, without the preference for the gateway's own zone.
pub(crate) fn base_weight(cores: f64) -> f64 {
    usable_cores(cores).powf(CORES_EXPONENT)
}

impl SubsetSettings {
    /// Returns the weight of an engine for a gateway with these settings.
    pub fn weight(&self, facts: &EngineFacts) -> f64 {
        let zone_weight = if self.zone == Some(facts.zone) {
            self.near_weight
        } else {
            1.0
        };
        base_weight(facts.cores) * zone_weight
    }
}
