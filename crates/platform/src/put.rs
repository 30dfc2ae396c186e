//! Conditional writes that resolve a lost answer by reading the object again.

use bytes::Bytes;

use crate::{
    Object, ObjectKey, ObjectStore, ObjectVersion, Precondition, StoreError, StoreFault, WriteId,
};

/// Number of times that a write is sent again when its outcome is unknown.
const MAX_RESENDS: u32 = 3;

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect and created this version.
    Written(ObjectVersion),
    /// The precondition did not hold; the write had no effect and never will.
    Conflict,
    /// An answer was lost and the object now has another write's version, or none. This write may have
    /// taken effect before; the caller must decide from the content.
    Superseded(Option<Object>),
}

/// Writes an object if the precondition holds, and resolves the outcome after a lost answer.
///
/// A store that is restored meanwhile may show another object at the same version, so that nothing is sent
/// again then.
///
/// After a lost answer the object is read again. When it carries this write's id, the write took
/// effect. When it is unchanged, the write is sent again with the same id and precondition, of which
/// the store can accept only one copy.
///
/// # Errors
///
/// Returns the store's error; when [`StoreError::may_have_written`] holds, as for
/// [`StoreFault::Unknown`], the outcome of the write is unknown.
pub async fn put_resolved(
    store: &dyn ObjectStore,
    key: &ObjectKey,
    precondition: Precondition,
    write: &WriteId,
    value: Bytes,
) -> Result<PutOutcome, StoreError> {
    let era = store.era();
    let mut unresolved: Option<StoreError> = None;
    for _ in 0..=MAX_RESENDS {
        let error = match store.put(key, precondition, write, value.clone()).await {
            Ok(version) => return Ok(PutOutcome::Written(version)),
            Err(error) => error,
        };
        let conflict = matches!(error.fault, StoreFault::Conflict { .. });
        if conflict && unresolved.is_none() {
            return Ok(PutOutcome::Conflict);
        }
        if error.may_have_written() {
            unresolved = Some(error);
        } else if !conflict {
            // This copy wrote nothing, but an earlier one may have taken effect.
            return Err(unresolved.unwrap_or(error));
        }
        let Ok(current) = store.get(key).await else {
            break;
        };
        if era.stated().is_some() && store.era() != era {
            break;
        }
        match classify(current.as_ref(), precondition, write) {
            StoredState::Written(version) => return Ok(PutOutcome::Written(version)),
            StoredState::Unchanged => {}
            StoredState::Replaced => return Ok(PutOutcome::Superseded(current)),
        }
    }
    Err(unresolved
        .unwrap_or_else(|| StoreError::new("confirm write", key.as_ref(), StoreFault::Unknown)))
}

/// State of an object relative to a write whose outcome is unknown.
enum StoredState {
    Written(ObjectVersion),
    Unchanged,
    Replaced,
}

fn classify(current: Option<&Object>, precondition: Precondition, write: &WriteId) -> StoredState {
    match (current, precondition) {
        (Some(object), _) if object.write == *write => StoredState::Written(object.version),
        (None, Precondition::Absent) => StoredState::Unchanged,
        (Some(object), Precondition::Version(version)) if object.version == version => {
            StoredState::Unchanged
        }
        _ => StoredState::Replaced,
    }
}
