//! A process's copy of the configuration, which moves only upwards.

use std::collections::VecDeque;
use std::sync::Arc;

use derive_more::Display;
use kumquatkeel_types::Revision;
use kumquatkeel_types::document::{Delta, RawDocument};
use kumquatkeel_types::message::{ConfigUpdate, Snapshot};

/// Changes that a process keeps for those that are behind.
const MAX_DELTAS: usize = 64;

/// What an update did to a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Advance {
    /// The update holds nothing newer.
    #[display("nothing newer")]
    Current,
    /// The configuration is now at this revision.
    #[display("advanced to revision {_0}")]
    Advanced(Revision),
    /// The update is older than the configuration and was dropped.
    #[display("older than the configuration")]
    Stale,
    /// Changes between the configuration and the update are missing; a snapshot is needed.
    #[display("changes are missing")]
    Gap,
    /// The result does not have the digest that was committed; a snapshot is needed.
    #[display("the digest differs")]
    DigestMismatch,
}

/// A process's copy of the configuration and the latest changes that led to it.
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
    /// The digest of the revision before the oldest kept change.
    base: u64,
    deltas: VecDeque<Delta>,
}

impl ConfigLog {
    /// Returns the configuration, if there is one yet.
    pub const fn current(&self) -> Option<&Snapshot> {
        self.current.as_ref()
    }

    /// Returns the revision, if there is a configuration yet.
    pub fn revision(&self) -> Option<Revision> {
        self.current.as_ref().map(|c| c.revision)
    }

    /// Returns the digest; zero before the first configuration.
    pub fn digest(&self) -> u64 {
        self.current.as_ref().map_or(0, |c| c.digest)
    }

    /// Returns the kept changes, oldest first.
    pub fn deltas(&self) -> impl Iterator<Item = &Delta> {
        self.deltas.iter()
    }

    /// Takes an update in, if it leads upwards.
    pub fn advance(&mut self, update: &ConfigUpdate) -> Advance {
        match update {
            ConfigUpdate::Current => Advance::Current,
            ConfigUpdate::Snapshot(snapshot) => self.advance_to(snapshot),
            ConfigUpdate::Deltas(deltas) => self.advance_by(deltas),
        }
    }

    fn advance_to(&mut self, snapshot: &Snapshot) -> Advance {
        if let Some(current) = &self.current {
            if snapshot.revision < current.revision {
                return Advance::Stale;
            }
            if snapshot.revision == current.revision {
                return same_digest(snapshot.digest, current.digest);
            }
        }
        if snapshot.document.digest() != snapshot.digest {
            return Advance::DigestMismatch;
        }
        self.base = snapshot.digest;
        self.deltas.clear();
        self.current = Some(snapshot.clone());
        Advance::Advanced(snapshot.revision)
    }

    fn advance_by(&mut self, deltas: &[Delta]) -> Advance {
        let mut result = Advance::Current;
        for delta in deltas {
            match self.advance_once(delta) {
                Advance::Stale if result == Advance::Current => result = Advance::Stale,
                Advance::Current | Advance::Stale => {}
                Advance::Advanced(revision) => result = Advance::Advanced(revision),
                fault @ (Advance::Gap | Advance::DigestMismatch) => return fault,
            }
        }
        result
    }

    fn advance_once(&mut self, delta: &Delta) -> Advance {
        let Some(current) = &self.current else {
            return Advance::Gap;
        };
        if delta.revision < current.revision {
            return Advance::Stale;
        }
        if delta.revision == current.revision {
            return same_digest(delta.digest, current.digest);
        }
        if delta.revision != current.revision.next() {
            return Advance::Gap;
        }
        let document = current.document.with_delta(delta);
        if document.digest() != delta.digest {
            return Advance::DigestMismatch;
        }
        self.install(delta, document);
        Advance::Advanced(delta.revision)
    }

    fn install(&mut self, delta: &Delta, document: RawDocument) {
        self.deltas.push_back(delta.clone());
        if self.deltas.len() > MAX_DELTAS
            && let Some(oldest) = self.deltas.pop_front()
        {
            self.base = oldest.digest;
        }
        self.current = Some(Snapshot {
            revision: delta.revision,
            digest: delta.digest,
            document: Arc::new(document),
        });
    }

    /// Returns what leads a process at `revision` with `digest` to this configuration.
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

    /// Returns the digest of a revision from which the kept changes lead on.
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
            return Some(self.base);
        }
        let delta = self.deltas.iter().find(|d| d.revision == revision)?;
        Some(delta.digest)
    }
}

const fn same_digest(a: u64, b: u64) -> Advance {
    if a == b {
        Advance::Current
    } else {
        Advance::DigestMismatch
    }
}
