//! Errors of the daemon.

use fighall_core::finding::FindingList;
use snafu::Snafu;

/// `Error` is why the daemon could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings have findings.
    #[snafu(display("{findings}"))]
    Settings {
        /// All of them.
        findings: FindingList,
    },
    /// A listening socket failed.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Cause.
        source: fighall_net::errors::Error,
    },
    /// A file or socket failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was done.
        what: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Services could not find each other.
    #[snafu(display("{source}"), context(false))]
    Kernel {
        /// Cause.
        source: fighall_kernel::errors::Error,
    },
    /// The store's client could not be set up.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Cause.
        source: fighall_store::errors::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("metrics: {source}"), context(false))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
}

/// Result of the daemon's start.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Wraps an I/O error with what was done.
    pub fn io(what: impl Into<String>, source: std::io::Error) -> Self {
        Self::Io {
            what: what.into(),
            source,
        }
    }
}

impl From<FindingList> for Error {
    fn from(findings: FindingList) -> Self {
        Self::Settings { findings }
    }
}
