//! Per-kind counts of the calls that reach the store.

use std::collections::BTreeMap;

use derive_more::Display;

/// The operations of the platform's interface that are counted and can be made to fail.
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
    /// Reads all objects below a prefix.
    #[display("list")]
    List,
    /// Waits for changes to objects below a prefix.
    #[display("watch")]
    Watch,
    /// Reads the list of instances.
    #[display("instances")]
    Instances,
}

impl CallKind {
    /// Returns true for operations that modify the store.
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Remove)
    }
}

/// Number of calls of each kind; failed calls are included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallCounts {
    counts: BTreeMap<CallKind, u64>,
}

impl CallCounts {
    /// Returns the number of calls of `kind`.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the number of puts and removals.
    pub fn writes(&self) -> u64 {
        self.sum(CallKind::is_write)
    }

    /// Returns the number of calls that don't modify the store, watches included.
    pub fn reads(&self) -> u64 {
        self.sum(|kind| !kind.is_write())
    }

    /// Records one call and returns the new count of its kind.
    pub(super) fn record(&mut self, kind: CallKind) -> u64 {
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        *count
    }

    fn sum(&self, predicate: impl Fn(CallKind) -> bool) -> u64 {
        self.counts
            .iter()
            .filter(|(kind, _)| predicate(**kind))
            .map(|(_, count)| count)
            .sum()
    }
}
