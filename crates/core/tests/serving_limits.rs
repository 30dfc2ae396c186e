//! Limits that targets name.

use std::time::Duration;

use kumquatkeel_core::serving::{
    LimitTable, PermitDecision, PermitHolder, PermitIssuer, RequestRate, StatedLimit, TableChange,
    Target, TargetId, TargetState, TargetTable, Urgency,
};
use kumquatkeel_types::Timestamp;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

#[rstest]
#[case::named(2.5, Some(2.5))]
#[case::zero(0.0, Some(0.1))]
#[case::far_too_high(1e300, Some(1e6))]
#[case::negative(-1.0, None)]
#[case::not_a_number(f64::NAN, None)]
#[case::infinite(f64::INFINITY, None)]
fn a_number_that_is_no_rate_does_not_become_one(
    #[case] per_second: f64,
    #[case] expected: Option<f64>,
) {
    let rate = RequestRate::try_from(per_second).ok();
    assert_eq!(rate.map(RequestRate::per_second), expected);
}

fn listed(id: &TargetId, born: u64) -> Target {
    Target {
        id: id.clone(),
        service: "desk".into(),
        version: "v1".into(),
        address: ([10, 0, 0, 1], 1).into(),
        data_centre: "a".into(),
        slots: 4,
        state: TargetState::Ready,
        born,
        models: Vec::new(),
    }
}

#[test]
fn a_limit_ends_with_its_incarnation_and_not_with_its_record() {
    let rate = RequestRate::try_from(2.0).unwrap();
    let (target, at) = (TargetId::from("t"), Timestamp::from_millis);
    let (mut limits, mut table) = (LimitTable::default(), TargetTable::default());
    table.apply(TableChange::Listed(listed(&target, 1)), at(0));
    limits.record(&target, StatedLimit::Rate(rate), at(10));
    assert!(limits.follow(&table, at(20)).is_empty());
    table.apply(TableChange::Removed(target.clone()), at(30));
    assert!(limits.follow(&table, at(40)).is_empty());
    assert_eq!(limits.limit(&target), Some(rate));

    table.apply(TableChange::Listed(listed(&target, 2)), at(5_000));
    assert_eq!(
        limits.follow(&table, at(5_000)),
        std::slice::from_ref(&target)
    );
    // Another process still has the statement of the former incarnation.
    assert!(!limits.merge(&target, Some(rate), at(4_000)));
    assert_eq!(limits.limit(&target), None);
    assert!(limits.record(&target, StatedLimit::Rate(rate), at(5_100)));
    assert!(limits.follow(&table, at(5_200)).is_empty());
}

/// Its predecessor may just have issued some.
#[test]
fn an_issuer_that_starts_has_no_permits_to_give() {
    let rate = RequestRate::try_from(2.0).ok();
    let (target, now) = (TargetId::from("t"), Timestamp::from_millis(1_000));
    let mut issuer = PermitIssuer::default();
    for urgency in [Urgency::Urgent, Urgency::Normal] {
        let decision = issuer.request(&target, rate, urgency, Duration::ZERO, now);
        assert!(
            matches!(decision, PermitDecision::Denied { retry_ms: 500.. }),
            "{decision:?}"
        );
    }
}

/// The window in which requests to a target are counted.
const WINDOW_MS: u64 = 4_000;

/// What goes wrong between the entries and the issuer.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// The share of replies that are lost.
    lost: f64,
    /// When the issuer is replaced by one that knows nothing of it, in milliseconds.
    replaced_ms: u64,
    /// The share of entries that can't reach the issuer.
    cut_off: f64,
    /// Whether demand pauses for five seconds in ten, in which nothing may be saved up.
    pauses: bool,
}

const NO_FAULTS: Faults = Faults {
    lost: 0.0,
    replaced_ms: u64::MAX,
    cut_off: 0.0,
    pauses: false,
};

/// Returns the times at which entries send requests to one target within 30 s. All have `demand` requests
/// per second together; the target names `second` instead of `first` after half of that time.
fn send_times(
    entries: usize,
    demand: f64,
    (first, second): (f64, f64),
    faults: Faults,
    seed: u64,
) -> Vec<u64> {
    let mut random = Pcg64::seed_from_u64(seed);
    let target = TargetId::from("t1");
    let mut issuer = PermitIssuer::default();
    let mut holders: Vec<PermitHolder> = (0..entries)
        .map(|_| PermitHolder::new(random.random()))
        .collect();
    let reached = (entries as f64 * (1.0 - faults.cut_off)).ceil() as usize;
    let mut sent = Vec::new();
    for ms in 0..30_000 {
        let now = Timestamp::from_millis(ms);
        let limit = if ms < 15_000 { first } else { second };
        let limit = RequestRate::try_from(limit).unwrap();
        if ms == faults.replaced_ms {
            issuer = PermitIssuer::default();
        }
        let idle = faults.pauses && ms % 10_000 < 5_000;
        if idle || !random.random_bool(demand / 1_000.0) {
            continue;
        }
        let entry = random.random_range(0..entries);
        let holder = &mut holders[entry];
        let urgency = Urgency::Normal;
        if holder.closed_for(&target, urgency, now).is_some() {
            continue;
        }
        let decision = if holder.is_issuer_silent(&target, now) {
            holder.take_turn(&target, limit, entries, now)
        } else {
            let decision = issuer.request(&target, Some(limit), urgency, Duration::ZERO, now);
            if entry >= reached || random.random_bool(faults.lost) {
                holder.record_silence(&target, now);
                continue;
            }
            holder.record_reply(&target, urgency, decision, now);
            decision
        };
        if decision == (PermitDecision::Granted { delay_ms: 0 }) {
            sent.push(ms);
        }
    }
    sent
}

/// Returns the most requests in a window.
fn most_in_window(sent: &[u64]) -> usize {
    let count = |from: &u64| {
        let window = *from..=from + WINDOW_MS;
        sent.iter().filter(|ms| window.contains(ms)).count()
    };
    sent.iter().map(count).max().unwrap_or(0)
}

#[rstest]
#[case::few_entries(4, 2.0)]
#[case::sixty_entries(60, 2.0)]
#[case::hundreds_of_entries(330, 2.0)]
#[case::high_limit(330, 40.0)]
#[case::less_than_one_a_second(60, 0.5)]
fn a_limit_lower_than_the_number_of_entries_is_used(#[case] entries: usize, #[case] limit: f64) {
    let sent = send_times(entries, 6.0 * limit + 20.0, (limit, limit), NO_FAULTS, 1);
    let used = sent.len() as f64 / 30.0 / limit;
    assert!(used >= 0.8, "{used} of the limit is used");
}

#[test]
fn a_limit_is_still_used_where_its_issuer_is_out_of_reach() {
    let faults = Faults {
        cut_off: 1.0,
        ..NO_FAULTS
    };
    let sent = send_times(4, 100.0, (4.0, 4.0), faults, 1);
    let used = sent.len() as f64 / 30.0 / 4.0;
    assert!(used >= 0.3, "{used} of the limit is used");
}

#[test]
fn urgent_requests_do_not_wait_behind_others_for_permits() {
    let (target, limit) = (TargetId::from("t1"), RequestRate::try_from(4.0).ok());
    let mut issuer = PermitIssuer::default();
    let mut granted = [0, 0];
    for ms in 0..20_000 {
        let now = Timestamp::from_millis(ms);
        // Urgent requests come at half the rate of the limit, others all the time.
        let urgent = ms % 500 == 250;
        for urgency in [Urgency::Normal, Urgency::Urgent] {
            if urgency == Urgency::Urgent && !urgent {
                continue;
            }
            let patience = Duration::ZERO;
            let decision = issuer.request(&target, limit, urgency, patience, now);
            granted[urgency as usize] +=
                usize::from(matches!(decision, PermitDecision::Granted { .. }));
        }
    }
    let [urgent, normal] = granted;
    assert!(urgent >= 38, "{urgent} of 40 urgent requests were granted");
    assert!(normal >= 30, "{normal} other requests were granted");
}

#[test]
fn an_older_statement_does_not_bring_a_dropped_limit_back() {
    let target = TargetId::from("t1");
    let rate = RequestRate::try_from(2.0).unwrap();
    let at = Timestamp::from_millis;
    let mut table = LimitTable::default();
    assert!(table.record(&target, StatedLimit::Rate(rate), at(1_000)));
    assert!(table.record(&target, StatedLimit::Absent, at(3_000)));
    assert!(!table.merge(&target, Some(rate), at(2_000)));
    assert_eq!(table.limit(&target), None);
    assert!(!table.record(&target, StatedLimit::Unreadable, at(4_000)));
    assert!(table.merge(&target, Some(rate), at(5_000)));
}

proptest! {
    #[test]
    fn no_order_of_events_exceeds_a_limit(
        entries in 1_usize..330,
        limits in (0.5_f64..20.0, 0.5_f64..20.0),
        demand in 1.0_f64..300.0,
        lost in 0.0_f64..0.5,
        replaced_ms in 0_u64..30_000,
        cut_off in 0.0_f64..0.5,
        pauses: bool,
        seed: u64,
    ) {
        let faults = Faults { lost, replaced_ms, cut_off, pauses };
        let sent = send_times(entries, demand, limits, faults, seed);
        let most = most_in_window(&sent);
        let allowed = 1.5 * limits.0.max(limits.1) * 4.0 + 5.0;
        prop_assert!(most as f64 <= allowed, "{most} in a window, {allowed} allowed");
    }
}
