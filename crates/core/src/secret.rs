//! API keys, their digests, and secret text that is not printed.

use crate::value;
use sha2::{Digest, Sha256};
use std::fmt;

/// Hexadecimal SHA-256 digest of an API key. Only digests of keys are stored and sent, not the keys.
pub type KeyDigest = String;

/// Gets the digest of an API key.
pub fn key_digest(key: &str) -> KeyDigest {
    content_digest(key.as_bytes())
}

/// Gets the hexadecimal SHA-256 digest of bytes.
pub fn content_digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Number of random bytes in a new key.
const RANDOM_KEY_BYTES: usize = 24;
/// Prefix that makes keys recognizable to people.
const KEY_PREFIX: &str = "fk_";

/// Creates a new API key from random bytes of `/dev/urandom`.
///
/// # Errors
///
/// Returns the error of reading `/dev/urandom`.
pub fn new_key() -> std::io::Result<String> {
    use std::io::Read;
    let mut bytes = [0_u8; RANDOM_KEY_BYTES];
    std::fs::File::open("/dev/urandom")?.read_exact(&mut bytes)?;
    Ok(format!("{KEY_PREFIX}{}", hex::encode(bytes)))
}

value! {
    /// `SecretText` holds a secret; its `Debug` output shows `***` instead.
    #[derive(Eq)]
    #[allow(missing_debug_implementations)]
    pub struct SecretText(RedactedText);
}

#[derive(Clone, PartialEq, Eq)]
struct RedactedText(String);

impl fmt::Debug for RedactedText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

impl SecretText {
    /// Wraps a secret.
    pub fn new(text: String) -> Self {
        Self(RedactedText(text))
    }

    /// Gets the secret itself, to send it or to compute a proof from it.
    pub fn reveal(&self) -> &str {
        &self.0.0
    }

    /// Compares the digests of the secret and of `other`, so that timing reveals nothing about the
    /// secret.
    pub fn matches(&self, other: &str) -> bool {
        content_digest(self.reveal().as_bytes()) == content_digest(other.as_bytes())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn debug_output_hides_the_secret() {
        let secret = SecretText::new("hunter2".to_owned());
        assert!(!format!("{secret:?}").contains("hunter2"));
        assert!(secret.matches("hunter2"));
        assert!(!secret.matches("hunter3"));
    }

    #[test]
    fn new_keys_are_unique() {
        assert_ne!(new_key().unwrap(), new_key().unwrap());
    }
}
