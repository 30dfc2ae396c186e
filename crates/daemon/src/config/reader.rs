//! Reading the configuration from the store.

use std::sync::Arc;

use kumquatkeel_core::spread::{Advance, CatchUpStep, ConfigHead, ConfigLog, SnapshotRef};
use kumquatkeel_platform::{Object, ObjectKey, ObjectStore, ObjectVersion};
use kumquatkeel_types::document::RawDocument;
use kumquatkeel_types::message::{ConfigUpdate, Snapshot};

use super::{ConfigError, head_key};

/// Prefix to watch for changes of the configuration; only the head's key has it.
pub const CONFIG_PREFIX: &str = "config/head";

/// Most attempts to read the configuration when its snapshot is removed meanwhile.
const MAX_READS: u32 = 3;

/// The configuration as it stands in the store.
#[derive(Debug, Clone)]
pub struct StoredConfig {
    /// The decoded head.
    pub head: ConfigHead,
    /// The version of the head's object, for the next conditional write.
    pub version: ObjectVersion,
    /// The configuration with its latest deltas.
    pub log: ConfigLog,
}

/// Reads the configuration in force; `None` before the first commit.
///
/// # Errors
///
/// Returns the store's error, or [`ConfigError::Corrupt`] for an object that is missing, can't be
/// decoded or does not match its digest.
pub async fn read_config(store: &dyn ObjectStore) -> Result<Option<StoredConfig>, ConfigError> {
    let mut last = None;
    for _ in 0..MAX_READS {
        let Some(object) = store.get(&head_key()).await? else {
            return Ok(None);
        };
        let head = decode_head(&object)?;
        let mut log = ConfigLog::default();
        match follow(store, &head, &mut log).await {
            Ok(_) => {
                let version = object.version;
                return Ok(Some(StoredConfig { head, version, log }));
            }
            Err(error @ ConfigError::Corrupt { .. }) => last = Some(error),
            Err(error) => return Err(error),
        }
    }
    Err(last.unwrap_or_else(|| ConfigError::corrupt("read configuration", "config/head", "")))
}

/// Decodes the head's object.
///
/// # Errors
///
/// Returns [`ConfigError::Corrupt`] when the object is not a valid head.
pub fn decode_head(object: &Object) -> Result<ConfigHead, ConfigError> {
    serde_json::from_slice(&object.value).map_err(|error| {
        ConfigError::corrupt("decode head", object.key.as_ref(), error.to_string())
    })
}

/// Advances `log` to the head's revision, by the head's deltas or through its snapshot.
///
/// # Errors
///
/// Returns the store's error, or [`ConfigError::Corrupt`] for an object that is missing, can't be
/// decoded or does not match its digest.
pub async fn follow(
    store: &dyn ObjectStore,
    head: &ConfigHead,
    log: &mut ConfigLog,
) -> Result<Advance, ConfigError> {
    let update = match head.catch_up_step(log) {
        CatchUpStep::Apply(update) => update,
        CatchUpStep::Fetch(reference) => fetch(store, reference).await?,
    };
    let mut advance = log.advance(&update);
    if matches!(advance, Advance::Gap | Advance::DigestMismatch) {
        advance = log.advance(&fetch(store, head.snapshot).await?);
    }
    if let CatchUpStep::Apply(update) = head.catch_up_step(log)
        && update != ConfigUpdate::Current
    {
        advance = log.advance(&update);
    }
    let is_behind = log.revision() < Some(head.revision);
    if is_behind || matches!(advance, Advance::Gap | Advance::DigestMismatch) {
        let reason = format!("revision {}: {advance}", head.revision);
        return Err(ConfigError::corrupt(
            "follow head",
            head_key().as_ref(),
            reason,
        ));
    }
    Ok(advance)
}

async fn fetch(
    store: &dyn ObjectStore,
    reference: SnapshotRef,
) -> Result<ConfigUpdate, ConfigError> {
    Ok(ConfigUpdate::Snapshot(
        fetch_snapshot(store, reference).await?,
    ))
}

/// Reads a snapshot; [`ConfigLog::advance`] checks its digest.
///
/// # Errors
///
/// Returns the store's error, or [`ConfigError::Corrupt`] when a part is missing or the snapshot
/// can't be decoded.
pub async fn fetch_snapshot(
    store: &dyn ObjectStore,
    reference: SnapshotRef,
) -> Result<Snapshot, ConfigError> {
    const STEP: &str = "read snapshot";
    let mut text = Vec::new();
    for key in reference.keys() {
        let part = store.get(&ObjectKey::from(key.as_str())).await?;
        let part = part.ok_or_else(|| ConfigError::corrupt(STEP, key, "is missing"))?;
        text.extend_from_slice(&part.value);
    }
    let key = || format!("config/snapshot/{}", reference.revision);
    let document: RawDocument = serde_json::from_slice(&text)
        .map_err(|error| ConfigError::corrupt(STEP, key(), error.to_string()))?;
    Ok(Snapshot {
        revision: reference.revision,
        digest: reference.digest,
        document: Arc::new(document),
    })
}
