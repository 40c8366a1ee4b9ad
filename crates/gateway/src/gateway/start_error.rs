//! Defines the errors that prevent a gateway from starting.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A failed start of a gateway: the step that failed, with its cause. [`Gateway::run`](super::Gateway::run) returns it.
#[derive(Debug, Error)]
pub enum StartError {
    /// The journal that the plan names cannot be opened. The error text contains the journal's path.
    #[error("could not start: cannot open the query journal: {0}")]
    Journal(#[source] io::Error),
    /// The body store that the plan configures cannot be created. The error text contains the spool file's path.
    #[error("could not start: cannot create the body store: {0}")]
    BodyStore(#[source] io::Error),
    /// The gateway cannot bind or listen on its address for clients.
    #[error("could not start: cannot listen on {address}: {error}")]
    Listener {
        /// The address from the configuration, or from `PROXY_LISTEN`.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        error: io::Error,
    },
}
