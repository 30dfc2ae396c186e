//! Retry budgets, back-off, outlier ejection and slow start.
//!
//! Guards against retries that add to an overload, and against ejections that take away so many
//! targets that the rest are overloaded.

use std::time::Duration;

use kumquatkeel_core::retry::{
    AttemptResult, Backoff, BudgetStep, Ejector, RetryBudget, slow_start,
};
use kumquatkeel_types::{TargetName, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

fn target(number: usize) -> TargetName {
    format!("t{number}").try_into().unwrap()
}

fn answered(millis: u64) -> AttemptResult {
    AttemptResult::Answered(Duration::from_millis(millis))
}

fn fail(ejector: &mut Ejector, number: usize, times: usize, now: Timestamp) {
    for _ in 0..times {
        ejector.record(&target(number), AttemptResult::Failed, now);
    }
}

#[rstest]
#[case(0.0)]
#[case(0.1)]
#[case(0.5)]
fn retries_stay_within_their_share(#[case] share: f64) {
    let mut budget = RetryBudget::new(share);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.first_attempt();
        while budget.retry() == BudgetStep::Allowed {
            retries += 1;
        }
    }
    let limit = 10_000.0 * share + 3.0;
    assert!(
        f64::from(retries) <= limit,
        "{retries} retries, limit {limit}"
    );
    assert!(f64::from(retries) >= 10_000.0 * share - 1.0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_delay_never_exceeds_its_bound(retry in 0..200_u32, seed in any::<u64>()) {
        let backoff = Backoff::new(Duration::from_millis(20), Duration::from_secs(1));
        let delay = backoff.delay(retry, &mut Pcg64::seed_from_u64(seed));
        prop_assert!(delay <= backoff.bound(retry));
        prop_assert!(backoff.bound(retry) <= Duration::from_secs(1));
    }

    #[test]
    fn ejected_targets_never_exceed_their_share(
        failures in proptest::collection::vec((0..20_usize, 0..500_u64), 0..600),
    ) {
        let mut ejector = Ejector::default();
        for number in 0..20 {
            ejector.record(&target(number), answered(10), Timestamp::ZERO);
        }
        let mut now = Timestamp::ZERO;
        for (number, pause) in failures {
            now = now.after(Duration::from_millis(pause));
            ejector.record(&target(number), AttemptResult::Failed, now);
            let ejected = (0..20).filter(|n| ejector.is_ejected(&target(*n), now)).count();
            prop_assert!(ejected <= 6, "{ejected} of 20 targets are ejected");
        }
    }
}

#[test]
fn a_failing_target_is_ejected_and_returns_with_a_slow_start() {
    let mut ejector = Ejector::default();
    for number in 0..4 {
        ejector.record(&target(number), answered(10), Timestamp::ZERO);
    }
    fail(&mut ejector, 0, 4, Timestamp::ZERO);
    assert!(!ejector.is_ejected(&target(0), Timestamp::ZERO));
    fail(&mut ejector, 0, 1, Timestamp::ZERO);
    assert!(ejector.is_ejected(&target(0), Timestamp::ZERO));
    let back = Timestamp::from_millis(5_000);
    assert!(!ejector.is_ejected(&target(0), back));
    assert!(ejector.weight(&target(0), back) < 0.2);
    assert!(ejector.weight(&target(0), Timestamp::from_millis(15_000)) >= 1.0);
}

#[test]
fn one_answer_resets_the_count_of_failures() {
    let mut ejector = Ejector::default();
    ejector.record(&target(1), answered(10), Timestamp::ZERO);
    for _ in 0..10 {
        fail(&mut ejector, 0, 4, Timestamp::ZERO);
        ejector.record(&target(0), answered(10), Timestamp::ZERO);
    }
    assert!(!ejector.is_ejected(&target(0), Timestamp::ZERO));
}

#[test]
fn a_sweep_ejects_a_latency_outlier() {
    let mut ejector = Ejector::default();
    for number in 0..8 {
        let millis = if number == 0 { 2_000 } else { 100 };
        for _ in 0..30 {
            ejector.record(&target(number), answered(millis), Timestamp::ZERO);
        }
    }
    ejector.sweep(Timestamp::ZERO);
    let ejected: Vec<_> = (0..8)
        .filter(|n| ejector.is_ejected(&target(*n), Timestamp::ZERO))
        .collect();
    assert_eq!(ejected, [0]);
}

#[test]
fn ejections_are_ignored_when_most_candidates_are_ejected() {
    let mut ejector = Ejector::default();
    for number in 0..10 {
        ejector.record(&target(number), answered(10), Timestamp::ZERO);
    }
    for number in 0..3 {
        fail(&mut ejector, number, 5, Timestamp::ZERO);
    }
    let all: Vec<_> = (0..10).map(target).collect();
    assert!(!ejector.in_panic(all.iter(), Timestamp::ZERO));
    assert!(ejector.in_panic(all[..4].iter(), Timestamp::ZERO));
    assert!(!ejector.in_panic([].into_iter(), Timestamp::ZERO));
}

#[test]
fn slow_start_weights_rise_to_one() {
    let start = Timestamp::from_millis(1_000);
    let weights: Vec<_> = (0..=12)
        .map(|s| slow_start(start, Timestamp::from_millis(1_000 + s * 1_000)))
        .collect();
    assert!(weights.is_sorted());
    assert!(weights[0] > 0.0 && weights[0] < 0.2);
    assert!(weights[10] >= 1.0);
}
