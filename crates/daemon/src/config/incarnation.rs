//! A daemon's incarnation, raised by a conditional write to the store at each start.

use std::time::Duration;

use kumquatkeel_platform::{
    ObjectKey, ObjectStore, ObjectVersion, Precondition, PutOutcome, StoreError, StoreFault,
    WriteIdGenerator, put_resolved,
};
use kumquatkeel_types::Incarnation;
use kumquatkeel_types::message::Role;
use log::warn;
use serde::{Deserialize, Serialize};

/// Most attempts to raise the incarnation, against store failures and concurrent starts of
/// processes with the same name.
const MAX_TRIES: u32 = 5;

/// Pause before the next attempt after a rate limit or an outage of the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The stored object with the newest incarnation of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct IncarnationRecord {
    incarnation: Incarnation,
}

/// A daemon's incarnation, and whether the store guarantees that it is unique.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssignedIncarnation {
    /// Recorded in the store: no other process has this incarnation or a higher one.
    Recorded(Incarnation),
    /// Chosen while the store is down, above every incarnation that the daemon's peers know.
    ///
    /// A predecessor that was known to its parent only may have had the same one. With a
    /// provisional incarnation, an agent stays in quarantine and an entry claims nothing in the
    /// ledger (which needs the store anyway). Both record an incarnation with
    /// [`raise_incarnation`] once the store is back.
    Provisional(Incarnation),
}

impl AssignedIncarnation {
    /// Returns the incarnation, recorded or not.
    pub const fn incarnation(self) -> Incarnation {
        match self {
            Self::Recorded(incarnation) | Self::Provisional(incarnation) => incarnation,
        }
    }
}

/// Returns the key of a daemon's [`IncarnationRecord`].
fn incarnation_key(role: &Role) -> ObjectKey {
    match role {
        Role::Entry(name) => ObjectKey::from(format!("life/entry/{name}")),
        Role::Agent(name) => ObjectKey::from(format!("life/agent/{name}")),
    }
}

/// Raises a daemon's incarnation in the store above the recorded one and above `known`, the
/// highest that its peers report.
///
/// A store that was restored from a copy may show an earlier incarnation than the last, so that each era of
/// the store starts above all earlier ones.
///
/// # Errors
///
/// Returns the store's error; the daemon may then go on with [`AssignedIncarnation::Provisional`].
pub async fn raise_incarnation(
    store: &dyn ObjectStore,
    ids: &WriteIdGenerator,
    role: &Role,
    known: Incarnation,
) -> Result<Incarnation, StoreError> {
    let key = incarnation_key(role);
    let mut last = None;
    for _ in 0..MAX_TRIES {
        match raise_once(store, ids, &key, known).await {
            Ok(Some(incarnation)) => return Ok(incarnation),
            Ok(None) => {}
            Err(error) => {
                warn!(target: "config", "config: raising the incarnation failed: {error}");
                last = Some(error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    let conflict = || {
        let fault = StoreFault::Conflict { current: None };
        StoreError::new("raise incarnation", key.as_ref(), fault)
    };
    Err(last.unwrap_or_else(conflict))
}

/// Makes one attempt; returns `None` when another write came first or may have done so.
///
/// An incarnation whose write has an unknown outcome is never used: the next attempt goes above
/// whatever is recorded then.
async fn raise_once(
    store: &dyn ObjectStore,
    ids: &WriteIdGenerator,
    key: &ObjectKey,
    known: Incarnation,
) -> Result<Option<Incarnation>, StoreError> {
    let current = store.get(key).await?;
    let (recorded, precondition) = match &current {
        None => (Incarnation::default(), Precondition::Absent),
        Some(object) => (
            decode(key, &object.value)?.incarnation,
            Precondition::Version(object.version),
        ),
    };
    let era = store.era();
    let version = current.as_ref().map_or(0, |object| object.version.into());
    let next = Incarnation(era.next_number(recorded.0, version));
    let incarnation = next.max(known.next());
    let value = serde_json::to_vec(&IncarnationRecord { incarnation }).unwrap_or_default();
    let outcome = put_resolved(store, key, precondition, &ids.next_id(), value.into()).await?;
    if store.era() != era {
        return Ok(None);
    }
    match outcome {
        PutOutcome::Written(ObjectVersion(_)) => Ok(Some(incarnation)),
        PutOutcome::Conflict | PutOutcome::Superseded(_) => Ok(None),
    }
}

fn decode(key: &ObjectKey, value: &[u8]) -> Result<IncarnationRecord, StoreError> {
    serde_json::from_slice(value).map_err(|error| {
        let reason = error.to_string();
        StoreError::new(
            "read incarnation",
            key.as_ref(),
            StoreFault::Malformed { reason },
        )
    })
}
