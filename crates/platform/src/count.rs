//! Counters of the calls that a process makes to the platform, by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Kind of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum CallKind {
    /// Reads one object.
    #[display("get")]
    Get,
    /// Writes one object.
    #[display("put")]
    Put,
    /// Removes one object.
    #[display("remove")]
    Remove,
    /// Lists the objects with a key prefix.
    #[display("list")]
    List,
    /// Waits for changes of the objects with a key prefix.
    #[display("watch")]
    Watch,
    /// Reads the instance list.
    #[display("instances")]
    Instances,
}

impl CallKind {
    /// All kinds, in the order of the counters.
    pub const ALL: [Self; 6] = [
        Self::Get,
        Self::Put,
        Self::Remove,
        Self::List,
        Self::Watch,
        Self::Instances,
    ];
}

/// Counters of calls by kind, shared by the clients of one process.
#[derive(Debug, Default)]
pub struct CallCounts {
    counters: [AtomicU64; CallKind::ALL.len()],
}

/// Snapshot of [`CallCounts`]; failed calls are included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTotals {
    /// Number of reads of one object.
    pub gets: u64,
    /// Number of writes.
    pub puts: u64,
    /// Number of removals.
    pub removes: u64,
    /// Number of lists.
    pub lists: u64,
    /// Number of watches; a watch counts once, however long it waits.
    pub watches: u64,
    /// Number of reads of the instance list.
    pub instances: u64,
}

impl CallCounts {
    /// Counts one call of a kind.
    pub fn add(&self, kind: CallKind) {
        self.counters[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls of one kind.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.counters[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns a snapshot of all counters, which are read one after the other.
    pub fn totals(&self) -> CallTotals {
        CallTotals {
            gets: self.of(CallKind::Get),
            puts: self.of(CallKind::Put),
            removes: self.of(CallKind::Remove),
            lists: self.of(CallKind::List),
            watches: self.of(CallKind::Watch),
            instances: self.of(CallKind::Instances),
        }
    }
}
