//! Commits and incarnations under each kind of store fault at each call.
//!
//! Guards against a commit that reports another outcome than the store holds, and against two
//! runs of a daemon with the same incarnation, when a write or its reply is lost.

#[path = "../../platform/tests/common/mod.rs"]
mod common;

use common::{CallFault, FakeStore};
use kumquatkeel_daemon::config::{
    CommitOutcome, ConfigError, Proposal, commit_document, raise_incarnation, read_config,
};
use kumquatkeel_platform::{ObjectKey, ObjectStore, Precondition, WriteId, WriteIdGenerator};
use kumquatkeel_types::document::{RawDocument, Region};
use kumquatkeel_types::message::Role;
use kumquatkeel_types::{DataCentreName, EntryName, Incarnation, RegionName, Revision};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use rstest::rstest;

fn ids(owner: &str) -> WriteIdGenerator {
    WriteIdGenerator::new(owner, &mut Pcg64::seed_from_u64(1))
}

/// A document with `count` regions whose names start with `name`.
fn document(name: &str, count: usize) -> RawDocument {
    let region = |i| Region {
        name: RegionName::try_from(format!("{name}-{i}")).unwrap(),
        data_centres: vec![DataCentreName::try_from(format!("centre-{name}-{i}")).unwrap()],
    };
    RawDocument {
        regions: (0..count).map(region).collect(),
        ..RawDocument::default()
    }
}

async fn commit(
    store: &FakeStore,
    ids: &WriteIdGenerator,
    document: &RawDocument,
    base: Option<u64>,
) -> Result<CommitOutcome, ConfigError> {
    let proposal = Proposal {
        document: document.clone(),
        base: base.map(Revision),
    };
    commit_document(store, ids, proposal).await
}

/// Returns the revision and the document in the store.
async fn stored(store: &FakeStore) -> Option<(Revision, RawDocument)> {
    let config = read_config(store).await.unwrap()?;
    let current = config.log.current().unwrap().clone();
    Some((current.revision, current.document.as_ref().clone()))
}

#[rstest]
#[tokio::test]
async fn a_commit_reports_its_true_outcome_under_every_fault(
    #[values(1, 2, 3, 4, 5, 6, 7)] call: u64,
    #[values(0, 1, 2, 3, 4)] fault: usize,
    #[values(true, false)] large: bool,
) {
    let store = FakeStore::default();
    let ids = ids("a");
    let before = document("old", 2);
    commit(&store, &ids, &before, None).await.unwrap();
    // A large change does not fit into the head, so the commit writes a snapshot.
    let after = document("new", if large { 1_000 } else { 3 });
    store.fail(call, CallFault::ALL[fault]);
    let outcome = commit(&store, &ids, &after, Some(1)).await;
    store.heal();
    let (revision, document) = stored(&store).await.unwrap();
    match outcome {
        Ok(CommitOutcome::Committed(committed)) => {
            assert_eq!(committed, Revision(2));
            assert_eq!((revision, document.digest()), (Revision(2), after.digest()));
        }
        Ok(other) => panic!("{other:?}"),
        Err(ConfigError::Store(_)) => assert_eq!((revision, document), (Revision(1), before)),
        Err(ConfigError::Unresolved(_)) => {}
        Err(other) => panic!("{other}"),
    }
    // A later commit succeeds after any fault.
    let next = crate::document("next", 1);
    let outcome = commit(&store, &ids, &next, Some(revision.0)).await.unwrap();
    assert_eq!(outcome, CommitOutcome::Committed(revision.next()));
}

#[tokio::test]
async fn the_second_of_two_operators_gets_a_conflict_with_the_first_ones_changes() {
    let store = FakeStore::default();
    let (a, b) = (ids("a"), ids("b"));
    commit(&store, &a, &document("old", 2), None).await.unwrap();
    commit(&store, &a, &document("first", 1), Some(1))
        .await
        .unwrap();
    let outcome = commit(&store, &b, &document("second", 1), Some(1))
        .await
        .unwrap();
    let CommitOutcome::Conflict(conflict) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(conflict.current, Some(Revision(2)));
    assert_eq!(conflict.theirs.len(), 1);
    assert_eq!(conflict.theirs[0].revision, Revision(2));
    assert_eq!(conflict.difference.changes.len(), 2);
    assert_eq!(stored(&store).await.unwrap().0, Revision(2));
}

#[tokio::test]
async fn an_invalid_document_makes_no_store_call() {
    let store = FakeStore::default();
    let mut invalid = document("old", 2);
    invalid.regions.push(invalid.regions[0].clone());
    let outcome = commit(&store, &ids("a"), &invalid, None).await;
    assert!(matches!(outcome, Err(ConfigError::Invalid(_))));
    assert_eq!(store.calls(), 0);
}

#[tokio::test]
async fn a_document_over_a_megabyte_is_split_and_read_back() {
    let store = FakeStore::default();
    let ids = ids("a");
    let large = document("a-region-with-quite-a-long-name-to-fill-the-parts", 12_000);
    commit(&store, &ids, &large, None).await.unwrap();
    let (_, read) = stored(&store).await.unwrap();
    assert_eq!(read.digest(), large.digest());
    assert!(store.list("config/snapshot/").await.unwrap().len() > 1);
}

#[tokio::test]
async fn old_snapshots_are_removed_and_the_head_stays_small() {
    let store = FakeStore::default();
    let ids = ids("a");
    commit(&store, &ids, &document("start", 1), None)
        .await
        .unwrap();
    for revision in 1..60 {
        let document = document(&format!("r{revision}"), 100);
        commit(&store, &ids, &document, Some(revision))
            .await
            .unwrap();
    }
    assert_eq!(stored(&store).await.unwrap().0, Revision(60));
    assert!(store.list("config/snapshot/").await.unwrap().len() <= 2);
    let head = store
        .get(&ObjectKey::from("config/head"))
        .await
        .unwrap()
        .unwrap();
    assert!(head.value.len() <= 32 << 10, "{}", head.value.len());
}

#[tokio::test]
async fn a_snapshot_with_a_wrong_digest_is_rejected() {
    let store = FakeStore::default();
    commit(&store, &ids("a"), &document("old", 2), None)
        .await
        .unwrap();
    let part = store.list("config/snapshot/").await.unwrap().remove(0);
    let other = serde_json::to_vec(&document("other", 2)).unwrap();
    let precondition = Precondition::Version(part.version);
    let write = WriteId::from("other");
    store
        .put(&part.key, precondition, &write, other.into())
        .await
        .unwrap();
    assert!(matches!(
        read_config(&store).await,
        Err(ConfigError::Corrupt { .. })
    ));
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn each_start_gets_a_higher_incarnation_under_every_fault(
    #[values(1, 2, 3, 4)] call: u64,
    #[values(0, 1, 2, 3, 4)] fault: usize,
) {
    let store = FakeStore::default();
    let role = Role::Entry(EntryName::try_from("a").unwrap());
    let mut last = Incarnation::default();
    for start in 1..5 {
        if start == 2 {
            store.fail(call, CallFault::ALL[fault]);
        }
        let ids = ids(&format!("start-{start}"));
        let raised = raise_incarnation(&store, &ids, &role, last).await.unwrap();
        assert!(raised > last);
        last = raised;
    }
    let above = raise_incarnation(&store, &ids("known"), &role, Incarnation(99)).await;
    assert_eq!(above.unwrap(), Incarnation(100));
}

/// The store has forgotten the starts since its copy was made.
#[tokio::test]
async fn a_start_after_a_restore_gets_an_incarnation_again() {
    let store = FakeStore::default();
    store.state_era(0);
    let role = Role::Entry(EntryName::try_from("a").unwrap());
    let (ids, known) = (ids("a"), Incarnation::default());
    let raise = || raise_incarnation(&store, &ids, &role, known);
    raise().await.unwrap();
    let copy = store.copy();
    let mut last = Incarnation::default();
    for _ in 0..3 {
        last = raise().await.unwrap();
    }
    store.restore(&copy);
    let next = raise().await.unwrap();
    assert!(next > last, "{next} after {last}");
}
