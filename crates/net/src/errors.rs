//! Errors of sockets.

use snafu::Snafu;
use std::net::SocketAddr;

/// `Error` is why a socket could not be set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listening socket could not be bound.
    #[snafu(display("listening on {address}: {source}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

/// Result of setting a socket up.
pub type Result<T> = std::result::Result<T, Error>;
