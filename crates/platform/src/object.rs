//! Versioned objects and the store that holds them.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{AsRef, Display, From, Into};
use kumquatkeel_core::store::StoreEra;
use serde::{Deserialize, Serialize};

use crate::StoreError;

/// Key of an object, such as `config/head`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef, From, Serialize, Deserialize,
)]
#[from(Arc<str>, String, &str)]
#[as_ref(str)]
#[serde(transparent)]
pub struct ObjectKey(Arc<str>);

/// Version of an object: the sequence number of the store's change that wrote it. A store that is
/// restored from a copy gives versions out again; see [`ObjectStore::era`].
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
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// Id of a write. The store keeps it with the object, so that the writer can find out after a lost
/// answer whether the write took effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, From, Serialize, Deserialize)]
#[from(Arc<str>, String, &str)]
#[serde(transparent)]
pub struct WriteId(Arc<str>);

/// An object as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Key under which the object is stored.
    pub key: ObjectKey,
    /// Version that the last write created.
    pub version: ObjectVersion,
    /// Id of the write that created this version.
    pub write: WriteId,
    /// Content of the object; UTF-8 text.
    pub value: Bytes,
}

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// There is no object with this key.
    Absent,
    /// The object is at this version.
    Version(ObjectVersion),
}

/// Answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchReply {
    /// Objects that were written, each at its newest version; empty when the wait ended without one.
    pub objects: Vec<Object>,
    /// Version from which the next watch starts.
    pub version: ObjectVersion,
}

/// The platform's store of versioned objects.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Returns the era that the store's answers have stated so far.
    ///
    /// If it has risen since a call was sent, the store was restored from a copy, and the call's answer may
    /// be from before.
    fn era(&self) -> StoreEra;

    /// Reads an object; `None` when there is none.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be reached or its answer can't be decoded.
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, StoreError>;

    /// Writes an object if the precondition holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFault::Conflict`] when the precondition does not hold; see
    /// [`StoreError::may_have_written`] for the outcome of other errors.
    ///
    /// [`StoreFault::Conflict`]: crate::StoreFault::Conflict
    async fn put(
        &self,
        key: &ObjectKey,
        precondition: Precondition,
        write: &WriteId,
        value: Bytes,
    ) -> Result<ObjectVersion, StoreError>;

    /// Removes an object if it is at `version`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFault::Conflict`] when the object is at another version or absent; see
    /// [`StoreError::may_have_written`] for the outcome of other errors.
    ///
    /// [`StoreFault::Conflict`]: crate::StoreFault::Conflict
    async fn remove(&self, key: &ObjectKey, version: ObjectVersion) -> Result<(), StoreError>;

    /// Reads all objects whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be reached or its answer can't be decoded.
    async fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError>;

    /// Waits at most `wait` until objects whose keys start with `prefix` are newer than `after`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFault::WatchGap`] when the store no longer has the changes since `after`; the
    /// caller must list the objects again. Returns other errors as [`ObjectStore::list`] does.
    ///
    /// [`StoreFault::WatchGap`]: crate::StoreFault::WatchGap
    async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<WatchReply, StoreError>;
}
