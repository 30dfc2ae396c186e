//! Authentication between the system's own processes by a shared key.

use std::sync::Arc;

use derive_more::Debug;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue};
use kumquatkeel_types::document::Fault;
use kumquatkeel_types::secret::KeyDigest;

/// Shortest accepted peer key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// The key that the system's own processes share; never written to logs or errors.
#[derive(Debug, Clone)]
pub struct PeerKey {
    #[debug(skip)]
    header: HeaderValue,
    digest: Arc<KeyDigest>,
}

impl PeerKey {
    /// Returns the value of the `Authorization` header that carries the key.
    pub fn header(&self) -> HeaderValue {
        self.header.clone()
    }

    /// Derives a token for `name`, which only holders of the key can compute.
    pub fn token_for(&self, name: impl AsRef<str>) -> String {
        let mut material = self.header.as_bytes().to_vec();
        material.push(0);
        material.extend_from_slice(name.as_ref().as_bytes());
        KeyDigest::of_key(material).into()
    }

    /// Checks in constant time whether the headers carry the key.
    pub fn is_proved_by(&self, headers: &HeaderMap) -> bool {
        bearer_of(headers).is_some_and(|key| self.digest.matches(key))
    }
}

impl TryFrom<&str> for PeerKey {
    type Error = Fault;

    fn try_from(key: &str) -> Result<Self, Fault> {
        if key.len() < MIN_KEY_BYTES {
            return Err(Fault::new(
                "peer_key",
                format!("must have {MIN_KEY_BYTES} bytes or more"),
            ));
        }
        let mut header = HeaderValue::try_from(format!("Bearer {key}"))
            .map_err(|_| Fault::new("peer_key", "must be visible ASCII"))?;
        header.set_sensitive(true);
        Ok(Self {
            header,
            digest: Arc::new(KeyDigest::of_key(key)),
        })
    }
}

/// Returns the key from an `Authorization: Bearer` header; `None` without a valid one.
pub fn bearer_of(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}
