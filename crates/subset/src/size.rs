//! Computes the number of engines that a gateway holds.

use crate::settings::SubsetSettings;

/// Minimum average number of gateways that hold an engine. With 24, the probability that no gateway holds an engine is
/// about `exp(-24)`, and the engines of one gateway together carry as much traffic as 24 gateways send on average.
pub const MIN_HOLDERS: f64 = 24.0;

/// Floor of the subset as a fraction of its size. Below the floor, engines join immediately without a connection test.
const FLOOR_FRACTION: f64 = 0.5;

/// The reason for the size of a subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeReason {
    /// The size is the configured one.
    Configured,
    /// With the configured size, fewer than [`MIN_HOLDERS`] gateways would hold an engine on average.
    MinHolders,
    /// The subset contains all ready engines of the list.
    WholeList,
}

/// The number of engines that a gateway holds while no member is unhealthy, and the reason for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectiveSize {
    /// Number of engines.
    pub size: usize,
    /// The rule that determined `size`.
    pub reason: SizeReason,
}

impl EffectiveSize {
    /// Computes the size for a list with `engines` ready engines.
    pub fn new(settings: &SubsetSettings, engines: usize) -> Self {
        let least = (MIN_HOLDERS * engines as f64 / settings.gateways).ceil() as usize;
        let size = settings.size.max(least);
        if size >= engines {
            EffectiveSize {
                size: engines,
                reason: SizeReason::WholeList,
            }
        } else if least > settings.size {
            EffectiveSize {
                size,
                reason: SizeReason::MinHolders,
            }
        } else {
            EffectiveSize {
                size,
                reason: SizeReason::Configured,
            }
        }
    }

    /// Returns the minimum number of members that a subset keeps while the list has enough ready engines.
    pub fn floor(self) -> usize {
        floor_of(self.size)
    }
}

/// Returns the floor of a subset or of a placement class of this size.
pub(crate) fn floor_of(size: usize) -> usize {
    (size as f64 * FLOOR_FRACTION).ceil() as usize
}
