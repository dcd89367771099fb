//! Errors of listening sockets and of served connections.

use snafu::Snafu;
use std::net::SocketAddr;

/// `Error` is the reason why a socket could not be bound, or why a connection ended before a response.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listening socket could not be bound.
    #[snafu(display("listening on {address}: {source}"))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The task of a pipelined request ended without a response, because it panicked.
    #[snafu(display("the task of a pipelined request ended without a response"))]
    Unanswered,
}

/// `Result` has this module's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `BodyTooLarge` is the error of reading a body whose chunks exceed the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the announced chunks exceed the limit on bodies"))]
pub struct BodyTooLarge;
