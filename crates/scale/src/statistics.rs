//! Quantiles of values that are sorted in ascending order.

/// The smallest value that so large a share of the values does not exceed (nearest rank); 0 if there are none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (share * sorted.len() as f64).ceil() as usize;
    let index = rank.saturating_sub(1).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0.0)
}

/// The middle value, or the mean of the two middle ones; 0 if there are none.
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
