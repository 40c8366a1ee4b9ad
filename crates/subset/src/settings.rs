//! The settings of a subset, and their validation.

use crate::engine::EngineFacts;
use thiserror::Error;

/// The most placement classes; each costs a gateway memory and a comparison for each changed engine.
pub const MAX_CLASSES: usize = 1_024;

/// The highest near weight: beyond it a gateway works with its own zone alone, whatever the exact number.
pub const MAX_NEAR_WEIGHT: f64 = 1e6;

/// The usual floor of each placement class: one engine may drain and one fail while two share the work.
const DEFAULT_CLASS_FLOOR: usize = 4;

/// The size over the usual reserve: a lost zone of four can be replaced.
const DEFAULT_SIZE_PER_RESERVE: usize = 4;

/// The usual pace at which engines join: a subset of 80 is all new in 80 s, longer than the slow start of an engine.
const DEFAULT_JOINS_PER_SECOND: f64 = 1.0;

/// The usual near weight: no engine is preferred.
const DEFAULT_NEAR_WEIGHT: f64 = 1.0;

/// Where attempts of a query class may go; `None` allows all.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementClass {
    /// The zones that are allowed.
    pub zones: Option<Vec<u32>>,
    /// The kinds of engine that are allowed.
    pub kinds: Option<Vec<u32>>,
}

impl PlacementClass {
    /// Whether an engine of this zone and kind may serve it.
    pub fn admits(&self, zone: u32, kind: u32) -> bool {
        let allows = |allowed: &Option<Vec<u32>>, value| {
            allowed
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&value))
        };
        allows(&self.zones, zone) && allows(&self.kinds, kind)
    }

    /// Whether this engine may serve it.
    pub fn admits_engine(&self, facts: &EngineFacts) -> bool {
        self.admits(facts.zone, facts.kind)
    }
}

/// Where a query that is idempotent by key may be retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryScope {
    /// Any engine.
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
    /// Engines of each placement class that the subset aims for, or all of a class that has fewer. Under half of it engines join
    /// at once, without a connection.
    pub class_floor: usize,
    /// The most engines that are added while members fail.
    pub reserve: usize,
    /// Engines that join per second, while the subset is above its floor.
    pub joins_per_second: f64,
    /// The gateway's own zone, if it is configured; its engines are preferred.
    pub zone: Option<u32>,
    /// How many times its weight an engine of the gateway's own zone counts; 1 or more.
    pub near_weight: f64,
    /// Gateways that serve the same engines, this one included.
    pub gateways: f64,
    /// The placement classes of the query classes, without repeats.
    pub classes: Vec<PlacementClass>,
    /// The narrowest scope in which any query class may be retried.
    pub retry_scope: RetryScope,
}

impl SubsetSettings {
    /// The usual settings of a subset of this size, for one of this number of gateways, without placement classes.
    pub fn with_size(size: usize, gateways: f64) -> Self {
        SubsetSettings {
            size,
            class_floor: DEFAULT_CLASS_FLOOR.min(size),
            reserve: size.div_ceil(DEFAULT_SIZE_PER_RESERVE),
            joins_per_second: DEFAULT_JOINS_PER_SECOND,
            zone: None,
            near_weight: DEFAULT_NEAR_WEIGHT,
            gateways,
            classes: Vec::new(),
            retry_scope: RetryScope::Everywhere,
        }
    }

    /// Checks that a subset can be chosen by these settings.
    ///
    /// # Errors
    ///
    /// The first setting that is out of range, with what to do.
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
        self.validate_joins_per_second()?;
        self.validate_near_weight()?;
        self.validate_gateways()
    }

    fn validate_joins_per_second(&self) -> Result<(), SubsetError> {
        if self.joins_per_second.is_finite() && self.joins_per_second > 0.0 {
            return Ok(());
        }
        Err(SubsetError::OutOfRange {
            place: "subset.joins_per_second",
            found: self.joins_per_second,
            expected: "a number over 0",
            remedy: "name how many engines may be added a second, such as 2",
        })
    }

    fn validate_near_weight(&self) -> Result<(), SubsetError> {
        if (1.0..=MAX_NEAR_WEIGHT).contains(&self.near_weight) {
            return Ok(());
        }
        Err(SubsetError::OutOfRange {
            place: "subset.near_weight",
            found: self.near_weight,
            expected: "a number from 1 to 1000000",
            remedy:
                "name 1 for no preference, or how many times more often a near engine is chosen",
        })
    }

    fn validate_gateways(&self) -> Result<(), SubsetError> {
        if self.gateways.is_finite() && self.gateways >= 1.0 {
            return Ok(());
        }
        Err(SubsetError::OutOfRange {
            place: "subset.gateways",
            found: self.gateways,
            expected: "a number of 1 or more",
            remedy: "tell the number of gateways before these engines, this one included",
        })
    }
}

/// Settings that no subset can be chosen by; the text says where, why, and what to do.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SubsetError {
    /// The size is 0.
    #[error("subset.size: 0 engines; name at least 1, or leave the block out to work with the whole list")]
    EmptySize,
    /// The floor of each class is larger than the subset.
    #[error(
        "subset.class_floor: {class_floor} engines of each class are more than the subset.size of {size}; \
         lower class_floor, or raise size"
    )]
    ClassFloorOverSize {
        /// The configured floor.
        class_floor: usize,
        /// The configured size.
        size: usize,
    },
    /// There are more placement classes than [`MAX_CLASSES`].
    #[error("subset.classes: {found} placement classes are more than {MAX_CLASSES}; let service groups share theirs")]
    TooManyClasses {
        /// The number of classes.
        found: usize,
    },
    /// The gateway has no name.
    #[error("gateway name: empty, so that all such gateways would choose the same engines; give each its own name")]
    UnnamedGateway,
    /// A number is out of range.
    #[error("{place}: {found} is not {expected}; {remedy}")]
    OutOfRange {
        /// The path of the setting.
        place: &'static str,
        /// The configured number.
        found: f64,
        /// The numbers that are allowed.
        expected: &'static str,
        /// What to do.
        remedy: &'static str,
    },
}
