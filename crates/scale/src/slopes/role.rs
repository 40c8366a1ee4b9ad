//! A part of the program that can be measured at any size.

use super::measurement::{Measured, Point};
use thiserror::Error;

/// Why a point could not be measured.
#[derive(Debug, Error)]
pub enum RoleError {
    #[error("what the process uses: {0}; run on a system with /proc")]
    Process(#[from] std::io::Error),
    #[error("a role's own data can't be read back: {0}; this is a fault of the role")]
    Data(String),
    #[error("subset: {0}")]
    Subset(#[from] garnetwall_subset::SubsetError),
}

/// A part of the program that can be measured at any size.
pub trait Role {
    /// Measures one point, in a process of its own.
    ///
    /// # Errors
    ///
    /// Where the process can't be measured or the quantities can't be simulated.
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError>;
}
