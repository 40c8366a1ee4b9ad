//! Why a gateway could not start.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The step of the start that failed, with its error.
#[derive(Debug, Error)]
pub enum StartError {
    /// The journal that the plan names can't be opened; the error names its path.
    #[error("could not start: journal: {0}")]
    Journal(#[source] io::Error),
    /// The body store that the plan asks for can't be created; the error names its path.
    #[error("could not start: body store: {0}")]
    BodyStore(#[source] io::Error),
    /// The gateway can't listen for clients.
    #[error("could not start: listener on {address}: {error}")]
    Listener {
        /// The configured address.
        address: SocketAddr,
        /// Why it can't be listened on.
        #[source]
        error: io::Error,
    },
}
