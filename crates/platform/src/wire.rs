//! The platform's published HTTP interface.
//!
//! | path | method | headers | body | answer |
//! |---|---|---|---|---|
//! | `/v1/object?key=K` | GET | | | 200 [`WireObject`], 404 |
//! | `/v1/object?key=K` | PUT | `If-Match: VERSION` or `If-None-Match: *`, `Write-Id: ID` | the value | 200 [`WireVersion`], 412 [`WireConflict`], 413 |
//! | `/v1/object?key=K` | DELETE | `If-Match: VERSION` | | 204, 412 [`WireConflict`] |
//! | `/v1/objects?prefix=P` | GET | | | 200 [`WireObjects`] |
//! | `/v1/watch?prefix=P&after=V&wait_ms=W` | GET | | | 200 [`WireObjects`], 410 on a gap |
//! | `/v1/instances` | GET | | | 200 [`WireInstances`] |
//!
//! Each call may also be answered with 429 (rate limit, nothing done) or 503 (nothing done). Any
//! other status, or none, leaves open whether a write took effect. Values are UTF-8, at most
//! [`MAX_VALUE_BYTES`].

use serde::{Deserialize, Serialize};

use crate::{InstanceRecord, ObjectKey, ObjectVersion, WriteId};

/// Largest value that the store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The header that carries the id of a write.
pub const WRITE_ID_HEADER: &str = "write-id";

/// An object as the platform sends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObject {
    /// The key.
    pub key: ObjectKey,
    /// The version.
    pub version: ObjectVersion,
    /// The id of the write that made this version.
    pub write: WriteId,
    /// The value.
    pub value: String,
}

/// The version that a write made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireVersion {
    /// The version.
    pub version: ObjectVersion,
}

/// The version that stood against a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireConflict {
    /// The version in the store; none when there is no object.
    pub current: Option<ObjectVersion>,
}

/// A list of objects, and the store's version at which it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObjects {
    /// The objects.
    pub objects: Vec<WireObject>,
    /// The store's version.
    pub version: ObjectVersion,
}

/// The platform's instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireInstances {
    /// The instances.
    pub instances: Vec<InstanceRecord>,
}
