//! Macros for the common sets of derives.

/// Derives the set of a message: cloned, compared, printed and serialized.
#[macro_export]
macro_rules! message {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $($item)*
    };
}

/// Derives the set of a plain value: cloned, compared and printed.
#[macro_export]
macro_rules! value {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq)]
        $($item)*
    };
}

/// Derives the set of a small tag: copied, ordered, printed and serialized.
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
