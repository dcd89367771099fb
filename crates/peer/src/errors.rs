//! Errors of links.

use snafu::Snafu;

/// `Error` is why a link ended.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The socket or the WebSocket failed.
    #[snafu(display("the link failed: {cause}"))]
    Link {
        /// Cause as text.
        cause: String,
    },
    /// Nothing came within the bound.
    #[snafu(display("the link was silent for {millis} ms"))]
    Silent {
        /// Bound in milliseconds.
        millis: u128,
    },
    /// A message cannot be read.
    #[snafu(display("a message cannot be read: {cause}"))]
    Message {
        /// Cause as text.
        cause: String,
    },
    /// The other side does not know the fleet's secret.
    #[snafu(display("the other side did not prove the fleet's secret"))]
    Proof,
    /// The other side sent something else than the protocol asks for here.
    #[snafu(display("unexpected message"))]
    Unexpected,
    /// This process or the peer's entry ended.
    #[snafu(display("the link is no longer wanted"))]
    Closed,
}

/// Result of a link's operations.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates the error of a failed link.
    pub fn link(cause: impl ToString) -> Self {
        Self::Link {
            cause: cause.to_string(),
        }
    }

    /// Creates the error of an unreadable message.
    pub fn message(cause: impl ToString) -> Self {
        Self::Message {
            cause: cause.to_string(),
        }
    }
}
