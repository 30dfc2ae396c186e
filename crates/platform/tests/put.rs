//! Conditional writes under every fault of the store.

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

async fn written(store: &FakeStore) -> Option<String> {
    let object = store.get(&ObjectKey::from("a")).await.unwrap();
    object.map(|o| o.write.to_string())
}

#[rstest]
#[tokio::test]
async fn a_settled_write_tells_the_truth(
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
    let settled = put(&store, "one", Precondition::Absent).await;
    store.heal();
    let stands = written(&store).await;
    match settled {
        Ok(PutOutcome::Written(_)) => assert_eq!(stands.as_deref(), Some("one")),
        Ok(PutOutcome::Conflict | PutOutcome::Superseded(_)) => panic!("nobody else wrote"),
        Err(StoreFault::Unavailable | StoreFault::RateLimited) => assert_eq!(stands, None),
        Err(_) => {}
    }
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_the_write_id() {
    let store = FakeStore::default();
    store.fail(1, CallFault::LostAfter);
    let settled = put(&store, "one", Precondition::Absent).await;
    assert!(matches!(settled, Ok(PutOutcome::Written(_))));
    assert_eq!(store.puts(), 1);
}

#[tokio::test]
async fn a_late_copy_is_taken_for_the_write_itself() {
    let store = FakeStore::default();
    // The first copy lands just before the second, which then meets a conflict.
    store.fail(1, CallFault::LostBefore);
    store.fail(3, CallFault::Late);
    let settled = put(&store, "one", Precondition::Absent).await;
    assert!(matches!(settled, Ok(PutOutcome::Written(_))));
}

#[tokio::test]
async fn another_write_is_a_conflict_or_supersedes() {
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
