//! Errors of configuration.

use fighall_core::{finding::FindingList, ids::Generation};
use snafu::Snafu;

/// `Error` is why a configuration was not published or not taken.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The documents have findings.
    #[snafu(display("{findings}"))]
    Findings {
        /// All of them.
        findings: FindingList,
    },
    /// Another publication came first.
    #[snafu(display(
        "another publication is in force: generation {current} instead of {expected}; it changed {changed}"
    ))]
    Conflict {
        /// Generation this publication was based on.
        expected: Generation,
        /// Generation in force.
        current: Generation,
        /// What differs, as a list of documents.
        changed: String,
    },
    /// The store gave no usable answer.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Cause.
        source: fighall_store::errors::Error,
    },
    /// An object of the store cannot be read.
    #[snafu(display("object {name} cannot be read: {cause}"))]
    Object {
        /// Name of the object.
        name: String,
        /// Cause as text.
        cause: String,
    },
    /// A document does not have the digest by which it was asked for.
    #[snafu(display("document {digest} has other content"))]
    Digest {
        /// Digest asked for.
        digest: String,
    },
}

/// Result of configuration's operations.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates the error of an unreadable object.
    pub fn object(name: &str, cause: impl ToString) -> Self {
        Self::Object {
            name: name.to_owned(),
            cause: cause.to_string(),
        }
    }
}

impl From<FindingList> for Error {
    fn from(findings: FindingList) -> Self {
        Self::Findings { findings }
    }
}
