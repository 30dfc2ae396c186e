//! Steps of the lease state machine, their results, and what the lease permits.

use std::time::Duration;

use kumquatkeel_types::{Epoch, Timestamp};

use super::LeaseRecord;

/// Durations of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseOptions {
    /// How long a renewal keeps the lease.
    pub duration: Duration,
    /// Interval at which the holder renews the lease and the other processes read it.
    pub interval: Duration,
    /// Most by which two monotonic clocks drift apart over `duration`.
    pub drift: Duration,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            interval: Duration::from_secs(3),
            drift: Duration::from_millis(500),
        }
    }
}

/// The kind of an action that the lease holder takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActionKind {
    /// Only adds something, such as a load, and is safe even if two processes do it.
    Additive,
    /// Removes something, such as an unload.
    Destructive,
}

/// Whether a process holds a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStatus {
    /// Held under this epoch; no other process can have taken the lease yet.
    Held(Epoch),
    /// Held under this epoch, but the duration has ended; another process may have taken the lease
    /// since.
    InDoubt(Epoch),
    /// Not held by this process.
    NotHeld,
}

impl LeaseStatus {
    /// Returns the epoch under which an action of this kind is permitted, or `None` if it is not.
    pub fn permit(self, kind: ActionKind) -> Option<Epoch> {
        match (self, kind) {
            (Self::Held(epoch), _) | (Self::InDoubt(epoch), ActionKind::Additive) => Some(epoch),
            (Self::InDoubt(_), ActionKind::Destructive) | (Self::NotHeld, _) => None,
        }
    }
}

/// The next step for a lease; `V` is the store's version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep<V> {
    /// Read the lease's object, then call [`Lease::on_read`](super::Lease::on_read).
    Read,
    /// Write the record if the object still has this version, then call
    /// [`Lease::on_write`](super::Lease::on_write).
    Write {
        /// The version to replace; `None` when there is no object yet.
        version: Option<V>,
        /// The record to store.
        record: LeaseRecord,
    },
    /// Do nothing until this time.
    Wait(Timestamp),
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseRead<V> {
    /// The record and its version; `None` when there is no object yet.
    Found(Option<(V, LeaseRecord)>),
    /// The store returned an error or no reply.
    Failed,
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseWrite<V> {
    /// The write took effect at this version.
    Written(V),
    /// Another write came first, or may have; the object must be read again.
    Replaced,
    /// The store returned an error or no reply; the write may still take effect.
    Failed,
}
