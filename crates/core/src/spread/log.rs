//! A process's copy of the configuration, whose revision never decreases.

use std::collections::VecDeque;
use std::sync::Arc;

use derive_more::Display;
use kumquatkeel_types::Revision;
use kumquatkeel_types::document::{Delta, RawDocument};
use kumquatkeel_types::message::{ConfigUpdate, Snapshot};

/// Maximum number of deltas kept for processes that are behind.
const MAX_DELTAS: usize = 64;

/// The result of applying an update to a [`ConfigLog`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Advance {
    /// The update contains no newer revision.
    #[display("no newer revision")]
    Current,
    /// The log is now at this revision.
    #[display("advanced to revision {_0}")]
    Advanced(Revision),
    /// The update is older than the configuration and was ignored.
    #[display("older than the current revision")]
    Stale,
    /// Deltas between the configuration and the update are missing; a snapshot is required.
    #[display("deltas after the current revision are missing")]
    Gap,
    /// The resulting configuration does not have the committed digest; a snapshot is required.
    #[display("digest differs from the committed digest")]
    DigestMismatch,
}

/// A process's copy of the configuration, with the latest deltas that led to it.
///
/// ```
/// use std::sync::Arc;
/// use kumquatkeel_core::spread::{Advance, ConfigLog};
/// use kumquatkeel_types::Revision;
/// use kumquatkeel_types::document::RawDocument;
/// use kumquatkeel_types::message::{ConfigUpdate, Snapshot};
///
/// let document = RawDocument::default();
/// let snapshot = Snapshot {
///     revision: Revision(1),
///     digest: document.digest(),
///     document: Arc::new(document),
/// };
/// let mut log = ConfigLog::default();
/// let update = ConfigUpdate::Snapshot(snapshot);
/// assert_eq!(log.advance(&update), Advance::Advanced(Revision(1)));
/// assert_eq!(log.advance(&update), Advance::Current);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ConfigLog {
    current: Option<Snapshot>,
    /// The digest of the revision before the oldest delta.
    base_digest: u64,
    deltas: VecDeque<Delta>,
}

impl ConfigLog {
    /// Returns the configuration; `None` before the first update.
    pub const fn current(&self) -> Option<&Snapshot> {
        self.current.as_ref()
    }

    /// Returns the revision; `None` before the first update.
    pub fn revision(&self) -> Option<Revision> {
        self.current.as_ref().map(|c| c.revision)
    }

    /// Returns the digest; 0 before the first update.
    pub fn digest(&self) -> u64 {
        self.current.as_ref().map_or(0, |c| c.digest)
    }

    /// Returns the kept deltas, oldest first.
    pub fn deltas(&self) -> impl Iterator<Item = &Delta> {
        self.deltas.iter()
    }

    /// Applies an update if it leads to a newer revision with the committed digest.
    ///
    /// Deltas before a faulty one stay applied.
    pub fn advance(&mut self, update: &ConfigUpdate) -> Advance {
        match update {
            ConfigUpdate::Current => Advance::Current,
            ConfigUpdate::Snapshot(snapshot) => self.advance_to_snapshot(snapshot),
            ConfigUpdate::Deltas(deltas) => self.apply_deltas(deltas),
        }
    }

    fn advance_to_snapshot(&mut self, snapshot: &Snapshot) -> Advance {
        if let Some(current) = &self.current {
            if snapshot.revision < current.revision {
                return Advance::Stale;
            }
            if snapshot.revision == current.revision {
                return compare_digests(snapshot.digest, current.digest);
            }
        }
        if snapshot.document.digest() != snapshot.digest {
            return Advance::DigestMismatch;
        }
        self.base_digest = snapshot.digest;
        self.deltas.clear();
        self.current = Some(snapshot.clone());
        Advance::Advanced(snapshot.revision)
    }

    fn apply_deltas(&mut self, deltas: &[Delta]) -> Advance {
        let mut result = Advance::Current;
        for delta in deltas {
            match self.apply_delta(delta) {
                Advance::Stale if result == Advance::Current => result = Advance::Stale,
                Advance::Current | Advance::Stale => {}
                Advance::Advanced(revision) => result = Advance::Advanced(revision),
                fault @ (Advance::Gap | Advance::DigestMismatch) => return fault,
            }
        }
        result
    }

    fn apply_delta(&mut self, delta: &Delta) -> Advance {
        let Some(current) = &self.current else {
            return Advance::Gap;
        };
        if delta.revision < current.revision {
            return Advance::Stale;
        }
        if delta.revision == current.revision {
            return compare_digests(delta.digest, current.digest);
        }
        if delta.revision != current.revision.next() {
            return Advance::Gap;
        }
        let document = current.document.with_delta(delta);
        if document.digest() != delta.digest {
            return Advance::DigestMismatch;
        }
        self.record_delta(delta, document);
        Advance::Advanced(delta.revision)
    }

    /// Makes `document` the configuration and keeps the delta that led to it.
    fn record_delta(&mut self, delta: &Delta, document: RawDocument) {
        self.deltas.push_back(delta.clone());
        if self.deltas.len() > MAX_DELTAS
            && let Some(oldest) = self.deltas.pop_front()
        {
            self.base_digest = oldest.digest;
        }
        self.current = Some(Snapshot {
            revision: delta.revision,
            digest: delta.digest,
            document: Arc::new(document),
        });
    }

    /// Returns the update that brings a process at `revision` with `digest` to this configuration.
    ///
    /// A process that is ahead receives no update. A process whose digest is unknown at its
    /// revision receives a snapshot.
    pub fn update_for(&self, revision: Option<Revision>, digest: u64) -> ConfigUpdate {
        let Some(current) = &self.current else {
            return ConfigUpdate::Current;
        };
        let snapshot = || ConfigUpdate::Snapshot(current.clone());
        let Some(revision) = revision else {
            return snapshot();
        };
        if revision > current.revision {
            return ConfigUpdate::Current;
        }
        if self.digest_at(revision) != Some(digest) {
            return snapshot();
        }
        if revision == current.revision {
            return ConfigUpdate::Current;
        }
        let newer = self.deltas.iter().filter(|d| d.revision > revision);
        ConfigUpdate::Deltas(newer.cloned().collect())
    }

    /// Returns the digest of a revision from which the kept deltas lead to the current one.
    fn digest_at(&self, revision: Revision) -> Option<u64> {
        let current = self.current.as_ref()?;
        if revision == current.revision {
            return Some(current.digest);
        }
        if self
            .deltas
            .front()
            .is_some_and(|d| d.revision == revision.next())
        {
            return Some(self.base_digest);
        }
        let delta = self.deltas.iter().find(|d| d.revision == revision)?;
        Some(delta.digest)
    }
}

/// Returns the result of an update to the revision that the log already has.
const fn compare_digests(a: u64, b: u64) -> Advance {
    if a == b {
        Advance::Current
    } else {
        Advance::DigestMismatch
    }
}
