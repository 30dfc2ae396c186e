//! Conditional writes whose lost answers are settled by reading again.

use bytes::Bytes;

use crate::{
    Object, ObjectKey, ObjectStore, ObjectVersion, Precondition, StoreError, StoreFault, WriteId,
};

/// Times that a write is sent again after its answer was lost.
const MAX_RESENDS: u32 = 3;

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect.
    Written(ObjectVersion),
    /// The precondition did not hold; the write had no effect and never will.
    Conflict,
    /// An answer was lost and another write stands now: this write may have taken effect before
    /// that one. Only the content can tell.
    Superseded(Option<Object>),
}

/// Writes an object if the precondition holds, and settles a lost answer.
///
/// After a lost answer the object is read again. When it carries this write's id, the write took
/// effect. When it is unchanged, the write is sent again with the same id: of both copies the
/// store can accept only one.
///
/// # Errors
///
/// Returns the store's fault; with [`StoreFault::Unknown`] the write stays open.
pub async fn put_resolved(
    store: &dyn ObjectStore,
    key: &ObjectKey,
    precondition: Precondition,
    write: &WriteId,
    value: Bytes,
) -> Result<PutOutcome, StoreError> {
    let mut open: Option<StoreError> = None;
    for _ in 0..=MAX_RESENDS {
        let error = match store.put(key, precondition, write, value.clone()).await {
            Ok(version) => return Ok(PutOutcome::Written(version)),
            Err(error) => error,
        };
        let conflict = matches!(error.fault, StoreFault::Conflict { .. });
        if conflict && open.is_none() {
            return Ok(PutOutcome::Conflict);
        }
        if error.may_have_written() {
            open = Some(error);
        } else if !conflict {
            // Nothing was written by this copy, but an earlier one may have been.
            return Err(open.unwrap_or(error));
        }
        let Ok(current) = store.get(key).await else {
            break;
        };
        match judge(current.as_ref(), precondition, write) {
            Judgement::Written(version) => return Ok(PutOutcome::Written(version)),
            Judgement::Unchanged => {}
            Judgement::Replaced => return Ok(PutOutcome::Superseded(current)),
        }
    }
    Err(open.unwrap_or_else(|| StoreError::new("settle write", key.as_ref(), StoreFault::Unknown)))
}

/// What an object says about an open write.
enum Judgement {
    Written(ObjectVersion),
    Unchanged,
    Replaced,
}

fn judge(current: Option<&Object>, precondition: Precondition, write: &WriteId) -> Judgement {
    match (current, precondition) {
        (Some(object), _) if object.write == *write => Judgement::Written(object.version),
        (None, Precondition::Absent) => Judgement::Unchanged,
        (Some(object), Precondition::Version(version)) if object.version == version => {
            Judgement::Unchanged
        }
        _ => Judgement::Replaced,
    }
}
