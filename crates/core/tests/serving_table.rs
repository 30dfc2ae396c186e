//! The set of usable targets: incarnations at one address, removals, and records that expire during
//! an outage of the target list.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    Acceptance, TableChange, Target, TargetId, TargetState, TargetTable,
};
use kumquatkeel_types::Timestamp;

fn target(id: &str, port: u16, born: u64) -> Target {
    Target {
        id: TargetId::from(id),
        service: Arc::from("assist"),
        version: "v1".into(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: Arc::from("a"),
        slots: 4,
        state: TargetState::Ready,
        born,
        models: Vec::new(),
    }
}

fn ready(table: &TargetTable) -> Vec<&str> {
    table
        .ready("assist")
        .iter()
        .map(|t| t.id.as_str())
        .collect()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn the_newest_incarnation_of_an_address_is_used_in_any_list_order() {
    for listed in [[("new", 200), ("old", 100)], [("old", 100), ("new", 200)]] {
        let mut table = TargetTable::default();
        for (id, born) in listed {
            table.apply(TableChange::Listed(target(id, 1, born)), at(0));
        }
        assert_eq!(ready(&table), ["new"]);
        table.apply(TableChange::Removed(TargetId::from("old")), at(100));
        assert_eq!(ready(&table), ["new"]);
    }
}

#[test]
fn a_removal_takes_effect_at_once() {
    let mut table = TargetTable::default();
    table.apply(TableChange::Listed(target("one", 1, 1)), at(0));
    table.apply(TableChange::Removed(TargetId::from("one")), at(10));
    assert!(ready(&table).is_empty());
}

#[test]
fn a_stale_entry_does_not_bring_a_leaving_target_back() {
    let mut table = TargetTable::default();
    let leaving = target("one", 1, 2);
    table.apply(TableChange::Listed(leaving.clone()), at(0));
    assert!(table.record_leaving(&leaving.incarnation(), at(0)));
    assert!(!table.record_leaving(&leaving.incarnation(), at(0)));
    let mut changed = leaving.clone();
    changed.models = vec![Arc::from("m")];
    for listed in [changed, target("one", 1, 1)] {
        table.apply(TableChange::Listed(listed), at(10));
        assert!(ready(&table).is_empty());
    }
    table.apply(TableChange::Listed(target("one", 1, 3)), at(20));
    assert_eq!(ready(&table), ["one"]);
}

#[test]
fn a_target_that_leaves_stays_out_of_use_when_it_is_listed_again() {
    let leaving = target("one", 1, 2);
    let remove = |table: &mut TargetTable| {
        table.apply(TableChange::Removed(leaving.id.clone()), at(100));
    };
    let lapse = |table: &mut TargetTable| {
        table.record_outage(at(50));
        table.apply(TableChange::Removed(leaving.id.clone()), at(100));
        assert_eq!(table.expire(at(2_400)), std::slice::from_ref(&leaving.id));
    };
    let replace = |table: &mut TargetTable| {
        table.replace(vec![target("two", 2, 1)], at(100));
    };
    let goes: [&dyn Fn(&mut TargetTable); 3] = [&remove, &lapse, &replace];
    for go in goes {
        let mut table = TargetTable::default();
        table.apply(TableChange::Listed(leaving.clone()), at(0));
        table.record_leaving(&leaving.incarnation(), at(10));
        go(&mut table);
        table.apply(TableChange::Listed(leaving.clone()), at(3_000));
        assert!(!ready(&table).contains(&"one"));
        table.apply(TableChange::Listed(target("one", 1, 3)), at(3_100));
        assert!(ready(&table).contains(&"one"));
    }
}

#[test]
fn a_statement_counts_for_the_incarnation_that_was_asked_listed_or_not() {
    let (former, next) = (target("one", 1, 1), target("one", 1, 2));
    let mut table = TargetTable::default();
    table.record_leaving(&former.incarnation(), at(0));
    table.apply(TableChange::Listed(former.clone()), at(10));
    assert!(ready(&table).is_empty());
    table.apply(TableChange::Listed(next.clone()), at(20));
    table.record_leaving(&former.incarnation(), at(30));
    assert_eq!(ready(&table), ["one"]);
    table.record_leaving(&next.incarnation(), at(40));
    assert!(ready(&table).is_empty());
}

#[test]
fn a_removed_target_does_not_come_back_with_a_restored_copy() {
    let (removed, other) = (target("one", 1, 1), target("two", 2, 1));
    let mut table = TargetTable::default();
    table.replace(vec![removed.clone(), other.clone()], at(0));
    table.apply(TableChange::Removed(removed.id.clone()), at(100));
    table.restore(vec![removed.clone(), other.clone()], at(200));
    assert_eq!(ready(&table), ["two"]);
    // It writes its record again.
    table.apply(TableChange::Listed(removed.clone()), at(300));
    assert_eq!(ready(&table), ["one", "two"]);

    table.apply(TableChange::Removed(removed.id.clone()), at(400));
    table.restore(vec![target("one", 1, 2), other.clone()], at(500));
    assert_eq!(ready(&table), ["one", "two"], "it has started again");
    table.apply(TableChange::Removed(other.id.clone()), at(600));
    table.expire(at(11 * 60_000));
    table.restore(vec![other.clone()], at(11 * 60_000));
    assert!(
        ready(&table).contains(&"two"),
        "removals are kept for ten minutes"
    );
}

#[test]
fn statements_of_former_targets_do_not_accumulate() {
    let (former, listed) = (target("one", 1, 1), target("two", 2, 1));
    let mut table = TargetTable::default();
    table.apply(TableChange::Listed(listed.clone()), at(0));
    for target in [&former, &listed] {
        table.record_leaving(&target.incarnation(), at(0));
    }
    let minutes = |minutes: u64| at(minutes * 60_000);
    table.expire(minutes(9));
    assert!(table.has_stated_leaving(&former.incarnation()));
    table.expire(minutes(11));
    assert!(!table.has_stated_leaving(&former.incarnation()));
    assert!(table.has_stated_leaving(&listed.incarnation()));
}

#[test]
fn a_pause_does_not_end_with_the_targets_record() {
    let (paused, next) = (target("one", 1, 2), target("one", 1, 3));
    let mut table = TargetTable::default();
    table.apply(TableChange::Listed(paused.clone()), at(0));
    table.record_pause(&paused.incarnation(), Duration::from_secs(3), at(100));
    table.apply(TableChange::Removed(paused.id.clone()), at(200));
    table.apply(TableChange::Listed(paused.clone()), at(1_100));
    for (asked, expected) in [
        (&paused, Acceptance::Paused(Duration::from_secs(2))),
        (
            &target("one", 1, 1),
            Acceptance::Paused(Duration::from_secs(2)),
        ),
        (&next, Acceptance::Accepts),
    ] {
        assert_eq!(table.acceptance(&asked.incarnation(), at(1_100)), expected);
    }
    assert_eq!(
        table.acceptance(&paused.incarnation(), at(3_100)),
        Acceptance::Accepts
    );
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let paused = target("one", 1, 1).incarnation();
    let mut table = TargetTable::default();
    table.record_pause(&paused, Duration::from_secs(3), at(0));
    table.record_pause(&paused, Duration::from_secs(1), at(100));
    let left = Acceptance::Paused(Duration::from_secs(1));
    assert_eq!(table.acceptance(&paused, at(2_000)), left);
    table.record_pause(&paused, Duration::from_secs(3), at(2_000));
    let left = Acceptance::Paused(Duration::from_secs(2));
    assert_eq!(table.acceptance(&paused, at(3_000)), left);
}

#[test]
fn a_statement_of_a_former_incarnation_does_not_count_for_the_next() {
    let (former, next) = (
        target("one", 1, 1).incarnation(),
        target("one", 1, 2).incarnation(),
    );
    let mut table = TargetTable::default();
    table.record_pause(&next, Duration::from_secs(1), at(0));
    table.record_pause(&former, Duration::from_mins(1), at(0));
    table.record_leaving(&former, at(0));
    assert_eq!(table.acceptance(&next, at(1_000)), Acceptance::Accepts);
}

#[test]
fn a_pause_outlasts_the_memory_for_targets_that_are_not_listed() {
    let paused = target("one", 1, 1).incarnation();
    let mut table = TargetTable::default();
    table.record_pause(&paused, Duration::from_hours(1), at(0));
    table.expire(at(59 * 60_000));
    let left = Acceptance::Paused(Duration::from_mins(1));
    assert_eq!(table.acceptance(&paused, at(59 * 60_000)), left);
}

#[test]
fn a_crowd_does_not_follow_a_pause_before_an_answer() {
    let paused = target("one", 1, 1).incarnation();
    let mut table = TargetTable::default();
    let begin = |table: &mut TargetTable, ms| table.begin_request(&paused, at(ms));
    table.record_pause(&paused, Duration::from_secs(1), at(0));
    let left = |ms| Acceptance::Paused(Duration::from_millis(ms));
    assert_eq!(begin(&mut table, 900), left(100));
    assert_eq!(begin(&mut table, 1_000), Acceptance::Accepts);
    assert_eq!(begin(&mut table, 1_100), left(400));
    // The first request has brought no answer.
    assert_eq!(begin(&mut table, 1_500), Acceptance::Accepts);
    assert_eq!(table.acceptance(&paused, at(1_600)), left(400));
    table.record_answer(&paused, at(1_700));
    for _ in 0..3 {
        assert_eq!(begin(&mut table, 1_700), Acceptance::Accepts);
    }
}

#[test]
fn an_answer_from_before_a_pause_does_not_end_it() {
    let paused = target("one", 1, 1).incarnation();
    let mut table = TargetTable::default();
    table.record_pause(&paused, Duration::from_secs(1), at(0));
    table.record_answer(&paused, at(500));
    let left = Acceptance::Paused(Duration::from_millis(500));
    assert_eq!(table.acceptance(&paused, at(500)), left);
}

#[test]
fn a_leaving_target_gets_no_work() {
    let mut table = TargetTable::default();
    table.apply(TableChange::Listed(target("one", 1, 1)), at(0));
    let mut leaving = target("one", 1, 1);
    leaving.state = TargetState::Leaving;
    table.apply(TableChange::Listed(leaving), at(10));
    assert!(ready(&table).is_empty());
    // The list's store was restored from a copy.
    table.apply(TableChange::Listed(target("one", 1, 1)), at(20));
    assert!(ready(&table).is_empty());
    table.apply(TableChange::Listed(target("one", 1, 2)), at(30));
    assert_eq!(ready(&table), ["one"]);
}

#[test]
fn a_record_that_expired_in_an_outage_has_two_seconds_to_return() {
    let mut table = TargetTable::default();
    table.apply(TableChange::Listed(target("back", 1, 1)), at(0));
    table.apply(TableChange::Listed(target("gone", 2, 1)), at(0));
    table.record_outage(at(5_000));
    table.replace(Vec::new(), at(5_500));
    assert_eq!(ready(&table), ["back", "gone"]);
    table.apply(TableChange::Listed(target("back", 1, 1)), at(6_500));
    assert!(table.expire(at(7_400)).is_empty());
    let expired = table.expire(at(7_800));
    assert_eq!(expired, [TargetId::from("gone")]);
    assert_eq!(ready(&table), ["back"]);
}

#[test]
fn former_models_are_sorted_by_their_number_of_copies() {
    let holder = |id: &str, port: u16, born: u64, models: &[&str]| Target {
        models: models.iter().map(|m| Arc::from(*m)).collect(),
        ..target(id, port, born)
    };
    let mut table = TargetTable::default();
    let listed = vec![
        holder("old", 1, 100, &["a-rare", "hot"]),
        holder("neighbour", 2, 100, &["hot"]),
        holder("new", 1, 200, &["z"]),
    ];
    table.replace(listed, at(0));
    let address = ([10, 0, 0, 1], 1).into();
    assert_eq!(
        table.former_models(address, 200),
        [Arc::from("hot"), Arc::from("a-rare")]
    );
    assert!(table.former_models(address, 100).is_empty());
}
