//! One thing that the judge saw: its figure, and whether it passed.

use serde::Serialize;
use std::collections::BTreeMap;

/// One judged figure.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    pub name: &'static str,
    /// `None` for a figure that this experiment does not judge.
    pub passed: Option<bool>,
    pub figure: String,
    pub values: BTreeMap<&'static str, f64>,
}

impl Finding {
    pub fn new(
        name: &'static str,
        passed: bool,
        figure: String,
        values: &[(&'static str, f64)],
    ) -> Finding {
        Finding {
            name,
            passed: Some(passed),
            figure,
            values: values.iter().copied().collect(),
        }
    }

    /// A figure that is not judged.
    pub fn unjudged(name: &'static str, figure: String, values: &[(&'static str, f64)]) -> Finding {
        Finding {
            name,
            passed: None,
            figure,
            values: values.iter().copied().collect(),
        }
    }
}

/// The value at a share of sorted values; 0 if there are none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let place = (share * sorted.len() as f64).ceil() as usize;
    sorted
        .get(place.saturating_sub(1).min(last))
        .copied()
        .unwrap_or(0.0)
}
