//! Tests of the configuration log, the configuration head and the poll tree.
//!
//! Guards against a log that goes back to an older revision or takes over a configuration other
//! than the committed one, and against poll cycles, which would cut entries off from updates.

use std::sync::Arc;

use kumquatkeel_core::spread::{
    Advance, CatchUpStep, CommitPlan, ConfigHead, ConfigLog, FAN_OUT, PollTree, RELAYS_PER_CENTRE,
    Upstream, plan_commit,
};
use kumquatkeel_types::document::{Delta, RawDocument, Region};
use kumquatkeel_types::message::{ConfigUpdate, Snapshot};
use kumquatkeel_types::{DataCentreName, EntryName, RegionName, Revision};
use proptest::prelude::*;
use rstest::rstest;

/// Returns the document of a revision, which differs from that of every other revision.
fn document(revision: u64) -> RawDocument {
    let region = |i: u64| Region {
        name: RegionName::try_from(format!("region-{i}")).unwrap(),
        data_centres: Vec::new(),
    };
    RawDocument {
        regions: (revision.saturating_sub(3)..=revision)
            .map(region)
            .collect(),
        ..RawDocument::default()
    }
}

fn snapshot(revision: u64) -> ConfigUpdate {
    let document = document(revision);
    ConfigUpdate::Snapshot(Snapshot {
        revision: Revision(revision),
        digest: document.digest(),
        document: Arc::new(document),
    })
}

fn delta(revision: u64) -> Delta {
    let (old, new) = (document(revision - 1), document(revision));
    Delta::between(&old, &new, Revision(revision))
}

fn deltas(revisions: std::ops::RangeInclusive<u64>) -> ConfigUpdate {
    ConfigUpdate::Deltas(revisions.map(delta).collect())
}

fn log_at(revision: u64) -> ConfigLog {
    let mut log = ConfigLog::default();
    assert_eq!(
        log.advance(&snapshot(revision)),
        Advance::Advanced(Revision(revision))
    );
    log
}

#[rstest]
#[case::older_snapshot(snapshot(4), Advance::Stale, 5)]
#[case::same_snapshot(snapshot(5), Advance::Current, 5)]
#[case::newer_snapshot(snapshot(9), Advance::Advanced(Revision(9)), 9)]
#[case::older_deltas(deltas(3..=4), Advance::Stale, 5)]
#[case::overlapping_deltas(deltas(4..=7), Advance::Advanced(Revision(7)), 7)]
#[case::deltas_with_a_gap(deltas(7..=8), Advance::Gap, 5)]
#[case::nothing(ConfigUpdate::Current, Advance::Current, 5)]
fn a_log_advances_only_to_newer_revisions(
    #[case] update: ConfigUpdate,
    #[case] advance: Advance,
    #[case] revision: u64,
) {
    let mut log = log_at(5);
    assert_eq!(log.advance(&update), advance);
    assert_eq!(log.revision(), Some(Revision(revision)));
    assert_eq!(log.digest(), document(revision).digest());
}

#[rstest]
#[case::snapshot(false, 6)]
#[case::delta(true, 6)]
#[case::same_revision_other_content(false, 5)]
fn an_update_with_a_wrong_digest_is_rejected(#[case] by_delta: bool, #[case] revision: u64) {
    let mut log = log_at(5);
    let update = if by_delta {
        let mut delta = delta(revision);
        delta.changes.pop();
        ConfigUpdate::Deltas(vec![delta])
    } else {
        ConfigUpdate::Snapshot(Snapshot {
            revision: Revision(revision),
            digest: document(revision).digest() + u64::from(revision == 5),
            document: Arc::new(document(3)),
        })
    };
    assert_eq!(log.advance(&update), Advance::DigestMismatch);
    assert_eq!(log.digest(), document(5).digest());
}

#[test]
fn an_update_brings_every_log_to_the_current_configuration() {
    let mut relay = log_at(5);
    relay.advance(&deltas(6..=100));
    for revision in [5, 40, 99, 100] {
        let mut poller = log_at(revision);
        let update = relay.update_for(poller.revision(), poller.digest());
        poller.advance(&update);
        assert_eq!(poller.digest(), relay.digest(), "from {revision}");
    }
    let recent = relay.update_for(Some(Revision(98)), document(98).digest());
    assert!(matches!(recent, ConfigUpdate::Deltas(d) if d.len() == 2));
    let diverged = relay.update_for(Some(Revision(98)), 1);
    assert!(
        matches!(diverged, ConfigUpdate::Snapshot(_)),
        "an unknown digest requires a snapshot"
    );
    assert_eq!(
        relay.update_for(Some(Revision(200)), 1),
        ConfigUpdate::Current
    );
    assert!(matches!(
        relay.update_for(None, 0),
        ConfigUpdate::Snapshot(_)
    ));
}

proptest! {
    #[test]
    fn the_revision_never_decreases(
        updates in proptest::collection::vec((0..2u8, 1..12u64, 0..4u64), 1..40)
    ) {
        let mut log = ConfigLog::default();
        let mut last = Revision::default();
        for (kind, revision, extra) in updates {
            let update = if kind == 0 { snapshot(revision) } else { deltas(revision..=revision + extra) };
            log.advance(&update);
            let now = log.revision().unwrap_or_default();
            prop_assert!(now >= last);
            if now > Revision::default() {
                prop_assert_eq!(log.digest(), document(now.0).digest());
            }
            last = now;
        }
    }

    #[test]
    fn a_log_catches_up_with_the_head_from_any_revision(commits in 1..40u64, from in 1..40u64) {
        let mut head: Option<ConfigHead> = None;
        let mut log = ConfigLog::default();
        for revision in 1..=commits {
            head = match plan_commit(head.as_ref(), log.current(), &document(revision), Revision(revision)) {
                CommitPlan::Head(head) | CommitPlan::Snapshot { head, .. } => Some(head),
                CommitPlan::Unchanged => head,
            };
            log.advance(&snapshot(revision));
        }
        let head = head.unwrap();
        prop_assert_eq!(head.revision, Revision(commits));
        let mut reader = log_at(from.min(commits));
        match head.catch_up_step(&reader) {
            CatchUpStep::Apply(update) => { reader.advance(&update); }
            CatchUpStep::Fetch(reference) => {
                reader.advance(&snapshot(reference.revision.0));
                if let CatchUpStep::Apply(update) = head.catch_up_step(&reader) {
                    reader.advance(&update);
                }
            }
        }
        prop_assert_eq!(reader.digest(), head.digest);
    }
}

fn centre(number: usize) -> DataCentreName {
    DataCentreName::try_from(format!("centre-{number}")).unwrap()
}

fn entries(count: usize) -> Vec<(DataCentreName, EntryName)> {
    let entry = |i: usize| EntryName::try_from(format!("entry-{i}")).unwrap();
    (0..count).map(|i| (centre(i % 4), entry(i))).collect()
}

#[test]
fn the_fan_out_is_bounded_for_330_entries() {
    let all = entries(330);
    let tree = PollTree::new(all.iter().map(|(c, e)| (c, e)));
    let mut children = std::collections::BTreeMap::<EntryName, usize>::new();
    for (centre, entry) in &all {
        match tree.upstream_of_entry(centre, entry) {
            Upstream::Store { groups } => {
                let first = tree.relays(centre).first() == Some(entry);
                assert_eq!(groups.len(), if first { 4 } else { 1 });
            }
            Upstream::Entries(parents) => *children.entry(parents[0].clone()).or_default() += 1,
            Upstream::Unavailable => panic!("an entry is in its own tree"),
        }
    }
    assert!(children.values().all(|count| *count <= FAN_OUT));
    assert_eq!(
        children.values().sum::<usize>(),
        330 - 4 * RELAYS_PER_CENTRE
    );
}

#[test]
fn different_views_never_form_a_poll_cycle() {
    let all = entries(40);
    // Each entry sees a different subset of the others; a parent still precedes its children.
    let mut upstream = Vec::new();
    for (i, (centre, entry)) in all.iter().enumerate() {
        let known = all
            .iter()
            .enumerate()
            .filter(|(j, _)| *j == i || (i + j) % 3 != 0);
        let tree = PollTree::new(known.map(|(_, (c, e))| (c, e)));
        if let Upstream::Entries(parents) = tree.upstream_of_entry(centre, entry) {
            upstream.push((entry.clone(), parents[0].clone()));
        }
    }
    for (entry, _) in &upstream {
        let mut current = entry.clone();
        for _ in 0..=all.len() {
            match upstream.iter().find(|(child, _)| *child == current) {
                Some((_, parent)) => current = parent.clone(),
                None => break,
            }
        }
        assert!(
            upstream.iter().all(|(child, _)| *child != current),
            "{entry} is in a poll cycle"
        );
    }
}
