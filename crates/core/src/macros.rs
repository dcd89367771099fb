//! Macros that add common sets of derives.

/// Adds the derives of a message: `Clone`, `Debug`, `PartialEq` and serialization.
#[macro_export]
macro_rules! message {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $($item)*
    };
}

/// Adds the derives of a plain value: `Clone`, `Debug` and `PartialEq`.
#[macro_export]
macro_rules! value {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq)]
        $($item)*
    };
}

/// Adds the derives of a small enum: those of a message, `Copy`, `Eq` and ordering. Variants are
/// serialized in snake case.
#[macro_export]
macro_rules! tag {
    ($($item:tt)*) => {
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ::serde::Serialize,
            ::serde::Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        $($item)*
    };
}
