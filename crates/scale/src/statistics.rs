//! Quantiles of values in ascending order.

/// Returns the nearest-rank quantile: the smallest value such that at least `share` (0 to 1) of all values are less
/// than or equal to it; 0 if there are no values.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (share * sorted.len() as f64).ceil() as usize;
    let index = rank.saturating_sub(1).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0.0)
}

/// Returns the median, which is the mean of the two middle values if their number is even; 0 if there are no values.
pub fn median(sorted: &[f64]) -> f64 {
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => 0.0,
        count if count % 2 == 1 => sorted[middle],
        _ => (sorted[middle - 1] + sorted[middle]) / 2.0,
    }
}

#[cfg(test)]
mod tests;
