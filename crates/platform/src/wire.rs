//! The platform's published HTTP interface: paths, headers and JSON bodies.
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
//! A store that has been restored from a copy says so in each of its answers: `Store-Era: N`, which rises by
//! one each time. It gives versions out again, and answers a watch from one that it has not reached with
//! 410.
//!
//! Each call may also be answered with 429 (rate limit exceeded) or 503, both without being executed.
//! After any other status, or without an answer, it is unknown whether a write took effect. Values
//! are UTF-8 text of at most [`MAX_VALUE_BYTES`].

use serde::{Deserialize, Serialize};

use crate::{InstanceRecord, ObjectKey, ObjectVersion, WriteId};

/// Largest value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Header of all answers with the number of times that the store has been restored.
pub const STORE_ERA_HEADER: &str = "store-era";

/// Request header with the id of a write.
pub const WRITE_ID_HEADER: &str = "write-id";

/// JSON form of an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObject {
    /// Key under which the object is stored.
    pub key: ObjectKey,
    /// Version that the last write created.
    pub version: ObjectVersion,
    /// Id of the write that created this version.
    pub write: WriteId,
    /// Content of the object.
    pub value: String,
}

/// Answer to a successful write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireVersion {
    /// Version that the write created.
    pub version: ObjectVersion,
}

/// Answer to a write or removal whose precondition does not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireConflict {
    /// Version of the object in the store; `None` when there is no object.
    pub current: Option<ObjectVersion>,
}

/// Answer to a list or watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObjects {
    /// Objects that were found or have changed.
    pub objects: Vec<WireObject>,
    /// Version of the store that the answer reflects; the next watch starts from it.
    pub version: ObjectVersion,
}

/// Answer to a read of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireInstances {
    /// All instances that the platform lists.
    pub instances: Vec<InstanceRecord>,
}
