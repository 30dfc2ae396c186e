//! Commit of a configuration document by one conditional write of the head.

use bytes::Bytes;
use kumquatkeel_core::spread::{CommitPlan, ConfigHead, plan_commit};
use kumquatkeel_core::store::StoreEra;
use kumquatkeel_platform::{
    ObjectKey, ObjectStore, Precondition, PutOutcome, StoreError, StoreFault, WriteIdGenerator,
    put_resolved,
};
use kumquatkeel_types::Revision;
use kumquatkeel_types::document::{Delta, Document, RawDocument};
use kumquatkeel_types::message::Snapshot;
use log::{info, warn};

use super::{ConfigError, StoredConfig, head_key, read_config};

/// Most attempts of one commit; each further one needs the outcome of the last from the store.
const MAX_TRIES: u32 = 3;

/// A document that an operator wants to commit.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The new document in full.
    pub document: RawDocument,
    /// The revision that the operator edited; `None` for the first document.
    pub base: Option<Revision>,
}

/// Outcome of a commit that the store answered.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The document is committed as this revision.
    Committed(Revision),
    /// The document equals the one in force, which has this revision.
    Unchanged(Revision),
    /// The configuration has changed since the proposal's base; the document is not in force.
    Conflict(Box<ConfigConflict>),
}

/// Difference between a proposal and a configuration that has changed since its base.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigConflict {
    /// The revision in force; `None` when there is no configuration.
    pub current: Option<Revision>,
    /// The changes committed since the proposal's base, as far back as they are kept.
    pub theirs: Vec<Delta>,
    /// The changes that lead from the configuration in force to the proposal.
    pub difference: Delta,
}

/// Validates a document in full and commits it by one conditional write of the head.
///
/// # Errors
///
/// Returns all faults of the document, the store's error, or [`ConfigError::Unresolved`] when the
/// outcome of the commit is unknown.
pub async fn commit_document(
    store: &dyn ObjectStore,
    ids: &WriteIdGenerator,
    proposal: Proposal,
) -> Result<CommitOutcome, ConfigError> {
    Document::try_from(proposal.document.clone())?;
    for _ in 0..MAX_TRIES {
        let current = read_config(store).await?;
        let revision = current.as_ref().map(|c| c.head.revision);
        if revision != proposal.base {
            return Ok(conflict_outcome(current.as_ref(), &proposal));
        }
        let outcome = commit_once(store, ids, current.as_ref(), &proposal.document).await?;
        if let Some(outcome) = outcome {
            return Ok(outcome);
        }
    }
    let current = read_config(store).await?;
    Ok(conflict_outcome(current.as_ref(), &proposal))
}

/// Commits the configuration that a daemon holds again, if the store has forgotten it in a restore;
/// returns the new revision.
///
/// # Errors
///
/// Returns the store's error, or [`ConfigError::Unresolved`] when the outcome of the commit is unknown.
pub async fn restore_document(
    store: &dyn ObjectStore,
    ids: &WriteIdGenerator,
    held: &Snapshot,
) -> Result<Option<Revision>, ConfigError> {
    let current = read_config(store).await?;
    let stored = current.as_ref().map(|c| c.head.revision);
    if !is_forgotten(store.era(), stored, held.revision) {
        return Ok(None);
    }
    match commit_once(store, ids, current.as_ref(), &held.document).await? {
        Some(CommitOutcome::Committed(revision)) => Ok(Some(revision)),
        Some(CommitOutcome::Unchanged(_) | CommitOutcome::Conflict(_)) | None => Ok(None),
    }
}

/// Returns whether the store has lost the held configuration in a restore: it has none, or an earlier one
/// that was not committed since.
fn is_forgotten(era: StoreEra, stored: Option<Revision>, held: Revision) -> bool {
    let is_earlier = |stored: Revision| stored < held && !era.is_current(stored.0);
    era.stated().is_some() && stored.is_none_or(is_earlier)
}

/// Makes one attempt to commit a document over `current`; returns `None` when another commit came first.
async fn commit_once(
    store: &dyn ObjectStore,
    ids: &WriteIdGenerator,
    current: Option<&StoredConfig>,
    document: &RawDocument,
) -> Result<Option<CommitOutcome>, ConfigError> {
    let era = store.era();
    let head = current.map(|c| &c.head);
    let snapshot = current.and_then(|c| c.log.current());
    let last = head.map_or(Revision::default(), |head| head.revision);
    let version = current.map_or(0, |c| c.version.into());
    let revision = Revision(era.next_number(last.0, version));
    let next = match plan_commit(head, snapshot, document, revision) {
        CommitPlan::Unchanged => return Ok(Some(CommitOutcome::Unchanged(last))),
        CommitPlan::Head(head) => head,
        CommitPlan::Snapshot { parts, head } => {
            write_parts(store, ids, &head, parts).await?;
            head
        }
    };
    let precondition = current.map_or(Precondition::Absent, |c| Precondition::Version(c.version));
    let outcome = write_head(store, ids, precondition, &next).await?;
    if store.era() != era {
        let fault = StoreFault::Unknown;
        let error = StoreError::new("commit over a restore", head_key().as_ref(), fault);
        return Err(ConfigError::Unresolved(error));
    }
    match outcome {
        PutOutcome::Written(_) => {
            info!(target: "config", "config: committed revision {}", next.revision);
            remove_old_snapshot(store, head, &next).await;
            Ok(Some(CommitOutcome::Committed(next.revision)))
        }
        PutOutcome::Conflict => Ok(None),
        PutOutcome::Superseded(_) => {
            let stored = read_config(store).await?;
            let is_committed =
                stored.is_some_and(|c| c.head.committed(next.revision, document.digest()));
            Ok(is_committed.then_some(CommitOutcome::Committed(next.revision)))
        }
    }
}

/// Returns the outcome of a proposal whose base is no longer in force: a conflict, or
/// [`CommitOutcome::Unchanged`] when the document in force equals the proposal.
fn conflict_outcome(current: Option<&StoredConfig>, proposal: &Proposal) -> CommitOutcome {
    let snapshot = current.and_then(|c| c.log.current());
    let empty = RawDocument::default();
    let document = snapshot.map_or(&empty, |s| &*s.document);
    let revision = snapshot.map(|s| s.revision);
    let next = revision.unwrap_or_default().next();
    let difference = Delta::between(document, &proposal.document, next);
    if difference.changes.is_empty()
        && let Some(revision) = revision
    {
        return CommitOutcome::Unchanged(revision);
    }
    let deltas = current.iter().flat_map(|c| &c.head.deltas);
    let theirs = deltas.filter(|d| proposal.base.is_none_or(|base| d.revision > base));
    CommitOutcome::Conflict(Box::new(ConfigConflict {
        current: revision,
        theirs: theirs.cloned().collect(),
        difference,
    }))
}

/// Writes the head; an error says whether the write may have taken effect.
async fn write_head(
    store: &dyn ObjectStore,
    ids: &WriteIdGenerator,
    precondition: Precondition,
    head: &ConfigHead,
) -> Result<PutOutcome, ConfigError> {
    let value = serde_json::to_vec(head).map_err(|error| {
        ConfigError::corrupt("encode head", head_key().as_ref(), error.to_string())
    })?;
    put_resolved(
        store,
        &head_key(),
        precondition,
        &ids.next_id(),
        value.into(),
    )
    .await
    .map_err(|error| {
        if error.may_have_written() {
            ConfigError::Unresolved(error)
        } else {
            ConfigError::Store(error)
        }
    })
}

/// Writes the parts of a snapshot; a part that already exists has the same content.
async fn write_parts(
    store: &dyn ObjectStore,
    ids: &WriteIdGenerator,
    head: &ConfigHead,
    parts: Vec<String>,
) -> Result<(), ConfigError> {
    for (key, part) in head.snapshot.keys().zip(parts) {
        let key = ObjectKey::from(key);
        let write = ids.next_id();
        put_resolved(store, &key, Precondition::Absent, &write, Bytes::from(part)).await?;
    }
    Ok(())
}

/// Removes the snapshot before the previous one, which no reader needs any more.
///
/// A failure leaves it in the store and is only logged.
async fn remove_old_snapshot(
    store: &dyn ObjectStore,
    before: Option<&ConfigHead>,
    now: &ConfigHead,
) {
    let Some(before) = before else { return };
    if before.snapshot == now.snapshot {
        return;
    }
    let Some(old) = before.previous else { return };
    for key in old.keys() {
        let key = ObjectKey::from(key);
        let removed = match store.get(&key).await {
            Ok(Some(object)) => store.remove(&key, object.version).await,
            Ok(None) => Ok(()),
            Err(error) => Err(error),
        };
        if let Err(error) = removed {
            warn!(target: "config", "config: removing old snapshot part {key} failed: {error}");
        }
    }
}
