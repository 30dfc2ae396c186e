//! Admission controllers, their queues and limits, and the shares of a service's rate.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_core::admission::{
    AdmissionController, AdmitStep, Arrival, ConcurrencyLimit, GRANT_TTL, NextStep, RateBucket,
    RateStep, ServiceLimits, ShareGrant, ShareGranter, ShareHolder, ShareStep, Ticket,
};
use kumquatkeel_types::{ErrorCode, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const SLOTS: u32 = 4;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn controller(queue: usize) -> AdmissionController {
    let mut controller =
        AdmissionController::new(ServiceLimits { queue, rate: None }, Timestamp::ZERO);
    controller.set_slots(SLOTS);
    controller
}

fn arrival(ticket: u64, caller: &str, priority: u8, start_by: u64) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        caller: caller.try_into().unwrap(),
        priority,
        start_by: at(start_by),
    }
}

/// Occupies all slots with requests 1 to 4.
fn fill_slots(controller: &mut AdmissionController) {
    for ticket in 1..=u64::from(SLOTS) {
        let step = controller.arrive(&arrival(ticket, "a", 5, 1_000), at(0));
        assert_eq!(step, AdmitStep::Run);
    }
}

fn code_of(step: &AdmitStep) -> Option<ErrorCode> {
    match step {
        AdmitStep::Refuse(refusal) => Some(refusal.code),
        _ => None,
    }
}

#[test]
fn waiting_requests_start_by_priority_then_by_their_latest_start() {
    let mut controller = controller(10);
    fill_slots(&mut controller);
    for (ticket, priority, start_by) in [(11, 5, 900), (12, 5, 800), (13, 2, 999)] {
        controller.arrive(&arrival(ticket, "a", priority, start_by), at(0));
    }
    let mut order = Vec::new();
    for done in 1..=3 {
        controller.finished(Ticket(done), None);
        order.push(controller.next(at(1)));
    }
    let expected = [13, 12, 11].map(|ticket| NextStep::Run(Ticket(ticket)));
    assert_eq!(order, expected);
}

#[test]
fn a_request_that_can_not_start_in_time_is_refused_at_once() {
    let mut controller = controller(100);
    fill_slots(&mut controller);
    controller.finished(Ticket(1), Some(Duration::from_secs(4)));
    controller.arrive(&arrival(5, "a", 5, 1_000), at(0));
    // Four slots that are held for 4 s each become free at a rate of one per second.
    let late = controller.arrive(&arrival(11, "a", 5, 999), at(0));
    assert_eq!(code_of(&late), Some(ErrorCode::Deadline));
    let early = controller.arrive(&arrival(12, "a", 5, 1_001), at(0));
    assert_eq!(early, AdmitStep::Queued);
}

#[test]
fn a_request_whose_latest_start_passes_while_it_waits_is_refused() {
    let mut controller = controller(10);
    fill_slots(&mut controller);
    controller.arrive(&arrival(11, "a", 5, 50), at(0));
    let NextStep::Idle(Some(due)) = controller.next(at(1)) else {
        panic!("the controller returns no time for its next call");
    };
    assert!(due > at(50));
    assert!(matches!(
        controller.next(due),
        NextStep::Refuse(Ticket(11), _)
    ));
    assert_eq!(controller.waiting(), 0);
}

#[rstest]
#[case::higher_priority_displaces(arrival(20, "b", 1, 900), Some(12))]
#[case::same_priority_and_caller_is_refused(arrival(20, "a", 5, 900), None)]
#[case::other_caller_displaces_the_heaviest(arrival(20, "b", 5, 900), Some(12))]
#[case::lower_priority_is_refused(arrival(20, "b", 9, 900), None)]
fn a_full_queue_displaces_by_priority_and_fairness(
    #[case] newcomer: Arrival,
    #[case] displaced: Option<u64>,
) {
    let mut controller = controller(2);
    fill_slots(&mut controller);
    controller.arrive(&arrival(11, "a", 5, 800), at(0));
    controller.arrive(&arrival(12, "a", 5, 900), at(0));
    let step = controller.arrive(&newcomer, at(0));
    match (displaced, step) {
        (Some(number), AdmitStep::Displaced { ticket, .. }) => assert_eq!(ticket, Ticket(number)),
        (None, AdmitStep::Refuse(refusal)) => assert_eq!(refusal.code, ErrorCode::Overloaded),
        (_, step) => panic!("unexpected {step:?}"),
    }
    assert_eq!(controller.waiting(), 2);
}

#[test]
fn a_draining_controller_refuses_new_requests_and_runs_waiting_ones() {
    let mut controller = controller(10);
    fill_slots(&mut controller);
    controller.arrive(&arrival(11, "a", 5, 900), at(0));
    controller.drain();
    let step = controller.arrive(&arrival(12, "a", 5, 900), at(0));
    assert_eq!(code_of(&step), Some(ErrorCode::Draining));
    controller.finished(Ticket(1), None);
    assert_eq!(controller.next(at(1)), NextStep::Run(Ticket(11)));
}

#[test]
fn the_concurrency_limit_decreases_once_for_a_burst_of_refusals_and_recovers() {
    let mut limit = ConcurrencyLimit::default();
    limit.set_ceiling(100);
    assert_eq!(limit.get(), 100);
    for _ in 0..50 {
        limit.busy(100, at(1_000));
    }
    assert_eq!(limit.get(), 90);
    for _ in 0..1_000 {
        limit.accepted();
    }
    assert!(limit.get() > 95);
    for _ in 0..10_000 {
        limit.accepted();
    }
    assert_eq!(
        limit.get(),
        100,
        "the limit must not exceed the fleet's slots"
    );
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_order_of_events_loses_a_request_or_a_slot(
        events in proptest::collection::vec((0..5_u8, 0..40_u64, 0..10_u8, 0..300_u64), 1..200),
    ) {
        let mut controller = controller(5);
        let mut waiting = std::collections::BTreeSet::new();
        let mut running = std::collections::BTreeSet::new();
        let mut now = Timestamp::ZERO;
        for (number, (kind, ticket, priority, millis)) in events.into_iter().enumerate() {
            now = now.after(Duration::from_millis(millis / 10));
            match kind {
                0 | 1 => {
                    let ticket = number as u64 + 100;
                    let start_by = now.as_micros() / 1_000 + millis;
                    let caller = ["a", "b", "c"][ticket as usize % 3];
                    match controller.arrive(&arrival(ticket, caller, priority, start_by), now) {
                        AdmitStep::Run => { running.insert(ticket); }
                        AdmitStep::Queued => { waiting.insert(ticket); }
                        AdmitStep::Displaced { ticket: other, .. } => {
                            prop_assert!(waiting.remove(&other.0));
                            waiting.insert(ticket);
                        }
                        AdmitStep::Refuse(_) => {}
                    }
                }
                2 => if let Some(&done) = running.iter().nth(ticket as usize % 4) {
                    running.remove(&done);
                    controller.finished(Ticket(done), Some(Duration::from_millis(millis)));
                },
                3 => if let Some(&abandoned) = waiting.iter().nth(ticket as usize % 5) {
                    waiting.remove(&abandoned);
                    controller.abandon(Ticket(abandoned));
                },
                _ => controller.busy(now),
            }
            loop {
                match controller.next(now) {
                    NextStep::Run(ticket) => {
                        prop_assert!(waiting.remove(&ticket.0));
                        running.insert(ticket.0);
                    }
                    NextStep::Refuse(ticket, _) => {
                        prop_assert!(waiting.remove(&ticket.0));
                    }
                    NextStep::Idle(_) => break,
                }
            }
            prop_assert_eq!(controller.waiting(), waiting.len());
            prop_assert_eq!(controller.running(), running.len());
            prop_assert!(waiting.len() <= 5);
        }
    }

    #[test]
    fn granted_shares_never_exceed_the_rate(
        requests in proptest::collection::vec((0..12_u8, 0.0..200.0_f64, 0..800_u64), 1..200),
    ) {
        let mut shares = ShareGranter::new(Timestamp::ZERO);
        let mut now = Timestamp::ZERO;
        for (entry, demand, pause) in requests {
            now = now.after(Duration::from_millis(pause));
            let name = format!("e{entry}").try_into().unwrap();
            let grant = shares.grant(&name, demand, 100.0, now);
            prop_assert!(grant.rate >= 0.0);
            prop_assert!(shares.outstanding(now) <= 100.0 + 1e-6);
        }
    }
}

/// Requests shares once a second for some rounds and returns the rates after the last one.
fn shares_after(rounds: u64, demands: &[(&'static str, f64)]) -> BTreeMap<&'static str, f64> {
    let mut shares = ShareGranter::new(Timestamp::ZERO);
    let mut held: BTreeMap<&str, ShareHolder> = BTreeMap::new();
    for round in 0..rounds {
        let now = at(round * 1_000);
        for (name, demand) in demands {
            let grant = shares.grant(&(*name).try_into().unwrap(), *demand, 100.0, now);
            held.entry(name).or_default().set_grant(grant, now);
        }
    }
    let now = at(rounds * 1_000 - 1);
    let rates = held
        .iter()
        .map(|(n, h)| (*n, h.rate(100.0, demands.len(), now)));
    rates.collect()
}

#[test]
fn shares_follow_demand_within_the_rate() {
    let rates = shares_after(9, &[("busy", 500.0), ("quiet", 5.0), ("idle", 0.0)]);
    assert!(rates["busy"] > 80.0, "{rates:?}");
    assert!(rates["quiet"] >= 5.0, "{rates:?}");
    assert!(rates["idle"] > 0.0, "{rates:?}");
    assert!(rates.values().sum::<f64>() <= 100.0 + 1e-6, "{rates:?}");
}

#[test]
fn a_new_granter_waits_until_the_grants_of_its_predecessor_have_expired() {
    let rates = shares_after(3, &[("a", 500.0)]);
    assert!(rates["a"] <= 10.0, "{rates:?}");
}

#[test]
fn the_share_of_a_failed_entry_is_granted_again() {
    let mut shares = ShareGranter::new(Timestamp::ZERO);
    let (failed, live) = ("dead".try_into().unwrap(), "live".try_into().unwrap());
    let start = Timestamp::ZERO.after(GRANT_TTL);
    shares.grant(&failed, 500.0, 100.0, start);
    let before = shares.grant(&live, 500.0, 100.0, start);
    let after = shares.grant(&live, 500.0, 100.0, start.after(GRANT_TTL));
    assert!(before.rate < 1.0);
    assert!(after.rate > 89.0);
}

#[test]
fn an_idle_entry_requests_no_share_and_a_grant_expires() {
    let mut holder = ShareHolder::default();
    assert_eq!(holder.record_arrivals(0, at(1_000)), ShareStep::Idle);
    assert!(
        matches!(holder.record_arrivals(10, at(2_000)), ShareStep::Ask { demand } if demand > 1.0)
    );
    let grant = ShareGrant {
        rate: 50.0,
        life_ms: 3_000,
    };
    holder.set_grant(grant, at(2_000));
    assert!(holder.rate(100.0, 10, at(4_999)) > 50.0);
    assert!(holder.rate(100.0, 10, at(5_000)) <= 1.0);
}

#[rstest]
#[case::even(10.0, 20)]
#[case::below_one(0.5, 1)]
#[case::none(0.0, 1)]
#[case::not_a_number(f64::NAN, 1)]
fn a_bucket_allows_its_rate(#[case] rate: f64, #[case] most: u32) {
    let mut bucket = RateBucket::new(rate, Timestamp::ZERO);
    let allowed = (0..1_000)
        .filter(|i| bucket.take(at(*i)) == RateStep::Within)
        .count();
    assert!(allowed as u32 <= most, "{allowed} over {most}");
    assert!(allowed > 0);
}
