//! Proof of the fleet secret: HMAC-SHA-256 over the other side's nonce.

use fighall_core::secret::SecretText;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of randomness in a nonce.
const NONCE_BYTES: usize = 16;

/// Creates a random nonce, in hexadecimal, for the other side's proof.
///
/// # Errors
///
/// Returns an error if `/dev/urandom` cannot be read.
pub fn new_nonce() -> std::io::Result<String> {
    use std::io::Read;
    let mut bytes = [0_u8; NONCE_BYTES];
    std::fs::File::open("/dev/urandom")?.read_exact(&mut bytes)?;
    Ok(hex::encode(bytes))
}

/// Computes the proof of `host` over the other side's nonce. `role` separates the two sides, so that the
/// proof of one side cannot be replayed as that of the other.
pub fn compute_proof(secret: &SecretText, role: &str, nonce: &str, host: &str) -> String {
    hex::encode(mac(secret, role, nonce, host).finalize().into_bytes())
}

/// Verifies a proof in constant time.
pub fn verify(secret: &SecretText, role: &str, nonce: &str, host: &str, proof: &str) -> bool {
    let Ok(bytes) = hex::decode(proof) else {
        return false;
    };
    mac(secret, role, nonce, host).verify_slice(&bytes).is_ok()
}

fn mac(secret: &SecretText, role: &str, nonce: &str, host: &str) -> Hmac<Sha256> {
    let key = secret.reveal().as_bytes();
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key)
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    for part in [role, nonce, host] {
        mac.update(part.as_bytes());
        mac.update(&[0]);
    }
    mac
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn proof_is_valid_only_for_the_same_secret_role_and_host() {
        let secret = SecretText::new("s3cret".to_owned());
        let other = SecretText::new("other".to_owned());
        let text = compute_proof(&secret, "dial", "n", "h1");
        assert!(verify(&secret, "dial", "n", "h1", &text));
        assert!(!verify(&other, "dial", "n", "h1", &text));
        assert!(!verify(&secret, "accept", "n", "h1", &text));
        assert!(!verify(&secret, "dial", "n", "h2", &text));
        assert!(!verify(&secret, "dial", "n", "h1", "zz"));
    }
}
