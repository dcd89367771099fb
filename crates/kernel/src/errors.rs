//! Errors of the service registry.

use snafu::Snafu;

/// `Error` is the reason why a service could not be registered or looked up.
#[derive(Debug, Snafu, PartialEq)]
pub enum Error {
    /// No service is registered under the name.
    #[snafu(display("no service is registered as `{name}`"))]
    NotRegistered {
        /// Name that was looked up.
        name: String,
    },
    /// The service registered under the name has another type.
    #[snafu(display("service `{name}` is not of type `{expected}`"))]
    WrongType {
        /// Name that was looked up.
        name: String,
        /// Type that was requested.
        expected: String,
    },
    /// The name is already in use.
    #[snafu(display("a service is already registered as `{name}`"))]
    AlreadyRegistered {
        /// Name of the service.
        name: String,
    },
}

/// Result of a registry operation.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an [`Error::NotRegistered`].
    pub fn not_registered(name: &str) -> Self {
        Self::NotRegistered {
            name: name.to_owned(),
        }
    }

    /// Creates an [`Error::WrongType`] for the requested type `T`.
    pub fn wrong_type<T>(name: &str) -> Self {
        Self::WrongType {
            name: name.to_owned(),
            expected: std::any::type_name::<T>().to_owned(),
        }
    }

    /// Creates an [`Error::AlreadyRegistered`].
    pub fn already_registered(name: &str) -> Self {
        Self::AlreadyRegistered {
            name: name.to_owned(),
        }
    }
}
