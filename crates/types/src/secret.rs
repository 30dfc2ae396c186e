//! Keys of callers and operators, stored as SHA-256 digests and compared in constant time.

use derive_more::{Debug, Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The SHA-256 digest of a secret key, written as 64 hexadecimal digits.
///
/// ```
/// use kumquatkeel_types::secret::KeyDigest;
///
/// let digest = KeyDigest::of_key("opensesame");
/// assert!(digest.matches("opensesame"));
/// assert!(!digest.matches("guess"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[debug("KeyDigest(hidden)")]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

/// The error for a string that is not a digest of 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("must be a SHA-256 digest of 64 hexadecimal digits")]
pub struct KeyDigestError;

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of_key(key: impl AsRef<[u8]>) -> Self {
        Self(Sha256::digest(key.as_ref()).into())
    }

    /// Returns whether `key` has this digest, comparing in constant time.
    pub fn matches(&self, key: impl AsRef<[u8]>) -> bool {
        self.0.ct_eq(&Self::of_key(key).0).into()
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = KeyDigestError;

    fn try_from(text: String) -> Result<Self, KeyDigestError> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(KeyDigestError);
        }
        let mut digest = [0; 32];
        for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| KeyDigestError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| KeyDigestError)?;
        }
        Ok(Self(digest))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        use std::fmt::Write;
        digest
            .0
            .iter()
            .fold(Self::with_capacity(64), |mut text, byte| {
                let _ = write!(text, "{byte:02x}");
                text
            })
    }
}
