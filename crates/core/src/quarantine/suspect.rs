//! What a crash may be blamed on.

use std::sync::Arc;

use derive_more::Display;
use kumquatkeel_types::digest::hash_bytes;
use serde::{Deserialize, Serialize};

use super::request_digest::RequestDigest;

/// Longest name that is kept as it is, in bytes.
const MAX_NAME_BYTES: usize = 48;
/// Prefix that tells requests from parts in text.
const REQUEST_PREFIX: &str = "request:";

/// What a crash may be blamed on: a part of the prompt, which requests share, or a whole request,
/// which may come again.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::quarantine::{RequestDigest, Suspect};
///
/// assert_eq!(Suspect::part("5c1e07a2").to_string(), "5c1e07a2");
/// assert_eq!(Suspect::part("x".repeat(1_000)).to_string().len(), 17);
/// let request = Suspect::Request(RequestDigest::of([b"GET".as_slice()]));
/// assert_eq!(Suspect::parse(&request.to_string()), request);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(from = "Arc<str>", into = "Arc<str>")]
pub enum Suspect {
    /// A part of a prompt: the name that callers give it, or a hash of a long name.
    #[display("{_0}")]
    Part(Arc<str>),
    /// A request.
    #[display("{REQUEST_PREFIX}{_0}")]
    Request(RequestDigest),
}

impl Suspect {
    /// Returns the part of a prompt with this name.
    pub fn part(name: impl AsRef<str>) -> Self {
        let name = name.as_ref();
        if name.len() <= MAX_NAME_BYTES && !name.starts_with(REQUEST_PREFIX) {
            return Self::Part(Arc::from(name));
        }
        Self::Part(Arc::from(format!("#{:016x}", hash_bytes(name))))
    }

    /// Reads a suspect as it is displayed.
    pub fn parse(text: &str) -> Self {
        let digest = text.strip_prefix(REQUEST_PREFIX);
        let digest = digest.and_then(RequestDigest::parse);
        digest.map_or_else(|| Self::part(text), Self::Request)
    }

    /// Returns whether the suspect is a whole request.
    pub const fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl From<Arc<str>> for Suspect {
    fn from(text: Arc<str>) -> Self {
        Self::parse(&text)
    }
}

impl From<Suspect> for Arc<str> {
    fn from(suspect: Suspect) -> Self {
        match suspect {
            Suspect::Part(name) => name,
            Suspect::Request(_) => Self::from(suspect.to_string()),
        }
    }
}
