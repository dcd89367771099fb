//! Errors of the service registry.

use snafu::Snafu;

/// `Error` is the reason why a service could not be registered or looked up.
#[derive(Debug, Snafu, PartialEq)]
pub enum Error {
    /// No service is registered under the name.
    #[snafu(display("no service is registered as `{name}`"))]
    Missing {
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
    Taken {
        /// Name of the service.
        name: String,
    },
}

/// Result of a registry operation.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an [`Error::Missing`].
    pub fn missing(name: &str) -> Self {
        Self::Missing {
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

    /// Creates an [`Error::Taken`].
    pub fn taken(name: &str) -> Self {
        Self::Taken {
            name: name.to_owned(),
        }
    }
}
