//! Errors of the store client.

use snafu::Snafu;

/// `Error` is the reason why a store call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The store did not respond in time. A write may have taken effect.
    #[snafu(display("the store did not respond within {millis} ms"))]
    Timeout {
        /// Timeout in milliseconds.
        millis: u128,
    },
    /// The HTTP exchange failed. A write may have taken effect.
    #[snafu(display("HTTP exchange with the store failed: {cause}"))]
    Exchange {
        /// Message of the underlying error.
        cause: String,
    },
    /// The store responded with an unexpected status.
    #[snafu(display("the store responded with unexpected status {status}"))]
    Status {
        /// HTTP status code.
        status: u16,
    },
    /// The response could not be decoded.
    #[snafu(display("invalid response from the store: {cause}"))]
    InvalidResponse {
        /// Message of the underlying error.
        cause: String,
    },
    /// The response belongs to an era that has ended. A write was lost.
    #[snafu(display("store era {era} has ended"))]
    Outdated {
        /// Era of the response or of the version that the call depends on.
        era: u64,
    },
    /// The value exceeds the size limit.
    #[snafu(display("value of {bytes} bytes exceeds the store's limit of {limit} bytes"))]
    TooLarge {
        /// Size of the value in bytes.
        bytes: usize,
        /// Size limit in bytes.
        limit: usize,
    },
    /// The rate limit would delay the call beyond its timeout.
    #[snafu(display("rate limit of store calls exceeded"))]
    Budget,
}

/// Result of a store call.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an [`Error::Exchange`].
    pub fn exchange(cause: impl ToString) -> Self {
        Self::Exchange {
            cause: cause.to_string(),
        }
    }

    /// Creates an [`Error::InvalidResponse`].
    pub fn invalid_response(cause: impl ToString) -> Self {
        Self::InvalidResponse {
            cause: cause.to_string(),
        }
    }

    /// Returns whether a write that failed with this error may have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        match self {
            Self::Timeout { .. } | Self::Exchange { .. } | Self::InvalidResponse { .. } => true,
            Self::Status { status } => *status >= 500,
            Self::Outdated { .. } | Self::TooLarge { .. } | Self::Budget => false,
        }
    }
}
