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
