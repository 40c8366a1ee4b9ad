//! A measured or derived value of a run, as it is printed and written to the results file.

use serde::Serialize;

/// A measured or derived value.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// Subject of the figure: `run`, `gateway`, or the name of the swept quantity.
    #[serde(rename = "of")]
    pub subject: String,
    /// Number of the gateway, or value of the swept quantity; 0 for `run`.
    #[serde(rename = "at")]
    pub position: f64,
    pub name: String,
    pub value: f64,
}

impl Figure {
    pub fn new(subject: &str, position: f64, name: &str, value: f64) -> Figure {
        Figure {
            subject: subject.into(),
            position,
            name: name.into(),
            value,
        }
    }
}
