//! Recovery from failed attempts: a caller is told "not run" only with proof, and only an
//! idempotent request may run twice.

use kumquatkeel_core::serving::{AttemptEnd, CallKind, Recovery, after_attempt, may_run_again};
use proptest::prelude::*;
use rstest::rstest;

const KINDS: [CallKind; 3] = [
    CallKind::Idempotent,
    CallKind::NonIdempotent,
    CallKind::Stream,
];
const ENDS: [AttemptEnd; 5] = [
    AttemptEnd::Withheld,
    AttemptEnd::NotSent,
    AttemptEnd::NotRun,
    AttemptEnd::Failed,
    AttemptEnd::Lost,
];

#[rstest]
#[case(CallKind::NonIdempotent, AttemptEnd::Lost, Recovery::Fail)]
#[case(CallKind::NonIdempotent, AttemptEnd::Failed, Recovery::PassFailure)]
#[case(CallKind::NonIdempotent, AttemptEnd::NotRun, Recovery::Resend)]
#[case(CallKind::NonIdempotent, AttemptEnd::Withheld, Recovery::Resend)]
#[case(CallKind::Stream, AttemptEnd::Lost, Recovery::Fail)]
#[case(CallKind::Stream, AttemptEnd::NotSent, Recovery::Resend)]
#[case(CallKind::Idempotent, AttemptEnd::Lost, Recovery::Resend)]
#[case(CallKind::Idempotent, AttemptEnd::Failed, Recovery::Resend)]
fn recovery_from_a_first_attempt_with_a_target_left(
    #[case] kind: CallKind,
    #[case] end: AttemptEnd,
    #[case] expected: Recovery,
) {
    assert_eq!(after_attempt(kind, end, false, 1), expected);
}

proptest! {
    /// Simulates attempts until the request ends and counts those that may have run.
    #[test]
    fn no_sequence_of_failures_runs_a_request_twice_or_denies_a_run(
        kind in 0_usize..3,
        ends in proptest::collection::vec(0_usize..5, 1..6),
        attempts in 1_u8..4,
    ) {
        let kind = KINDS[kind];
        let mut runs = 0;
        for (sent, end) in ends.into_iter().enumerate() {
            let end = ENDS[end];
            let ran = runs > 0;
            runs += usize::from(matches!(end, AttemptEnd::Failed | AttemptEnd::Lost));
            let left = attempts.saturating_sub(sent as u8 + 1);
            match after_attempt(kind, end, ran, left) {
                Recovery::Resend => {
                    prop_assert!(left > 0);
                    prop_assert!(runs == 0 || kind == CallKind::Idempotent);
                }
                Recovery::Reject => {
                    prop_assert_eq!(runs, 0, "the caller is told that the request has not run");
                    break;
                }
                Recovery::PassFailure | Recovery::Fail => break,
            }
        }
        prop_assert!(runs <= 1 || kind == CallKind::Idempotent);
    }
}

#[rstest]
#[case::first_break(1, false, true)]
#[case::second_break(2, false, false)]
#[case::first_break_after_an_earlier_crash(1, true, false)]
#[case::suspected_but_not_broken(0, true, true)]
fn a_request_does_not_crash_one_target_after_the_other(
    #[case] broken_runs: u8,
    #[case] suspected: bool,
    #[case] again: bool,
) {
    assert_eq!(may_run_again(broken_runs, suspected), again);
}
