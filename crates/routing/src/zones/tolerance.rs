//! Defines the tolerance of floating-point calculations with loads and weights.

/// Loads and weights up to this value count as 0. Also the lower bound of divisors.
pub(super) const MIN_DIVISOR: f64 = 1e-9;
