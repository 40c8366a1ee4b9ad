//! Decides how many engines a gateway holds.

use crate::settings::SubsetSettings;

/// The least number of gateways that hold an engine on average. The probability that none holds it is then `exp(-24)`, and
/// the engines of one gateway carry 24 times a gateway's mean traffic.
pub const MIN_HOLDERS: f64 = 24.0;

/// The subset's floor as a fraction of its size: below it engines join at once, untried.
const FLOOR_FRACTION: f64 = 0.5;

/// Why a subset has its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeReason {
    /// It is the configured one.
    Configured,
    /// Fewer would leave engines with less than [`MIN_HOLDERS`] gateways.
    MinHolders,
    /// The list has no more engines.
    WholeList,
}

/// How many engines a gateway holds while none fails, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectiveSize {
    /// The number of engines.
    pub size: usize,
    /// Why it is this number.
    pub reason: SizeReason,
}

impl EffectiveSize {
    /// The size by the settings, for a list with this number of engines that take new work.
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

    /// The number of members under which a subset does not fall while the list has them.
    pub fn floor(self) -> usize {
        floor_of(self.size)
    }
}

/// The floor of a subset, or of a placement class, of this size.
pub(crate) fn floor_of(size: usize) -> usize {
    (size as f64 * FLOOR_FRACTION).ceil() as usize
}
