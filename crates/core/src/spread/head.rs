//! The head object in the store, whose conditional update commits a configuration.

use kumquatkeel_types::Revision;
use kumquatkeel_types::document::{Delta, RawDocument};
use kumquatkeel_types::message::{ConfigUpdate, Snapshot};
use serde::{Deserialize, Serialize};

use super::ConfigLog;

/// Maximum size of the head in bytes; beyond it, a commit writes a new snapshot.
///
/// Every relay reads the whole head at every commit, so the size bounds the traffic on its link.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum size of one part of a snapshot in bytes, as a value in the store is limited to 1 MB.
const PART_BYTES: usize = 900 << 10;

/// A reference to a snapshot in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The digest of the configuration.
    pub digest: u64,
    /// The number of parts.
    pub parts: u32,
}

impl SnapshotRef {
    /// Returns the keys of the parts, in order.
    ///
    /// The keys contain the digest, so that two operators who write different snapshots for the
    /// same revision do not overwrite each other's parts.
    pub fn keys(&self) -> impl Iterator<Item = String> {
        let Self {
            revision,
            digest,
            parts,
        } = *self;
        (0..parts).map(move |part| format!("config/snapshot/{revision}/{digest:016x}/{part}"))
    }
}

/// The committed configuration, as a reference to a snapshot and the deltas since.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The committed revision.
    pub revision: Revision,
    /// The digest of the configuration at this revision.
    pub digest: u64,
    /// The newest snapshot.
    pub snapshot: SnapshotRef,
    /// The snapshot before, kept for readers that still fetch it after reading an earlier head.
    pub previous: Option<SnapshotRef>,
    /// The latest deltas, oldest first, without a gap from the snapshot to the committed revision.
    pub deltas: Vec<Delta>,
}

/// The next step of a reader that catches up with the head.
#[derive(Debug, Clone, PartialEq)]
pub enum CatchUpStep {
    /// Apply this update to the log.
    Apply(ConfigUpdate),
    /// Fetch this snapshot and apply it, then ask for the next step.
    Fetch(SnapshotRef),
}

impl ConfigHead {
    /// Returns the next step by which `log` catches up with this head.
    pub fn catch_up_step(&self, log: &ConfigLog) -> CatchUpStep {
        let Some(revision) = log.revision() else {
            return CatchUpStep::Fetch(self.snapshot);
        };
        if revision >= self.revision {
            return CatchUpStep::Apply(ConfigUpdate::Current);
        }
        let reaches = self
            .deltas
            .first()
            .is_some_and(|d| d.revision <= revision.next());
        if !reaches {
            return CatchUpStep::Fetch(self.snapshot);
        }
        let newer = self.deltas.iter().filter(|d| d.revision > revision);
        CatchUpStep::Apply(ConfigUpdate::Deltas(newer.cloned().collect()))
    }

    /// Returns whether the configuration with `digest` was committed as `revision`.
    ///
    /// Only the revisions of the head and of its deltas are known.
    pub fn committed(&self, revision: Revision, digest: u64) -> bool {
        let matches = |r: Revision, d: u64| r == revision && d == digest;
        matches(self.revision, self.digest)
            || self.deltas.iter().any(|d| matches(d.revision, d.digest))
    }
}

/// The writes that commit a document.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitPlan {
    /// The document equals the committed one; nothing is written.
    Unchanged,
    /// Update the head.
    Head(ConfigHead),
    /// Write the parts of a snapshot, then update the head.
    Snapshot {
        /// The parts, in the order of [`SnapshotRef::keys`].
        parts: Vec<String>,
        /// The new head, which refers to the snapshot.
        head: ConfigHead,
    },
}

/// Plans the commit of `document` as `revision`.
///
/// `current` is the configuration at `head`. Without either, the plan is a snapshot, and so it is where
/// `revision` doesn't follow that of `head`, which is from before a restore of the store then: others may
/// hold later configurations than this one.
pub fn plan_commit(
    head: Option<&ConfigHead>,
    current: Option<&Snapshot>,
    document: &RawDocument,
    revision: Revision,
) -> CommitPlan {
    let (Some(head), Some(current)) = (head, current) else {
        return plan_snapshot(None, Vec::new(), revision, document);
    };
    if revision != head.revision.next() {
        return plan_snapshot(Some(head.snapshot), Vec::new(), revision, document);
    }
    let delta = Delta::between(&current.document, document, head.revision.next());
    if delta.changes.is_empty() {
        return CommitPlan::Unchanged;
    }
    let mut next = head.clone();
    next.revision = delta.revision;
    next.digest = delta.digest;
    next.deltas.push(delta);
    if encoded_bytes(&next) <= MAX_HEAD_BYTES {
        return CommitPlan::Head(next);
    }
    let deltas = trim_deltas(next.deltas);
    plan_snapshot(Some(head.snapshot), deltas, next.revision, document)
}

/// Plans a commit that writes a new snapshot.
fn plan_snapshot(
    previous: Option<SnapshotRef>,
    deltas: Vec<Delta>,
    revision: Revision,
    document: &RawDocument,
) -> CommitPlan {
    // The items are sorted by key, so that equal documents have equal parts.
    let sorted = RawDocument::from_items(document.items().into_values());
    let text = serde_json::to_string(&sorted).unwrap_or_default();
    let parts = split_parts(&text);
    let digest = document.digest();
    let snapshot = SnapshotRef {
        revision,
        digest,
        parts: parts.len() as u32,
    };
    CommitPlan::Snapshot {
        parts,
        head: ConfigHead {
            revision,
            digest,
            snapshot,
            previous,
            deltas,
        },
    }
}

/// Keeps the latest deltas within half of [`MAX_HEAD_BYTES`], and none if the last one exceeds it.
fn trim_deltas(deltas: Vec<Delta>) -> Vec<Delta> {
    let mut bytes = 0;
    let mut kept: Vec<_> = deltas
        .into_iter()
        .rev()
        .take_while(|delta| {
            bytes += encoded_bytes(delta);
            bytes <= MAX_HEAD_BYTES / 2
        })
        .collect();
    kept.reverse();
    kept
}

/// Splits a text into parts of at most [`PART_BYTES`], on character boundaries.
fn split_parts(text: &str) -> Vec<String> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut end = rest.len().min(PART_BYTES);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, tail) = rest.split_at(end);
        parts.push(part.into());
        rest = tail;
    }
    parts
}

/// Returns the size of the JSON encoding, or `usize::MAX` if encoding fails.
fn encoded_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len())
}
