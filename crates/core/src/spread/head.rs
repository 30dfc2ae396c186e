//! The object in the store whose conditional update commits a configuration.

use kumquatkeel_types::Revision;
use kumquatkeel_types::document::{Delta, RawDocument};
use kumquatkeel_types::message::{ConfigUpdate, Snapshot};
use serde::{Deserialize, Serialize};

use super::ConfigLog;

/// Size of the head at which a new snapshot is written, in bytes.
///
/// Each relay reads the whole head at each change, so that this bounds its share of the link.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// Size of one part of a snapshot, in bytes; a value in the store holds up to a megabyte.
const PART_BYTES: usize = 900 << 10;

/// Names a snapshot in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// The configuration's revision.
    pub revision: Revision,
    /// The configuration's digest.
    pub digest: u64,
    /// The parts that it was split into.
    pub parts: u32,
}

impl SnapshotRef {
    /// Returns the keys of the parts, in order.
    ///
    /// The digest is in the key, so that two operators who write a snapshot of the same revision
    /// can't overwrite each other's.
    pub fn keys(&self) -> impl Iterator<Item = String> {
        let Self {
            revision,
            digest,
            parts,
        } = *self;
        (0..parts).map(move |part| format!("config/snapshot/{revision}/{digest:016x}/{part}"))
    }
}

/// The committed configuration: a snapshot and the changes since.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The revision in force.
    pub revision: Revision,
    /// The digest of that configuration.
    pub digest: u64,
    /// The newest snapshot.
    pub snapshot: SnapshotRef,
    /// The snapshot before, kept for readers that are still on their way to it.
    pub previous: Option<SnapshotRef>,
    /// The latest changes, oldest first; they reach back at least to the snapshot.
    pub deltas: Vec<Delta>,
}

/// How a reader of the head gets on.
#[derive(Debug, Clone, PartialEq)]
pub enum CatchUpStep {
    /// The reader applies this.
    Apply(ConfigUpdate),
    /// The reader gets this snapshot first.
    Fetch(SnapshotRef),
}

impl ConfigHead {
    /// Says how a process with `log` gets to this head.
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

    /// Says whether a change to `digest` was committed as `revision`.
    pub fn committed(&self, revision: Revision, digest: u64) -> bool {
        let is = |r: Revision, d: u64| r == revision && d == digest;
        is(self.revision, self.digest) || self.deltas.iter().any(|d| is(d.revision, d.digest))
    }
}

/// What commits a document.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitPlan {
    /// The document is the one in force.
    Unchanged,
    /// The head is updated.
    Head(ConfigHead),
    /// The parts of a snapshot are written, then the head is updated.
    Snapshot {
        /// The parts, in the order of their keys.
        parts: Vec<String>,
        /// The head.
        head: ConfigHead,
    },
}

/// Plans the commit of `document` after the configuration in force.
pub fn plan_commit(
    head: Option<&ConfigHead>,
    current: Option<&Snapshot>,
    document: &RawDocument,
) -> CommitPlan {
    let (Some(head), Some(current)) = (head, current) else {
        return plan_snapshot(None, Vec::new(), Revision(1), document);
    };
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
    let deltas = trim(next.deltas);
    plan_snapshot(Some(head.snapshot), deltas, next.revision, document)
}

fn plan_snapshot(
    previous: Option<SnapshotRef>,
    deltas: Vec<Delta>,
    revision: Revision,
    document: &RawDocument,
) -> CommitPlan {
    // Items in the order of their keys: equal documents have equal parts.
    let sorted = RawDocument::from_items(document.items().into_values());
    let text = serde_json::to_string(&sorted).unwrap_or_default();
    let parts = split(&text);
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

/// Keeps the latest changes up to half of the head's size, and none when the last is larger.
fn trim(deltas: Vec<Delta>) -> Vec<Delta> {
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

/// Splits a text into parts that each fit into one value.
fn split(text: &str) -> Vec<String> {
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

fn encoded_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len())
}
