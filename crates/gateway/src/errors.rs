//! Errors of the gateway.

use fighall_core::finding::FindingList;
use snafu::Snafu;

/// `Error` is an error that prevents the gateway from starting.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings are invalid.
    #[snafu(display("{findings}"))]
    Settings {
        /// All findings, with their positions in the file.
        findings: FindingList,
    },
    /// An I/O operation failed.
    #[snafu(display("{operation}: {source}"))]
    Io {
        /// Operation and the file or address it concerned.
        operation: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A listening socket could not be bound.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Cause.
        source: fighall_net::errors::Error,
    },
    /// The store client could not be created.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Cause.
        source: fighall_store::errors::Error,
    },
    /// A service could not be registered, or was not found, in the kernel.
    #[snafu(display("{source}"), context(false))]
    Kernel {
        /// Cause.
        source: fighall_kernel::errors::Error,
    },
    /// The metrics could not be registered.
    #[snafu(display("metrics: {source}"), context(false))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
}

/// `Result` is a result with this module's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Wraps an I/O error with a description of the operation.
    pub fn io(operation: impl Into<String>, source: std::io::Error) -> Self {
        Self::Io {
            operation: operation.into(),
            source,
        }
    }
}

impl From<FindingList> for Error {
    fn from(findings: FindingList) -> Self {
        Self::Settings { findings }
    }
}
