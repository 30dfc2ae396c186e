//! Conditional writes with lost answers and other faults of the store.
//!
//! The tests guard against a write that is reported with the wrong outcome after a fault: as written
//! when it is not stored, or as a conflict when it took effect itself.

mod common;

use bytes::Bytes;
use common::{CallFault, FakeStore};
use kumquatkeel_platform::{
    ObjectKey, ObjectStore, Precondition, PutOutcome, StoreFault, WriteId, put_resolved,
};
use rstest::rstest;

async fn put(
    store: &FakeStore,
    id: &str,
    precondition: Precondition,
) -> Result<PutOutcome, StoreFault> {
    let key = ObjectKey::from("a");
    let value = Bytes::from(id.to_owned());
    put_resolved(store, &key, precondition, &WriteId::from(id), value)
        .await
        .map_err(|e| e.fault)
}

async fn stored_write_id(store: &FakeStore) -> Option<String> {
    let object = store.get(&ObjectKey::from("a")).await.unwrap();
    object.map(|o| o.write.to_string())
}

#[rstest]
#[tokio::test]
async fn the_reported_outcome_matches_the_store(
    #[values(0, 1, 2, 3)] first: u64,
    #[values(0, 1, 2, 3)] second: u64,
    #[values(0, 1, 2, 3, 4)] fault: usize,
    #[values(0, 1, 2, 3, 4)] other: usize,
) {
    let store = FakeStore::default();
    if first > 0 {
        store.fail(first, CallFault::ALL[fault]);
    }
    if second > first {
        store.fail(second, CallFault::ALL[other]);
    }
    let outcome = put(&store, "one", Precondition::Absent).await;
    store.heal();
    let stored = stored_write_id(&store).await;
    match outcome {
        Ok(PutOutcome::Written(_)) => assert_eq!(stored.as_deref(), Some("one")),
        Ok(PutOutcome::Conflict | PutOutcome::Superseded(_)) => panic!("there is no other writer"),
        Err(StoreFault::Unavailable | StoreFault::RateLimited) => assert_eq!(stored, None),
        Err(_) => {}
    }
}

#[tokio::test]
async fn a_lost_answer_is_resolved_by_the_write_id() {
    let store = FakeStore::default();
    store.fail(1, CallFault::LostAfter);
    let outcome = put(&store, "one", Precondition::Absent).await;
    assert!(matches!(outcome, Ok(PutOutcome::Written(_))));
    assert_eq!(store.puts(), 1);
}

#[tokio::test]
async fn a_delayed_copy_counts_as_the_same_write() {
    let store = FakeStore::default();
    // The answer to the second copy, the third call, is lost. The copy takes effect when the object is
    // read after it.
    store.fail(1, CallFault::LostBefore);
    store.fail(3, CallFault::Delayed);
    let outcome = put(&store, "one", Precondition::Absent).await;
    assert!(matches!(outcome, Ok(PutOutcome::Written(_))));
}

#[tokio::test]
async fn another_write_causes_a_conflict_or_supersedes() {
    let store = FakeStore::default();
    let first = put(&store, "one", Precondition::Absent).await;
    assert!(matches!(first, Ok(PutOutcome::Written(_))));
    assert_eq!(
        put(&store, "two", Precondition::Absent).await,
        Ok(PutOutcome::Conflict)
    );
    store.fail(1, CallFault::LostBefore);
    let third = put(&store, "three", Precondition::Absent).await;
    assert!(matches!(third, Ok(PutOutcome::Superseded(Some(_)))));
}

/// The restored store has another object at the version that the write is to replace.
#[tokio::test]
async fn a_write_without_an_answer_is_sent_again_into_a_restored_store() {
    let (store, other) = (FakeStore::default(), FakeStore::default());
    store.state_era(1);
    let version = put(&store, "known", Precondition::Absent).await.unwrap();
    assert_eq!(
        put(&other, "unseen", Precondition::Absent).await.unwrap(),
        version
    );
    let PutOutcome::Written(version) = version else {
        panic!("{version:?}");
    };
    store.fail(1, CallFault::LostBefore);
    store.restore_at(2, other.copy());
    let outcome = put(&store, "late", Precondition::Version(version)).await;
    assert_eq!(outcome, Err(StoreFault::Unknown));
    assert_eq!(stored_write_id(&store).await.as_deref(), Some("unseen"));
}
