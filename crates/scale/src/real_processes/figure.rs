//! One figure of a run, as it is printed and written.

use serde::Serialize;

/// One figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// What it belongs to: `run`, `gateway`, or the quantity that was swept.
    #[serde(rename = "of")]
    pub subject: String,
    /// The gateway's number, or the swept quantity's value.
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
