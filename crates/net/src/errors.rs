//! Errors of sockets and of what is served over them.

use snafu::Snafu;
use std::net::SocketAddr;

/// `Error` is why a socket could not be set up, or a connection ended early.
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
    /// A request that was started early ended without an answer.
    #[snafu(display("a request that was started early ended without an answer"))]
    Unanswered,
}

/// Result of what may fail so.
pub type Result<T> = std::result::Result<T, Error>;
