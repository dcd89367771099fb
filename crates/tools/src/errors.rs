//! Errors of the tools.

use crate::codes;
use snafu::Snafu;

/// `Error` is why a tool could not do what was asked.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file failed.
    #[snafu(display("{path}: {source}"))]
    File {
        /// Path.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The configuration could not be read or published.
    #[snafu(display("{source}"), context(false))]
    Config {
        /// Cause.
        source: fighall_config::errors::Error,
    },
    /// The store gave no usable answer.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Cause.
        source: fighall_store::errors::Error,
    },
    /// A host gave no usable answer.
    #[snafu(display("host {host}: {cause}"))]
    Host {
        /// Host or address.
        host: String,
        /// Cause as text.
        cause: String,
    },
    /// What was asked for does not exist.
    #[snafu(display("{what}"))]
    NotFound {
        /// What is missing.
        what: String,
    },
    /// Another operator came first.
    #[snafu(display("{what}"))]
    Conflict {
        /// What stands in the way.
        what: String,
    },
    /// A wait ended early.
    #[snafu(display("{what}"))]
    NotYet {
        /// What is not yet so.
        what: String,
    },
    /// The quick start's deployment failed.
    #[snafu(display("{source}"), context(false))]
    Cluster {
        /// Cause.
        source: fighall_testkit::cluster::ClusterError,
    },
}

/// Result of the tools' operations.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates the error of something that does not exist.
    pub fn not_found(what: impl Into<String>) -> Self {
        Self::NotFound { what: what.into() }
    }

    /// Creates the error of a host.
    pub fn host(host: &str, cause: impl ToString) -> Self {
        Self::Host {
            host: host.to_owned(),
            cause: cause.to_string(),
        }
    }

    /// Gets the exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::NotFound { .. } => codes::FINDINGS,
            Self::Config { source } => match source {
                fighall_config::errors::Error::Conflict { .. } => codes::CONFLICT,
                fighall_config::errors::Error::Findings { .. } => codes::FINDINGS,
                _ => codes::UNAVAILABLE,
            },
            Self::Conflict { .. } => codes::CONFLICT,
            Self::NotYet { .. } => codes::NOT_YET,
            Self::Store { .. } | Self::Host { .. } | Self::Cluster { .. } => codes::UNAVAILABLE,
        }
    }
}
