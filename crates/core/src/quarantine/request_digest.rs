//! The identity of a request that comes again.

use derive_more::Display;
use xxhash_rust::xxh3::Xxh3;

/// Identifies a request by its content, whichever entry it comes to and however often.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::quarantine::RequestDigest;
///
/// let digest = RequestDigest::of([b"GET".as_slice(), b"/status/7", b""]);
/// assert_eq!(digest, RequestDigest::of([b"GET".as_slice(), b"/status/7", b""]));
/// assert_ne!(digest, RequestDigest::of([b"GET".as_slice(), b"/status/", b"7"]));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0:032x}")]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Returns the digest of the fields that make up a request's identity, such as its method, path,
    /// caller and body.
    pub fn of<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Xxh3::new();
        for field in fields {
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        Self(hash.digest128())
    }

    /// Reads a digest as it is displayed.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = digits.then(|| u128::from_str_radix(text, 16).ok());
        value.flatten().map(Self)
    }
}
