//! Secrets: digests of keys, and text that is never printed.

use crate::value;
use sha2::{Digest, Sha256};
use std::fmt;

/// Hexadecimal SHA-256 digest of a key. Digests are all that is stored or sent.
pub type KeyDigest = String;

/// Gets the digest of a key that a caller presents.
pub fn key_digest(key: &str) -> KeyDigest {
    content_digest(key.as_bytes())
}

/// Gets the hexadecimal SHA-256 digest of bytes.
pub fn content_digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Length of an issued key in bytes of randomness.
const KEY_BYTES: usize = 24;
/// Prefix by which people recognize a key.
const KEY_PREFIX: &str = "fk_";

/// Creates a new key from the operating system's randomness, mixed by SHA-256.
///
/// # Errors
///
/// Returns the error of reading the source of randomness.
pub fn new_key() -> std::io::Result<String> {
    use std::io::Read;
    let mut bytes = [0_u8; KEY_BYTES];
    std::fs::File::open("/dev/urandom")?.read_exact(&mut bytes)?;
    Ok(format!("{KEY_PREFIX}{}", hex::encode(bytes)))
}

value! {
    /// `SecretText` holds a secret and prints as `***`.
    #[derive(Eq)]
    #[allow(missing_debug_implementations)]
    pub struct SecretText(HiddenText);
}

#[derive(Clone, PartialEq, Eq)]
struct HiddenText(String);

impl fmt::Debug for HiddenText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

impl SecretText {
    /// Wraps a secret.
    pub fn new(text: String) -> Self {
        Self(HiddenText(text))
    }

    /// Gets the secret itself, for the one place that needs it.
    pub fn reveal(&self) -> &str {
        &self.0.0
    }

    /// Compares with `other` through digests, so that the time taken tells nothing of the text.
    pub fn matches(&self, other: &str) -> bool {
        content_digest(self.reveal().as_bytes()) == content_digest(other.as_bytes())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_secret_never_prints() {
        let secret = SecretText::new("hunter2".to_owned());
        assert!(!format!("{secret:?}").contains("hunter2"));
        assert!(secret.matches("hunter2"));
        assert!(!secret.matches("hunter3"));
    }

    #[test]
    fn keys_differ() {
        assert_ne!(new_key().unwrap(), new_key().unwrap());
    }
}
