//! Errors of peer links.

use snafu::Snafu;

/// `Error` is the reason why a link ended.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The socket or the WebSocket failed.
    #[snafu(display("link failed: {cause}"))]
    Link {
        /// Message of the underlying error.
        cause: String,
    },
    /// An operation on the link did not complete in time, or no acknowledgement arrived in time.
    #[snafu(display("link timed out after {millis} ms"))]
    Timeout {
        /// Timeout in milliseconds.
        millis: u128,
    },
    /// A message could not be encoded or decoded.
    #[snafu(display("invalid message: {cause}"))]
    Message {
        /// Message of the underlying error.
        cause: String,
    },
    /// The peer did not prove knowledge of the fleet secret.
    #[snafu(display("peer failed to prove the fleet secret"))]
    InvalidProof,
    /// The host that answered is not the dialled one.
    #[snafu(display("another host answered at the peer's address"))]
    WrongHost,
    /// The link was closed, the peer was removed, or a newer incarnation of the peer is known.
    #[snafu(display("link closed"))]
    Closed,
}

/// Result of a link operation.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an [`Error::Link`].
    pub fn link(cause: impl ToString) -> Self {
        Self::Link {
            cause: cause.to_string(),
        }
    }

    /// Creates an [`Error::Message`].
    pub fn message(cause: impl ToString) -> Self {
        Self::Message {
            cause: cause.to_string(),
        }
    }
}
