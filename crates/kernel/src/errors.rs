//! Errors of the kernel.

use snafu::Snafu;

/// `Error` is what can go wrong when services look for each other.
#[derive(Debug, Snafu, PartialEq)]
pub enum Error {
    /// No service has the name.
    #[snafu(display("no service is registered as `{name}`"))]
    Missing {
        /// Name looked for.
        name: String,
    },
    /// The service of that name has another type.
    #[snafu(display("service `{name}` is not a `{expected}`"))]
    WrongType {
        /// Name looked for.
        name: String,
        /// Type looked for.
        expected: String,
    },
    /// The name is taken.
    #[snafu(display("a service is already registered as `{name}`"))]
    Taken {
        /// Name in question.
        name: String,
    },
}

/// Result of the kernel's operations.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates the error of an absent service.
    pub fn missing(name: &str) -> Self {
        Self::Missing {
            name: name.to_owned(),
        }
    }

    /// Creates the error of a service of another type.
    pub fn wrong_type<T>(name: &str) -> Self {
        Self::WrongType {
            name: name.to_owned(),
            expected: std::any::type_name::<T>().to_owned(),
        }
    }

    /// Creates the error of a name that is in use.
    pub fn taken(name: &str) -> Self {
        Self::Taken {
            name: name.to_owned(),
        }
    }
}
