//! Counts of the calls that a process makes to the platform.

use std::sync::atomic::{AtomicU64, Ordering};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The kind of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum CallKind {
    /// An object is read.
    #[display("get")]
    Get,
    /// An object is written.
    #[display("put")]
    Put,
    /// An object is removed.
    #[display("remove")]
    Remove,
    /// Objects are listed.
    #[display("list")]
    List,
    /// A watch waits for changes.
    #[display("watch")]
    Watch,
    /// The instance list is read.
    #[display("instances")]
    Instances,
}

impl CallKind {
    /// Every kind, in the order of the counters.
    pub const ALL: [Self; 6] = [
        Self::Get,
        Self::Put,
        Self::Remove,
        Self::List,
        Self::Watch,
        Self::Instances,
    ];
}

/// Calls made so far, by kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    counters: [AtomicU64; CallKind::ALL.len()],
}

/// The counts at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTotals {
    /// Reads of one object.
    pub gets: u64,
    /// Writes.
    pub puts: u64,
    /// Removals.
    pub removes: u64,
    /// Lists.
    pub lists: u64,
    /// Watches, each waiting one counted once.
    pub watches: u64,
    /// Reads of the instance list.
    pub instances: u64,
}

impl CallCounts {
    /// Counts one call.
    pub fn add(&self, kind: CallKind) {
        self.counters[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the calls of one kind so far.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.counters[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns all counts.
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
