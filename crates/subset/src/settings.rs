//! What an operator sets, and what is wrong with it.

use crate::EngineFacts;
use thiserror::Error;

/// Placement classes, at most; each costs a gateway memory and a comparison for each changed line.
pub const MAX_CLASSES: usize = 1_024;

/// Beyond it a gateway would work with its own zone alone, whatever the exact figure.
pub const MAX_NEAR_WEIGHT: f64 = 1e6;

/// Engines of each placement class where none is told: one may drain and one fail while two share the work.
const USUAL_CLASS_FLOOR: usize = 4;

/// One in so many of the size may be added while members fail, where no reserve is told: a zone of four that is lost.
const USUAL_RESERVE_PART: usize = 4;

/// Newcomers a second where none is told: a subset of 80 is all new in 80 s, longer than an engine stays cold.
const USUAL_JOINS_PER_SECOND: f64 = 1.0;

/// No engine is nearer than another where nothing is told.
const USUAL_NEAR_WEIGHT: f64 = 1.0;

/// Where attempts of one service group may go; `None` leaves all open.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementClass {
    pub zones: Option<Vec<u32>>,
    pub kinds: Option<Vec<u32>>,
}

impl PlacementClass {
    /// Whether an engine of this zone and kind may serve it.
    pub fn admits(&self, zone: u32, kind: u32) -> bool {
        let open = |named: &Option<Vec<u32>>, value| {
            named.as_ref().is_none_or(|named| named.contains(&value))
        };
        open(&self.zones, zone) && open(&self.kinds, kind)
    }

    /// Whether this engine may serve it.
    pub fn admits_engine(&self, facts: &EngineFacts) -> bool {
        self.admits(facts.zone, facts.kind)
    }
}

/// Where a query that is idempotent by key may be retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryScope {
    Everywhere,
    /// The zone of the first attempt.
    Zone,
    /// The cell of the first attempt, in its zone.
    Cell,
}

/// How large a gateway's subset is and how it changes.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetSettings {
    /// Engines in the subset while none fails. A floor follows from the numbers of gateways and engines, so that
    /// no engine is left without gateways.
    pub size: usize,
    /// So many engines of each placement class at least, or all of a class that has fewer.
    pub class_floor: usize,
    /// Engines that may be added while members fail, at most.
    pub reserve: usize,
    /// Newcomers a second, while the subset is above its floor.
    pub joins_per_second: f64,
    /// The gateway's own zone, where it is told; its engines come first.
    pub zone: Option<u32>,
    /// How many times its weight an engine of the gateway's own zone counts; 1 or more.
    pub near_weight: f64,
    /// Gateways that serve the same engines, this one included.
    pub gateways: f64,
    /// The placement classes of the service groups, without repeats.
    pub classes: Vec<PlacementClass>,
    /// The narrowest scope in which any service group may be retried.
    pub retry_scope: RetryScope,
}

impl SubsetSettings {
    /// The usual settings of a subset of this size, for one of so many gateways, without placement classes.
    pub fn with_size(size: usize, gateways: f64) -> Self {
        SubsetSettings {
            size,
            class_floor: USUAL_CLASS_FLOOR.min(size),
            reserve: size.div_ceil(USUAL_RESERVE_PART),
            joins_per_second: USUAL_JOINS_PER_SECOND,
            zone: None,
            near_weight: USUAL_NEAR_WEIGHT,
            gateways,
            classes: Vec::new(),
            retry_scope: RetryScope::Everywhere,
        }
    }

    /// Whether a subset can be chosen by them.
    pub fn validate(&self) -> Result<(), SubsetError> {
        if self.size == 0 {
            return Err(SubsetError::EmptySize);
        }
        if self.class_floor > self.size {
            return Err(SubsetError::ClassFloorOverSize {
                class_floor: self.class_floor,
                size: self.size,
            });
        }
        if self.classes.len() > MAX_CLASSES {
            return Err(SubsetError::TooManyClasses {
                found: self.classes.len(),
            });
        }
        self.validate_numbers()
    }

    fn validate_numbers(&self) -> Result<(), SubsetError> {
        let faulty = |place, found, expected, remedy| {
            Err(SubsetError::OutOfRange {
                place,
                found,
                expected,
                remedy,
            })
        };
        if !(self.joins_per_second.is_finite() && self.joins_per_second > 0.0) {
            let remedy = "name how many engines may be added a second, such as 2";
            return faulty(
                "subset.joins_per_second",
                self.joins_per_second,
                "a number over 0",
                remedy,
            );
        }
        if !(1.0..=MAX_NEAR_WEIGHT).contains(&self.near_weight) {
            let remedy =
                "name 1 for no preference, or how many times more often a near engine is chosen";
            return faulty(
                "subset.near_weight",
                self.near_weight,
                "a number from 1 to 1000000",
                remedy,
            );
        }
        if !(self.gateways.is_finite() && self.gateways >= 1.0) {
            let remedy = "tell the number of gateways before these engines, this one included";
            return faulty(
                "subset.gateways",
                self.gateways,
                "a number of 1 or more",
                remedy,
            );
        }
        Ok(())
    }
}

/// Settings that no subset can be chosen by: where, why, and what to do.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SubsetError {
    #[error("subset.size: 0 engines; name at least 1, or leave the block out to work with the whole list")]
    EmptySize,
    #[error(
        "subset.class_floor: {class_floor} engines of each class are more than the subset.size of {size}; \
         lower class_floor, or raise size"
    )]
    ClassFloorOverSize { class_floor: usize, size: usize },
    #[error("subset.classes: {found} placement classes are more than {MAX_CLASSES}; let service groups share theirs")]
    TooManyClasses { found: usize },
    #[error("gateway name: empty, so that all such gateways would choose the same engines; give each its own name")]
    UnnamedGateway,
    #[error("{place}: {found} is not {expected}; {remedy}")]
    OutOfRange {
        place: &'static str,
        found: f64,
        expected: &'static str,
        remedy: &'static str,
    },
}
