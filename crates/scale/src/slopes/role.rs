//! Interface of the roles, the parts of the program that can be measured at any size.

use super::measurement::{Measured, Point};
use thiserror::Error;

/// Failure to measure a point.
#[derive(Debug, Error)]
pub enum RoleError {
    #[error("can't read this process's resource usage: {0}; run on a system with /proc")]
    Process(#[from] std::io::Error),
    #[error("role failed on its own data: {0}; this is a fault of the role")]
    Data(String),
    #[error("subset settings can't be used: {0}")]
    Subset(#[from] garnetwall_subset::SubsetError),
}

/// A part of the program that can be measured at any size.
pub trait Role {
    /// Measures one point. Called once per process.
    ///
    /// # Errors
    ///
    /// The process can't be measured, or the quantities can't be simulated.
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError>;
}
