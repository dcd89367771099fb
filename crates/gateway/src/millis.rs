//! Serde encoding of a [`Duration`] as whole milliseconds, for `#[serde(with = "millis")]`.

use serde::{Deserialize, Deserializer, Serializer};
use std::time::Duration;

/// Serializes a duration as an integer number of milliseconds.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// Deserializes a duration from an integer number of milliseconds.
///
/// # Errors
///
/// Returns the deserializer's error.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    Ok(Duration::from_millis(u64::deserialize(deserializer)?))
}
