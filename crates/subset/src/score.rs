//! Scores engines by weighted rendezvous hashing.
//!
//! The score of an engine for a gateway is an exponential variate with the engine's weight as its rate, drawn from a
//! hash of both names. The engines with the smallest scores are chosen, so an engine is chosen about in proportion to
//! its weight, and an engine more or less moves no other engine's score. Engines of the gateway's own zone weigh more,
//! where that is configured; cores are left to the decision module.

use crate::engine::EngineFacts;
use crate::settings::SubsetSettings;
use std::cmp::Ordering;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// In place of a number of cores that is 0, negative or not a number.
const MIN_CORES: f64 = 1e-3;

/// More cores than any engine has, so that sums over the list stay finite.
const MAX_CORES: f64 = 1e6;

/// How the weight of an engine grows with its cores: 1 in proportion, 0 not at all.
///
/// The decision module spreads a gateway's work over its members by their cores. If cores counted in the choice too, work
/// per core would grow with them (tests/holders.rs), and engines with few cores would be the first that no gateway holds.
const CORES_EXPONENT: f64 = 0.0;

/// Mantissa bits of a hash that become a fraction: half a step is added, and the sum must stay below 1.
const FRACTION_BITS: u32 = 52;

/// A finite score; smaller is chosen first.
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

/// The name of a gateway, hashed: the source of its scores and of its jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayHash(u64);

impl GatewayHash {
    /// The hash of a gateway's name.
    pub fn new(gateway: &str) -> Self {
        GatewayHash(xxh3_64(gateway.as_bytes()))
    }

    /// The score of an engine for this gateway. The weight is more than 0.
    pub fn score(self, engine: &str, weight: f64) -> Score {
        Score(-fraction(xxh3_64_with_seed(engine.as_bytes(), self.0)).ln() / weight)
    }

    /// The draw of this number: uniform over the gateways between 0 and 1, and the same at each call.
    pub(crate) fn jitter(self, draw: u64) -> f64 {
        fraction(xxh3_64_with_seed(&draw.to_le_bytes(), self.0))
    }
}

/// A fraction between 0 and 1, both excluded.
fn fraction(hash: u64) -> f64 {
    let steps = (hash >> (u64::BITS - FRACTION_BITS)) as f64;
    (steps + 0.5) / (1_u64 << FRACTION_BITS) as f64
}

/// The cores of an engine within the bounds that can be calculated with.
pub(crate) fn usable_cores(cores: f64) -> f64 {
    if cores.is_nan() {
        MIN_CORES
    } else {
        cores.clamp(MIN_CORES, MAX_CORES)
    }
}

/// The weight of an engine in a zone that is not the gateway's own.
pub(crate) fn base_weight(cores: f64) -> f64 {
    usable_cores(cores).powf(CORES_EXPONENT)
}

impl SubsetSettings {
    /// The weight of an engine for a gateway with these settings.
    pub fn weight(&self, facts: &EngineFacts) -> f64 {
        let zone_weight = if self.zone == Some(facts.zone) {
            self.near_weight
        } else {
            1.0
        };
        base_weight(facts.cores) * zone_weight
    }
}
