//! From where on a number counts as none.

/// Loads and weights up to this count as none, and none is divided by.
pub(super) const MIN_DIVISOR: f64 = 1e-9;
