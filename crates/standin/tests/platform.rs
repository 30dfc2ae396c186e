//! The stand-in of the platform honours the platform's guarantees (conditional writes, watches,
//! rate limits) and injects the faults that are set.
//!
//! Otherwise the tests that use it pass although the code relies on guarantees that the platform
//! doesn't give.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_platform::{
    HttpObjectStore, HttpOptions, InstanceList, InstanceRecord, InstanceState, ObjectKey,
    ObjectStore, ObjectVersion, Precondition, PutOutcome, StoreFault, WriteId, put_resolved,
};
use kumquatkeel_standin::platform::{CallFault, CallKind, MemoryStore, PlatformServer};
use rstest::rstest;

fn key() -> ObjectKey {
    ObjectKey::from("config/head")
}

async fn put(
    store: &MemoryStore,
    precondition: Precondition,
    value: &'static str,
) -> Result<ObjectVersion, StoreFault> {
    store
        .put(&key(), precondition, &WriteId::from(value), value.into())
        .await
        .map_err(|error| error.fault)
}

async fn value(store: &MemoryStore) -> Option<String> {
    let object = store.get(&key()).await.expect("reads")?;
    Some(String::from_utf8(object.value.to_vec()).expect("text"))
}

#[tokio::test(start_paused = true)]
async fn conditional_updates_let_one_of_two_writers_win() {
    let store = MemoryStore::new();
    let first = put(&store, Precondition::Absent, "a").await.expect("new");
    let second = put(&store, Precondition::Version(first), "b").await;
    let late = put(&store, Precondition::Version(first), "c").await;
    assert!(second.is_ok());
    assert_eq!(
        late,
        Err(StoreFault::Conflict {
            current: second.ok()
        })
    );
    assert_eq!(value(&store).await.as_deref(), Some("b"));
}

#[rstest]
#[case(CallFault::Unavailable, StoreFault::Unavailable, false)]
#[case(CallFault::RateLimited, StoreFault::RateLimited, false)]
#[case(CallFault::LostBefore, StoreFault::Unknown, false)]
#[case(CallFault::LostAfter, StoreFault::Unknown, true)]
#[tokio::test(start_paused = true)]
async fn a_scripted_fault_is_injected_into_its_put(
    #[case] fault: CallFault,
    #[case] expected: StoreFault,
    #[case] written: bool,
) {
    let store = MemoryStore::new();
    store.faults().script(CallKind::Put, 1, fault);
    assert_eq!(put(&store, Precondition::Absent, "a").await, Err(expected));
    assert_eq!(value(&store).await.is_some(), written);
}

#[tokio::test(start_paused = true)]
async fn a_delayed_write_still_checks_its_precondition() {
    let store = MemoryStore::new();
    let late = CallFault::LateEffect(Duration::from_secs(5));
    store.faults().script(CallKind::Put, 1, late);
    assert!(put(&store, Precondition::Absent, "late").await.is_err());
    put(&store, Precondition::Absent, "early")
        .await
        .expect("new");
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(value(&store).await.as_deref(), Some("early"));
}

#[tokio::test(start_paused = true)]
async fn an_outage_of_one_link_does_not_affect_other_clients() {
    let store = MemoryStore::new();
    let isolated = store.client();
    isolated.link().set_outage(true);
    assert_eq!(
        put(&isolated, Precondition::Absent, "a").await,
        Err(StoreFault::Unavailable)
    );
    assert!(put(&store, Precondition::Absent, "a").await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_watch_returns_on_a_change_and_fails_after_compaction() {
    let store = MemoryStore::new();
    let watcher = store.clone();
    let wait = Duration::from_secs(30);
    let watch = tokio::spawn(async move { watcher.watch("config/", ObjectVersion(0), wait).await });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let version = put(&store, Precondition::Absent, "a").await.expect("new");
    let reply = watch.await.expect("joins").expect("watches");
    assert_eq!((reply.objects.len(), reply.version), (1, version));

    let newer = put(&store, Precondition::Version(version), "b").await;
    store.compact();
    let gap = store.watch("config/", version, wait).await;
    assert_eq!(gap.expect_err("gap").fault, StoreFault::WatchGap);
    assert!(
        store
            .watch("config/", newer.expect("newer"), wait)
            .await
            .is_ok()
    );
    let relisted = store.watch("config/", ObjectVersion(0), wait).await;
    assert_eq!(relisted.expect("lists").objects.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn reads_and_writes_are_rate_limited_separately() {
    let store = MemoryStore::new();
    store.set_limits(2, 1);
    assert!(put(&store, Precondition::Absent, "a").await.is_ok());
    assert_eq!(
        put(&store, Precondition::Absent, "b").await,
        Err(StoreFault::RateLimited)
    );
    assert_eq!(value(&store).await.as_deref(), Some("a"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let again = put(&store, Precondition::Absent, "b").await;
    assert!(matches!(again, Err(StoreFault::Conflict { .. })));
    assert_eq!((store.calls().writes(), store.calls().reads()), (3, 1));
}

#[tokio::test(start_paused = true)]
async fn a_new_list_of_instances_is_visible_after_the_lag() {
    let store = MemoryStore::new();
    store.set_instance_lag(Duration::from_secs(10));
    store.set_instances([InstanceRecord {
        name: "i-1".try_into().expect("name"),
        data_centre: "amman-a".try_into().expect("name"),
        state: InstanceState::Leaving,
    }]);
    assert!(store.instances().await.expect("reads").is_empty());
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(store.instances().await.expect("reads").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_write_that_takes_effect_while_it_is_sent_again_is_found() {
    let store = MemoryStore::new();
    let late = CallFault::LateEffect(Duration::from_millis(5));
    store.faults().script(CallKind::Put, 1, late);
    store.faults().set_read_delay(Duration::from_millis(1));
    store.faults().set_write_delay(Duration::from_millis(10));
    let write = WriteId::from("w1");
    let outcome = put_resolved(&store, &key(), Precondition::Absent, &write, "a".into()).await;
    assert!(matches!(outcome, Ok(PutOutcome::Written(_))), "{outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn a_restored_store_gives_versions_out_again_in_a_later_era() {
    let store = MemoryStore::new();
    let other = store.client();
    store.state_era(3);
    let first = put(&store, Precondition::Absent, "a").await.expect("new");
    let copy = store.copy();
    let second = put(&store, Precondition::Version(first), "b").await;
    let second = second.expect("current");
    put(&store, Precondition::Version(second), "c")
        .await
        .expect("current");
    let watcher = store.clone();
    let wait = Duration::from_secs(30);
    let watch = async move { watcher.watch("config/", ObjectVersion(3), wait).await };
    let watch = tokio::spawn(watch);
    tokio::time::sleep(Duration::from_secs(1)).await;

    store.restore(copy);
    let gap = watch.await.expect("joins").expect_err("gap");
    assert_eq!(gap.fault, StoreFault::WatchGap);
    assert_eq!(value(&store).await.as_deref(), Some("a"));
    assert_eq!(store.era().stated(), Some(4));
    assert_eq!(other.era().stated(), None, "no answer yet");
    let again = put(&store, Precondition::Version(first), "d").await;
    assert_eq!(again, Ok(second));
}

#[tokio::test]
async fn the_era_is_stated_over_http() {
    let store = MemoryStore::new();
    store.state_era(7);
    let server = PlatformServer::start(([127, 0, 0, 1], 0).into(), store.clone()).expect("starts");
    let client = HttpObjectStore::new(server.address(), HttpOptions::default(), Arc::default());
    assert_eq!(client.get(&key()).await.expect("reads"), None);
    assert_eq!(client.era().stated(), Some(7));
    let copy = store.copy();
    store.restore(copy);
    client.list("config/").await.expect("lists");
    assert_eq!(client.era().stated(), Some(8));
    server.stop().await;
}
