//! Origins of streams: kept for a bounded time and number, at hosts that change little, and never
//! replaced.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    ListedVersions, OriginHosts, OriginTable, StreamOrigin, StreamScope, TableChange, Target,
    TargetId, TargetState, TargetTable, VersionRecorder, VersionSet,
};
use kumquatkeel_types::Timestamp;
use proptest::prelude::*;
use rstest::rstest;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "assist".into(),
        version: version.into(),
    }
}

fn host(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

#[test]
fn a_later_record_does_not_replace_the_origin_of_a_stream() {
    let mut table = OriginTable::default();
    let until = Timestamp::ZERO.after(Duration::from_secs(9));
    table.record("a".into(), origin("v1"), until, Timestamp::ZERO);
    table.record("a".into(), origin("v2"), until, Timestamp::ZERO);
    assert_eq!(table.get("a", Timestamp::ZERO), Some(&origin("v1")));
}

#[test]
fn origins_do_not_grow_without_bound() {
    let mut table = OriginTable::default();
    let until = Timestamp::ZERO.after(Duration::from_mins(1));
    let mut record = |attempt: &str| {
        table.record(attempt.into(), origin("v1"), until, Timestamp::ZERO);
    };
    for number in 0..40_000 {
        record(&format!("{number:05}"));
    }
    let overlong = "a".repeat(1_000);
    record(&overlong);
    assert_eq!(table.get("00000", Timestamp::ZERO), None);
    assert_eq!(table.get(&overlong, Timestamp::ZERO), None);
    assert_eq!(table.get("39999", Timestamp::ZERO), Some(&origin("v1")));
    assert_eq!(table.get("39999", until), None);
}

/// A stream that runs for longer than a minute must find its version afterwards.
#[test]
fn an_origin_is_known_for_as_long_as_its_stream_may_be_resumed() {
    let mut table = OriginTable::default();
    let at = |seconds| Timestamp::ZERO.after(Duration::from_secs(seconds));
    table.record("long".into(), origin("v1"), at(600), at(0));
    table.record("short".into(), origin("v1"), at(15), at(0));
    assert_eq!(table.get("long", at(599)), Some(&origin("v1")));
    assert_eq!(table.get("short", at(599)), None);
    // Resumed with a later deadline, or found at an agent with an earlier one.
    table.record("long".into(), origin("v1"), at(700), at(599));
    table.record("long".into(), origin("v1"), at(650), at(599));
    assert_eq!(table.get("long", at(699)), Some(&origin("v1")));
    assert_eq!(table.get("long", at(700)), None);
}

/// Short streams come often; they must not push a long one out.
#[test]
fn the_origins_whose_time_ends_first_are_dropped_first() {
    let mut table = OriginTable::default();
    let until = |seconds| Timestamp::ZERO.after(Duration::from_secs(seconds));
    table.record("long".into(), origin("v1"), until(600), Timestamp::ZERO);
    for number in 0..40_000 {
        let attempt = number.to_string().into();
        table.record(attempt, origin("v1"), until(15), Timestamp::ZERO);
    }
    assert_eq!(table.get("long", until(599)), Some(&origin("v1")));
}

#[rstest]
#[case::known(Some("v1"), Some("v1,v2"), StreamScope::Version("v1".into()))]
#[case::known_and_gone(Some("v1"), Some("v2"), StreamScope::Version("v1".into()))]
#[case::known_alone(Some("v1"), None, StreamScope::Version("v1".into()))]
#[case::unknown_of_one(None, Some("v1"), StreamScope::Version("v1".into()))]
#[case::unknown_of_none(None, Some(""), StreamScope::Nowhere)]
#[case::unknown_of_several(None, Some("v1,v2"), StreamScope::Nowhere)]
#[case::unknown_of_unknown(None, None, StreamScope::Nowhere)]
fn a_stream_goes_on_at_the_version_that_began_it(
    #[case] known: Option<&str>,
    #[case] versions: Option<&str>,
    #[case] expected: StreamScope,
) {
    let split = |v: &str| -> Vec<Arc<str>> {
        let names = v.split(',').filter(|name| !name.is_empty());
        names.map(Arc::from).collect()
    };
    let versions = versions.map(split);
    let known = known.map(origin);
    let scope = StreamScope::of_resumed(known.as_ref(), versions.as_deref());
    assert_eq!(scope, expected);
}

#[test]
fn the_version_of_a_target_that_has_gone_stays_recent_for_a_while() {
    let target = |version: &str| Target {
        id: TargetId::from("t"),
        service: "assist".into(),
        version: version.into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".into(),
        slots: 1,
        state: TargetState::Ready,
        born: 1,
        models: Vec::new(),
    };
    let mut table = TargetTable::default();
    let now = Timestamp::ZERO;
    table.apply(TableChange::Listed(target("v1")), now);
    table.apply(TableChange::Listed(target("v2")), now);
    let versions = |table: &TargetTable, at| table.recent_versions("assist", at).join(",");
    assert_eq!(versions(&table, now), "v1,v2");
    table.apply(TableChange::Removed(TargetId::from("t")), now);
    assert_eq!(versions(&table, now), "v1,v2");
    let later = now.after(Duration::from_mins(1));
    assert_eq!(versions(&table, later), "");
    // Streams that may be resumed for longer; a later configuration may shorten that for new ones.
    table.extend_stream_life(Duration::from_mins(10));
    table.extend_stream_life(Duration::from_secs(10));
    assert_eq!(versions(&table, later), "v1,v2");
    assert_eq!(versions(&table, now.after(Duration::from_mins(10))), "");
    assert_eq!(table.recent_versions("desk", now).len(), 0);
}

fn listed(versions: &[&str], stream_life: Duration) -> ListedVersions {
    ListedVersions {
        versions: version_set(versions),
        stream_life,
    }
}

fn version_set(versions: &[&str]) -> VersionSet {
    let mut set = VersionSet::default();
    for version in versions {
        set.insert("assist".into(), (*version).into());
    }
    set
}

/// Two processes keep the record, one of which has an older list.
#[rstest]
#[case::short_streams(Duration::from_secs(15), Duration::from_mins(2))]
#[case::long_streams(Duration::from_mins(10), Duration::from_mins(11))]
fn a_recorded_version_is_removed_while_it_may_have_begun_a_stream(
    #[case] life: Duration,
    #[case] ttl: Duration,
) {
    let (new_list, old_list) = (listed(&["v2"], life), listed(&["v1"], life));
    let (mut recorder, mut late) = (VersionRecorder::default(), VersionRecorder::default());
    let now = Timestamp::ZERO;
    let both = version_set(&["v1", "v2"]);
    let record = recorder.next_record(&new_list, &old_list.versions, now);
    assert_eq!(record, both);
    assert_eq!(late.next_record(&old_list, &record, now), both);
    let later = now.after(ttl.saturating_sub(Duration::from_secs(1)));
    assert_eq!(recorder.next_record(&new_list, &record, later), both);
    // Listed once more, the time begins anew.
    let all = listed(&["v1", "v2"], life);
    assert_eq!(recorder.next_record(&all, &record, later), both);
    let later = later.after(ttl / 2);
    assert_eq!(recorder.next_record(&new_list, &record, later), both);
    let later = later.after(ttl);
    assert_eq!(
        recorder.next_record(&new_list, &record, later),
        new_list.versions
    );
}

proptest! {
    /// Hosts come and go one at a time, and each holder passes the origin on to the holders that are added.
    #[test]
    fn an_origin_is_lost_as_hosts_come_and_go(
        attempt in "[0-9a-f]{16}",
        changes in proptest::collection::vec((0_u8..16, any::<bool>()), 0..24),
    ) {
        let mut hosts: BTreeSet<IpAddr> = (0..4).map(host).collect();
        let mut known = OriginHosts::new(hosts.iter().copied());
        let mut keepers: BTreeSet<IpAddr> = known.holders(&attempt).into_iter().collect();
        for (number, comes) in changes {
            if comes {
                hosts.insert(host(number));
            } else if hosts.len() > 1 {
                hosts.remove(&host(number));
            }
            let next = OriginHosts::new(hosts.iter().copied());
            // An agent whose host has just been removed still passes on what it keeps.
            keepers.extend(next.added_holders(&attempt, &known));
            keepers.retain(|keeper| hosts.contains(keeper));
            known = next;
            for holder in known.holders(&attempt) {
                prop_assert!(keepers.contains(&holder), "{holder} does not know the origin");
            }
        }
    }

    #[test]
    fn the_choice_of_holders_depends_on_the_order_of_hosts(attempt in "[0-9a-f]{16}") {
        let hosts = OriginHosts::new((0..12).map(host));
        prop_assert_eq!(&OriginHosts::new((0..12).rev().chain(0..4).map(host)), &hosts);
        let candidates = hosts.candidates(&attempt);
        prop_assert_eq!(candidates.len(), 9);
        prop_assert_eq!(&candidates[..3], &hosts.holders(&attempt)[..]);
    }

    #[test]
    fn one_host_more_or_less_moves_one_copy_of_an_origin(attempt in "[0-9a-f]{16}", lost in 0u8..12) {
        let all = OriginHosts::new((0..12).map(host)).holders(&attempt);
        let left = OriginHosts::new((0..12).filter(|n| *n != lost).map(host)).holders(&attempt);
        prop_assert_eq!(all.len(), 3);
        let kept = all.iter().filter(|holder| left.contains(holder)).count();
        prop_assert!(kept >= 2);
    }
}
