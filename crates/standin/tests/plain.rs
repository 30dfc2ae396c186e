//! The stand-in of a plain service records repeated calls and injects the faults that are set.
//!
//! Otherwise the tests of the agent and the entry miss calls that are executed twice.

use std::time::Duration;

use kumquatkeel_standin::plain::{PlainCall, PlainFault, PlainService};
use rstest::rstest;

fn call() -> PlainCall {
    PlainCall {
        path: "/swaps".into(),
        key: Some("k1".into()),
        body: "{}".into(),
    }
}

#[rstest]
#[case(PlainService::new(Duration::from_millis(5)), 2)]
#[case(PlainService::deduping(Duration::from_millis(5)), 1)]
#[tokio::test(start_paused = true)]
async fn a_repeated_key_is_executed_again_unless_the_service_deduplicates(
    #[case] service: PlainService,
    #[case] executions: usize,
) {
    service.call(call()).await.expect("answers");
    service.call(call()).await.expect("answers");
    assert_eq!(service.executions("k1"), executions);
}

#[rstest]
#[case(PlainFault::LostBefore, 0)]
#[case(PlainFault::LostAfter, 1)]
#[tokio::test(start_paused = true)]
async fn a_call_with_a_lost_answer_may_have_taken_effect(
    #[case] fault: PlainFault,
    #[case] executions: usize,
) {
    let service = PlainService::new(Duration::from_millis(5));
    service.faults().script(1, fault);
    assert!(service.call(call()).await.is_err());
    assert_eq!(service.executions("k1"), executions);
}
