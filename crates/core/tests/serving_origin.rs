//! Origins of streams: kept for a bounded time and number, at hosts that change little, and never
//! replaced.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    OriginTable, StreamOrigin, StreamScope, TableChange, Target, TargetId, TargetState,
    TargetTable, origin_holders,
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
    table.record("a".into(), origin("v1"), Timestamp::ZERO);
    table.record("a".into(), origin("v2"), Timestamp::ZERO);
    assert_eq!(table.get("a", Timestamp::ZERO), Some(&origin("v1")));
}

#[test]
fn origins_do_not_grow_without_bound() {
    let mut table = OriginTable::default();
    for number in 0..40_000 {
        table.record(number.to_string().into(), origin("v1"), Timestamp::ZERO);
    }
    assert_eq!(table.get("0", Timestamp::ZERO), None);
    let overlong = "a".repeat(1_000);
    table.record(overlong.clone().into(), origin("v1"), Timestamp::ZERO);
    assert_eq!(table.get(&overlong, Timestamp::ZERO), None);
    assert_eq!(table.get("39999", Timestamp::ZERO), Some(&origin("v1")));
    let later = Timestamp::ZERO.after(Duration::from_mins(1));
    assert_eq!(table.get("39999", later), None);
}

#[rstest]
#[case::known(Some("v1"), &["v1", "v2"], StreamScope::Version("v1".into()))]
#[case::known_and_gone(Some("v1"), &["v2"], StreamScope::Version("v1".into()))]
#[case::unknown_of_one(None, &["v1"], StreamScope::Any)]
#[case::unknown_of_none(None, &[], StreamScope::Nowhere)]
#[case::unknown_of_several(None, &["v1", "v2"], StreamScope::Nowhere)]
fn a_stream_goes_on_at_the_version_that_began_it(
    #[case] known: Option<&str>,
    #[case] versions: &[&str],
    #[case] expected: StreamScope,
) {
    let versions: Vec<Arc<str>> = versions.iter().map(|v| Arc::from(*v)).collect();
    let known = known.map(origin);
    assert_eq!(StreamScope::of_resumed(known.as_ref(), &versions), expected);
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
    assert_eq!(versions(&table, now.after(Duration::from_mins(1))), "");
    assert_eq!(table.recent_versions("desk", now).len(), 0);
}

proptest! {
    #[test]
    fn one_host_more_or_less_moves_one_copy_of_an_origin(attempt in "[0-9a-f]{16}", lost in 0u8..12) {
        let all = origin_holders(&attempt, (0..12).map(host));
        let left = origin_holders(&attempt, (0..12).filter(|n| *n != lost).map(host));
        prop_assert_eq!(all.len(), 3);
        let kept = all.iter().filter(|holder| left.contains(holder)).count();
        prop_assert!(kept >= 2);
    }
}
