//! The result of one check of the judge: its figures, and whether they passed.

use serde::Serialize;
use std::collections::BTreeMap;

/// The result of one check, as printed and as written to the results file.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    pub name: &'static str,
    /// `None` if the experiment sets no limit for the check.
    pub passed: Option<bool>,
    /// The figures as text.
    pub figure: String,
    /// The figures by name, for programs that read the results.
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

    /// Creates a finding that neither passes nor fails.
    pub fn unjudged(name: &'static str, figure: String, values: &[(&'static str, f64)]) -> Finding {
        Finding {
            name,
            passed: None,
            figure,
            values: values.iter().copied().collect(),
        }
    }
}
