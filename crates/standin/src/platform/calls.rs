//! Counts of calls by kind.

use std::collections::BTreeMap;

use derive_more::Display;

/// The kind of a call to the platform.
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
    /// Waits for changes below a prefix.
    #[display("watch")]
    Watch,
    /// Reads the list of instances.
    #[display("instances")]
    Instances,
}

impl CallKind {
    /// Says whether the call changes the store.
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Remove)
    }
}

/// How many calls of each kind were made, failed ones included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallCounts {
    counts: BTreeMap<CallKind, u64>,
}

impl CallCounts {
    /// Returns the number of calls of a kind.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the number of calls that change the store.
    pub fn writes(&self) -> u64 {
        self.sum(CallKind::is_write)
    }

    /// Returns the number of calls that change nothing.
    pub fn reads(&self) -> u64 {
        self.sum(|kind| !kind.is_write())
    }

    /// Counts one call and returns the new count of its kind.
    pub(super) fn add(&mut self, kind: CallKind) -> u64 {
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        *count
    }

    fn sum(&self, accepts: impl Fn(CallKind) -> bool) -> u64 {
        self.counts
            .iter()
            .filter(|(kind, _)| accepts(**kind))
            .map(|(_, count)| count)
            .sum()
    }
}
