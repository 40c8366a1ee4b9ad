//! Defines the settings of a subset and validates them.

use crate::engine::EngineFacts;
use thiserror::Error;

/// Maximum number of placement classes. Each class takes memory and a comparison for each changed engine.
pub const MAX_CLASSES: usize = 1_024;

/// Maximum near weight. Above it, a gateway would use only engines of its own zone, whatever the exact value.
pub const MAX_NEAR_WEIGHT: f64 = 1e6;

/// Default floor of each placement class. With four engines, one may drain and one fail while the other two share the
/// work.
const DEFAULT_CLASS_FLOOR: usize = 4;

/// Ratio of the size to the default reserve. With a reserve of a quarter, the members in one of four zones can be
/// replaced when the zone is lost.
const DEFAULT_SIZE_PER_RESERVE: usize = 4;

/// Default pace at which engines join. At this pace, replacing a subset of 80 engines takes 80 s, longer than the slow
/// start of an engine.
const DEFAULT_JOINS_PER_SECOND: f64 = 1.0;

/// Default near weight, with which no engine is preferred.
const DEFAULT_NEAR_WEIGHT: f64 = 1.0;

/// The engines that may serve a query class, by zone and kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementClass {
    /// Allowed zones; `None` allows all.
    pub zones: Option<Vec<u32>>,
    /// Allowed kinds of engine; `None` allows all.
    pub kinds: Option<Vec<u32>>,
}

impl PlacementClass {
    /// Returns whether an engine of this zone and kind may serve the class.
    pub fn admits(&self, zone: u32, kind: u32) -> bool {
        let allows = |allowed: &Option<Vec<u32>>, value| {
            allowed
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&value))
        };
        allows(&self.zones, zone) && allows(&self.kinds, kind)
    }

    /// Returns whether this engine may serve the class.
    pub fn admits_engine(&self, facts: &EngineFacts) -> bool {
        self.admits(facts.zone, facts.kind)
    }
}

/// The engines at which a query that is idempotent by key may be retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryScope {
    /// Any engine.
    Everywhere,
    /// Engines of the zone of the first attempt.
    Zone,
    /// Engines of the cell of the first attempt.
    Cell,
}

/// Settings for the size of a gateway's subset and the way it changes.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetSettings {
    /// Number of engines in the subset while no member is unhealthy; 1 or more. The effective size may be larger, so
    /// that on average at least [`MIN_HOLDERS`](crate::MIN_HOLDERS) gateways hold each engine.
    pub size: usize,
    /// Number of engines of each placement class that the subset holds, or all of a class that has fewer; at most
    /// `size`. Below half of this number, engines of the class join immediately, without a connection test.
    pub class_floor: usize,
    /// Maximum number of engines that are added while members are unhealthy, and of vacated places that are refilled
    /// without waiting for the pace.
    pub reserve: usize,
    /// Pace at which engines join while the subset is above its floor; greater than 0.
    pub joins_per_second: f64,
    /// The gateway's own zone, whose engines are preferred; `None` if not configured.
    pub zone: Option<u32>,
    /// Factor by which the weight of engines in the gateway's own zone is multiplied; from 1 to [`MAX_NEAR_WEIGHT`].
    pub near_weight: f64,
    /// Number of gateways that use the same engines, including this one; 1 or more.
    pub gateways: f64,
    /// The distinct placement classes of the query classes; at most [`MAX_CLASSES`].
    pub classes: Vec<PlacementClass>,
    /// The narrowest retry scope of any query class.
    pub retry_scope: RetryScope,
}

impl SubsetSettings {
    /// Returns the default settings for a subset of this size at one of `gateways` gateways, without placement classes.
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

    /// Checks that all settings are in range.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that is out of range. Its text names the setting and says how to correct
    /// it.
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
            expected: "a number greater than 0",
            remedy: "set the number of engines that may join per second, such as 2",
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
                "set 1 for no preference, or the factor by which engines in the gateway's own zone are preferred",
        })
    }

    fn validate_gateways(&self) -> Result<(), SubsetError> {
        if self.gateways.is_finite() && self.gateways >= 1.0 {
            return Ok(());
        }
        Err(SubsetError::OutOfRange {
            place: "subset.gateways",
            found: self.gateways,
            expected: "a number of at least 1",
            remedy: "set the number of gateways that use these engines, including this one",
        })
    }
}

/// Reports invalid settings of a subset. The text names the setting, the cause, and how to correct it.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SubsetError {
    /// The size is 0.
    #[error("subset.size: 0 is not allowed; set at least 1, or omit the subset block to use the whole list")]
    EmptySize,
    /// The floor of each placement class is greater than the size of the subset.
    #[error(
        "subset.class_floor: {class_floor} engines of each class are more than the subset.size of {size}; \
         lower class_floor or raise size"
    )]
    ClassFloorOverSize {
        /// The configured floor.
        class_floor: usize,
        /// The configured size.
        size: usize,
    },
    /// There are more placement classes than [`MAX_CLASSES`].
    #[error(
        "subset.classes: {found} placement classes exceed the maximum of {MAX_CLASSES}; \
         allow the same zones and kinds for several service groups"
    )]
    TooManyClasses {
        /// The number of classes.
        found: usize,
    },
    /// The gateway has no name.
    #[error(
        "gateway name: empty, so all gateways without a name would choose the same engines; \
         give each gateway its own name"
    )]
    UnnamedGateway,
    /// A number is out of range.
    #[error("{place}: {found} is not {expected}; {remedy}")]
    OutOfRange {
        /// Path of the setting.
        place: &'static str,
        /// The configured number.
        found: f64,
        /// Description of the allowed numbers.
        expected: &'static str,
        /// Instruction how to correct the setting.
        remedy: &'static str,
    },
}
