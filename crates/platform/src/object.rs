//! Versioned objects.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

use crate::StoreError;

/// The key of an object, such as `config/head`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef, From, Serialize, Deserialize,
)]
#[from(Arc<str>, String, &str)]
#[as_ref(str)]
#[serde(transparent)]
pub struct ObjectKey(Arc<str>);

/// The version of an object: the number of the store's change that wrote it.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// Identifies a write, so that a reader can tell whether it took effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, From, Serialize, Deserialize)]
#[from(Arc<str>, String, &str)]
#[serde(transparent)]
pub struct WriteId(Arc<str>);

/// An object as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The key.
    pub key: ObjectKey,
    /// The version.
    pub version: ObjectVersion,
    /// The id of the write that made this version.
    pub write: WriteId,
    /// The value.
    pub value: Bytes,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// There is no object with this key.
    Absent,
    /// The object is at this version.
    Version(ObjectVersion),
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchReply {
    /// The objects that changed, each at its newest version.
    pub objects: Vec<Object>,
    /// The version to watch from next.
    pub version: ObjectVersion,
}

/// The platform's store of versioned objects.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` when there is none.
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, StoreError>;

    /// Writes an object if the precondition holds, and returns its new version.
    async fn put(
        &self,
        key: &ObjectKey,
        precondition: Precondition,
        write: &WriteId,
        value: Bytes,
    ) -> Result<ObjectVersion, StoreError>;

    /// Removes an object if it is at `version`.
    async fn remove(&self, key: &ObjectKey, version: ObjectVersion) -> Result<(), StoreError>;

    /// Reads all objects whose keys start with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError>;

    /// Waits until objects below `prefix` are newer than `after`, at most for `wait`.
    async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<WatchReply, StoreError>;
}
