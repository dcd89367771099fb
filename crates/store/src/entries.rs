//! Decoding of a response whose entries are independent of each other: one that cannot be decoded leaves the others.

use crate::errors::{Error, Result};
use fighall_core::value;
use serde::{
    Deserialize, Deserializer,
    de::{DeserializeOwned, Error as DecodeError, Visitor},
};
use serde_json::value::RawValue;
use std::{borrow::Cow, fmt};

/// Text of an entry that has not been decoded yet.
pub type RawEntry = Box<RawValue>;

value! {
    /// `EntryName` is the name of an entry, which JSON may hold with unpaired surrogates.
    pub struct EntryName {
        /// The name, with unpaired surrogates replaced by [`char::REPLACEMENT_CHARACTER`].
        pub text: String,
        /// Whether nothing had to be replaced.
        pub is_exact: bool,
    }
}

impl<'de> Deserialize<'de> for EntryName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_bytes(NameVisitor)
    }
}

struct NameVisitor;

impl Visitor<'_> for NameVisitor {
    type Value = EntryName;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text")
    }

    fn visit_bytes<E: DecodeError>(self, bytes: &[u8]) -> std::result::Result<EntryName, E> {
        let text = String::from_utf8_lossy(bytes);
        Ok(EntryName {
            is_exact: matches!(text, Cow::Borrowed(_)),
            text: text.into_owned(),
        })
    }
}

/// Decodes a response. Bytes that are not allowed are replaced by [`char::REPLACEMENT_CHARACTER`], so that only the entry
/// that contains them may fail to decode.
///
/// # Errors
///
/// Returns an error if the response has another format.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    let text = String::from_utf8_lossy(body);
    let decoded = serde_json::from_str(&text);
    let decoded = decoded.or_else(|_| serde_json::from_str(&replace_control_characters(&text)));
    decoded.map_err(Error::invalid_response)
}

// JSON allows control characters as white space between values only.
fn replace_control_characters(text: &str) -> String {
    let replace = |character| match character {
        '\t' | '\n' | '\r' => ' ',
        '\0'..='\x1f' => char::REPLACEMENT_CHARACTER,
        other => other,
    };
    text.chars().map(replace).collect()
}

/// Decodes each entry by `decode_entry`. Returns those that could be decoded, and a finding with the position of each
/// other one, from 0.
pub fn decode_each<T>(
    entries: &[RawEntry],
    decode_entry: impl Fn(&str) -> serde_json::Result<T>,
) -> (Vec<T>, Vec<String>) {
    let mut decoded = Vec::new();
    let mut findings = Vec::new();
    for (position, entry) in entries.iter().enumerate() {
        match decode_entry(entry.get()) {
            Ok(entry) => decoded.push(entry),
            Err(error) => findings.push(format!("entry {position}: {error}")),
        }
    }
    (decoded, findings)
}

/// Decodes a field; `None` if it is of another type, so that the other fields can still be decoded.
///
/// # Errors
///
/// Returns the error of a text that is not JSON.
pub fn deserialize_lenient<'de, D, T>(deserializer: D) -> std::result::Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned,
{
    let text = RawEntry::deserialize(deserializer)?;
    Ok(serde_json::from_str(text.get()).ok())
}
