//! The steps of a lease, their ends and what the holder may do.

use std::time::Duration;

use kumquatkeel_types::{Epoch, Timestamp};

use super::LeaseRecord;

/// Times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseOptions {
    /// How long a renewal holds.
    pub duration: Duration,
    /// How often the holder renews, and the others read.
    pub interval: Duration,
    /// By how much two monotonic clocks may drift apart over a duration.
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

/// What a step of the holder does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActionKind {
    /// The step only adds, such as a load; two holders can't harm by it.
    Additive,
    /// The step takes something away, such as an unload.
    Destructive,
}

/// Whether a process holds a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStatus {
    /// No other process can have taken the lease yet.
    Held(Epoch),
    /// The process held the lease and does not know whether another took it since.
    InDoubt(Epoch),
    /// The process does not hold the lease.
    NotHeld,
}

impl LeaseStatus {
    /// Returns the epoch under which a step may be taken, if it may.
    pub fn permit(self, kind: ActionKind) -> Option<Epoch> {
        match (self, kind) {
            (Self::Held(epoch), _) | (Self::InDoubt(epoch), ActionKind::Additive) => Some(epoch),
            (Self::InDoubt(_), ActionKind::Destructive) | (Self::NotHeld, _) => None,
        }
    }
}

/// What to do next for a lease; `V` is the store's version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep<V> {
    /// Read the lease's object, then call [`Lease::on_read`](super::Lease::on_read).
    Read,
    /// Write the record if the object is still at the version, then call [`Lease::on_write`](super::Lease::on_write).
    Write {
        /// The version; none when there is no object yet.
        version: Option<V>,
        /// The record.
        record: LeaseRecord,
    },
    /// Wait until this time.
    Wait(Timestamp),
}

/// How a read ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseRead<V> {
    /// The record as it stands; none when there is no object yet.
    Found(Option<(V, LeaseRecord)>),
    /// The store failed.
    Failed,
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseWrite<V> {
    /// The write took effect at this version.
    Written(V),
    /// Another write came first, or may have.
    Replaced,
    /// The store failed; the write may still take effect.
    Failed,
}
