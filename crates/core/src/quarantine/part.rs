//! The identity of a part of a prompt.

use std::sync::Arc;

use derive_more::Display;
use kumquatkeel_types::digest::hash_bytes;
use serde::{Deserialize, Serialize};

/// Longest name that is kept as it is, in bytes.
const MAX_NAME_BYTES: usize = 48;

/// Identifies a part of a prompt: the name that callers give it, or a hash of a long name.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::quarantine::PartId;
///
/// assert_eq!(PartId::of("5c1e07a2").to_string(), "5c1e07a2");
/// assert_eq!(PartId::of("x".repeat(1_000)).to_string().len(), 17);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub struct PartId(Arc<str>);

impl PartId {
    /// Returns the id of the part with this name.
    pub fn of(name: impl AsRef<str>) -> Self {
        let name = name.as_ref();
        if name.len() <= MAX_NAME_BYTES {
            return Self(Arc::from(name));
        }
        Self(Arc::from(format!("#{:016x}", hash_bytes(name))))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
