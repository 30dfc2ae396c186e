//! The life of a daemon, raised by a conditional write at each start.

use std::time::Duration;

use kumquatkeel_platform::{
    ObjectKey, ObjectStore, ObjectVersion, Precondition, PutOutcome, StoreError, StoreFault,
    WriteIdGenerator, put_resolved,
};
use kumquatkeel_types::Incarnation;
use kumquatkeel_types::message::Role;
use log::warn;
use serde::{Deserialize, Serialize};

/// Times that a daemon raises its incarnation against another process of the same name.
const MAX_TRIES: u32 = 5;

/// Pause before the next try after a rate limit or an outage.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The object that holds a daemon's newest incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct LifeRecord {
    incarnation: Incarnation,
}

/// How a daemon came to its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// The store holds it: no other process has this incarnation or a higher one.
    Recorded(Incarnation),
    /// The store is out: it is above all that the daemon's neighbours know.
    ///
    /// A predecessor that only its own parent knew may have had the same one. An agent in such a
    /// life keeps its quarantine, an entry claims nothing in the ledger (which needs the store
    /// anyway); both record the life with [`raise_incarnation`] once the store is back.
    Provisional(Incarnation),
}

impl Life {
    /// Returns the incarnation.
    pub const fn incarnation(self) -> Incarnation {
        match self {
            Self::Recorded(incarnation) | Self::Provisional(incarnation) => incarnation,
        }
    }
}

/// Returns the key of a daemon's incarnation.
fn life_key(role: &Role) -> ObjectKey {
    match role {
        Role::Entry(name) => ObjectKey::from(format!("life/entry/{name}")),
        Role::Agent(name) => ObjectKey::from(format!("life/agent/{name}")),
    }
}

/// Raises a daemon's incarnation in the store above the recorded one and above `known`, the
/// highest that its neighbours tell of.
///
/// # Errors
///
/// Returns the store's fault; the daemon may then go on with [`Life::Provisional`].
pub async fn raise_incarnation(
    store: &dyn ObjectStore,
    ids: &WriteIdGenerator,
    role: &Role,
    known: Incarnation,
) -> Result<Incarnation, StoreError> {
    let key = life_key(role);
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
    let contended = || {
        let fault = StoreFault::Conflict { current: None };
        StoreError::new("raise incarnation", key.as_ref(), fault)
    };
    Err(last.unwrap_or_else(contended))
}

/// Tries once; `None` when another write came first or this one can't be told from it.
///
/// An incarnation whose write stays open is never used: the next try goes above whatever is
/// recorded then.
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
    let incarnation = recorded.max(known).next();
    let value = serde_json::to_vec(&LifeRecord { incarnation }).unwrap_or_default();
    let settled = put_resolved(store, key, precondition, &ids.next_id(), value.into()).await?;
    match settled {
        PutOutcome::Written(ObjectVersion(_)) => Ok(Some(incarnation)),
        PutOutcome::Conflict | PutOutcome::Superseded(_) => Ok(None),
    }
}

fn decode(key: &ObjectKey, value: &[u8]) -> Result<LifeRecord, StoreError> {
    serde_json::from_slice(value).map_err(|error| {
        let reason = error.to_string();
        StoreError::new(
            "read incarnation",
            key.as_ref(),
            StoreFault::Malformed { reason },
        )
    })
}
