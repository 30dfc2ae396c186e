//! The agent's record in the store: its incarnation and the orders that may still be executed.
//!
//! The record fences earlier incarnations: each write is conditional, and an order is sent only
//! after its intent has been written.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use kumquatkeel_core::memory::{Intent, TargetRecord};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_platform::{
    Object, ObjectKey, ObjectStore, ObjectVersion, Precondition, PutOutcome, StoreError, WriteId,
    put_resolved,
};
use kumquatkeel_types::{Incarnation, TargetName, Timestamp};
use tokio::sync::Mutex;

/// Most tries of a conditional write that conflicts with another writer.
const MAX_TRIES: u32 = 4;

/// Why the record could not be read or written.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum RecordError {
    /// The store returned an error.
    #[display("{_0}")]
    Store(#[error(source)] StoreError),
    /// A later incarnation of the agent holds the target.
    #[display("record of {target}: incarnation {holder} holds the target")]
    Superseded {
        /// The target of the record.
        target: TargetName,
        /// The incarnation that holds it.
        holder: Incarnation,
    },
    /// The record is missing or invalid, is not taken over yet, or each write conflicts.
    #[display("record of {target}: {reason}")]
    Unusable {
        /// The target of the record.
        target: TargetName,
        /// The cause.
        reason: String,
    },
}

/// Permission to send orders until a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SendLease(Timestamp);

impl SendLease {
    /// Returns whether an order may be sent at `now`.
    pub(crate) fn is_valid(self, now: Timestamp) -> bool {
        now < self.0
    }
}

/// The result of a takeover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Takeover {
    /// The incarnation under which the target is now held.
    pub(crate) incarnation: Incarnation,
    /// Orders of the previous incarnation that may still be executed.
    pub(crate) intents: Vec<Intent>,
}

/// Reads and writes the agent's record by conditional updates.
#[derive(Debug)]
pub(crate) struct RecordStore {
    #[debug(skip)]
    store: Arc<dyn ObjectStore>,
    target: TargetName,
    key: ObjectKey,
    lease: Duration,
    clock: Clock,
    version: Mutex<Option<ObjectVersion>>,
    held: AtomicBool,
}

impl RecordStore {
    /// Creates the store of a target's record; each write allows orders to be sent for `lease`.
    pub(crate) fn new(
        store: Arc<dyn ObjectStore>,
        target: TargetName,
        lease: Duration,
        clock: Clock,
    ) -> Self {
        Self {
            store,
            key: ObjectKey::from(format!("agents/{target}")),
            target,
            lease,
            clock,
            version: Mutex::new(None),
            held: AtomicBool::new(false),
        }
    }

    /// Returns whether this incarnation has taken the target over.
    pub(crate) fn holds_target(&self) -> bool {
        self.held.load(Ordering::Acquire)
    }

    /// Takes the target over from the previous incarnation and returns the orders it left open.
    ///
    /// The new incarnation is `proposed`, or the one after the stored one if that is higher.
    pub(crate) async fn take_over(&self, proposed: Incarnation) -> Result<Takeover, RecordError> {
        let mut version = self.version.lock().await;
        for _ in 0..MAX_TRIES {
            let object = self.read().await?;
            let stored = self.parse(object.as_ref())?;
            let incarnation = proposed.max(stored.incarnation.next());
            let record = TargetRecord {
                incarnation,
                intents: stored.intents.clone(),
            };
            let precondition = object
                .as_ref()
                .map_or(Precondition::Absent, |o| Precondition::Version(o.version));
            match self.put(precondition, &record).await? {
                PutOutcome::Written(written) => {
                    *version = Some(written);
                    self.held.store(true, Ordering::Release);
                    return Ok(Takeover {
                        incarnation,
                        intents: stored.intents,
                    });
                }
                PutOutcome::Conflict | PutOutcome::Superseded(_) => {}
            }
        }
        Err(self.unusable(&"each write conflicts with another writer"))
    }

    /// Writes the open orders of this incarnation and returns the lease for sending them.
    pub(crate) async fn write(
        &self,
        incarnation: Incarnation,
        intents: Vec<Intent>,
    ) -> Result<SendLease, RecordError> {
        let mut version = self.version.lock().await;
        let Some(mut known) = *version else {
            return Err(self.unusable(&"this incarnation has not taken the target over"));
        };
        let record = TargetRecord {
            incarnation,
            intents,
        };
        for _ in 0..MAX_TRIES {
            // The lease starts before the write, so a slow write shortens it.
            let lease = SendLease(self.clock.now().after(self.lease));
            let precondition = Precondition::Version(known);
            if let PutOutcome::Written(written) = self.put(precondition, &record).await? {
                *version = Some(written);
                return Ok(lease);
            }
            known = self.own_version(incarnation).await?;
        }
        Err(self.unusable(&"each write conflicts with another writer"))
    }

    /// Returns the object's version if this incarnation still holds the target.
    async fn own_version(&self, incarnation: Incarnation) -> Result<ObjectVersion, RecordError> {
        let object = self.read().await?;
        let holder = self.parse(object.as_ref())?.incarnation;
        match object {
            Some(object) if holder == incarnation => Ok(object.version),
            Some(_) => Err(RecordError::Superseded {
                target: self.target.clone(),
                holder,
            }),
            None => Err(self.unusable(&"the object has been removed")),
        }
    }

    async fn read(&self) -> Result<Option<Object>, RecordError> {
        let object = self.store.get(&self.key).await;
        object.map_err(RecordError::Store)
    }

    async fn put(
        &self,
        precondition: Precondition,
        record: &TargetRecord,
    ) -> Result<PutOutcome, RecordError> {
        let value = serde_json::to_vec(record).map_err(|e| self.unusable(&e))?;
        let write = WriteId::from(format!(
            "agent/{}/{:016x}",
            self.target,
            rand::random::<u64>()
        ));
        put_resolved(
            &*self.store,
            &self.key,
            precondition,
            &write,
            Bytes::from(value),
        )
        .await
        .map_err(RecordError::Store)
    }

    fn parse(&self, object: Option<&Object>) -> Result<TargetRecord, RecordError> {
        let Some(object) = object else {
            return Ok(TargetRecord::default());
        };
        serde_json::from_slice(&object.value).map_err(|e| self.unusable(&e))
    }

    fn unusable(&self, reason: &impl ToString) -> RecordError {
        RecordError::Unusable {
            target: self.target.clone(),
            reason: reason.to_string(),
        }
    }
}
