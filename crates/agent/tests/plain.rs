//! Calls of a plain service through an agent: each key runs at most once, and fences tell the truth.

mod common;

use std::time::Duration;

use common::{Site, running};
use kumquatkeel_standin::plain::{PlainFault, PlainServer, PlainService};
use kumquatkeel_types::ErrorCode;
use kumquatkeel_types::message::{AttemptEvent, FenceReply, NotRunReason, Work};
use rstest::rstest;

async fn site(work_time: Duration) -> (Site, PlainService, PlainServer) {
    let service = PlainService::new(work_time);
    let listen = "127.0.0.1:0".parse().unwrap();
    let server = PlainServer::start(listen, service.clone()).unwrap();
    let site = Site::plain(server.address()).await;
    (site, service, server)
}

fn answer(events: &[AttemptEvent]) -> Option<&str> {
    match events.last() {
        Some(AttemptEvent::Answered { body, .. }) => Some(body),
        _ => None,
    }
}

#[tokio::test]
async fn a_repeated_key_gets_the_first_answer() {
    let (site, service, _server) = site(Duration::from_millis(50)).await;
    let (first, second) = (site.call("k1"), site.call("k1"));
    let (first, second) = tokio::join!(site.run(&first), site.run(&second));
    let third = site.run(&site.call("k1")).await;
    for events in [&first, &second, &third] {
        let first = events.first();
        assert!(
            matches!(first, Some(AttemptEvent::Accepted { .. })),
            "{events:?}"
        );
        assert_eq!(answer(events), Some(r#"{"number":1}"#), "{events:?}");
    }
    assert_eq!(service.executions("k1"), 1);
}

#[tokio::test]
async fn two_callers_with_one_key_each_get_their_own_answer() {
    let (site, service, _server) = site(Duration::ZERO).await;
    let mut answers = Vec::new();
    for caller in ["a", "b", "a"] {
        let mut dispatch = site.call("k1");
        if let Work::Plain(work) = &mut dispatch.work {
            work.caller = Some(caller.try_into().unwrap());
        }
        let events = site.run(&dispatch).await;
        answers.push(answer(&events).unwrap_or_default().to_owned());
    }
    assert_eq!(
        answers,
        [r#"{"number":1}"#, r#"{"number":2}"#, r#"{"number":1}"#]
    );
    let keys: Vec<_> = service
        .executed()
        .into_iter()
        .filter_map(|call| call.key)
        .collect();
    assert_eq!(keys, ["a:k1", "b:k1"]);
}

#[rstest]
#[case::before(PlainFault::LostBefore, 0)]
#[case::after(PlainFault::LostAfter, 1)]
#[tokio::test]
async fn a_lost_answer_is_unknown_and_never_a_second_run(
    #[case] fault: PlainFault,
    #[case] executions: usize,
) {
    let (site, service, _server) = site(Duration::ZERO).await;
    service.faults().script(1, fault);
    let first = site.call("k1");
    for dispatch in [&first, &site.call("k1"), &first] {
        let events = site.run(dispatch).await;
        let last = events.last();
        let code = ErrorCode::Interrupted;
        assert!(
            matches!(last, Some(AttemptEvent::Failed { code: c, .. }) if *c == code),
            "{events:?}"
        );
    }
    assert_eq!(service.executions("k1"), executions);
    assert_eq!(site.fence(&first.attempt).await, FenceReply::Unknown);
}

#[tokio::test]
async fn a_call_goes_on_when_its_caller_has_left() {
    let (site, service, _server) = site(Duration::from_millis(100)).await;
    let call = site.call("k1");
    drop(site.send(&call).await);
    site.until(|m| running(m) == 1).await;
    assert_eq!(site.fence(&call.attempt).await, FenceReply::Running);
    site.until(|m| running(m) == 0).await;
    let fenced = site.fence(&call.attempt).await;
    assert!(
        matches!(fenced, FenceReply::Answered { status: 200, .. }),
        "{fenced:?}"
    );
    assert_eq!(service.executions("k1"), 1);
}

#[tokio::test]
async fn a_fenced_call_is_not_run_when_it_arrives() {
    let (site, service, _server) = site(Duration::ZERO).await;
    let call = site.call("k1");
    assert_eq!(site.fence(&call.attempt).await, FenceReply::NotRun);
    let events = site.run(&call).await;
    let reason = NotRunReason::Fenced;
    assert!(
        matches!(&events[..], [AttemptEvent::NotRun { reason: r, .. }] if *r == reason),
        "{events:?}"
    );
    assert_eq!(service.executions("k1"), 0);
}

#[tokio::test]
async fn a_service_that_is_gone_is_told_as_not_run_and_may_be_tried_again() {
    let (site, _service, server) = site(Duration::ZERO).await;
    server.stop().await;
    for _ in 0..2 {
        let events = site.run(&site.call("k1")).await;
        let reason = NotRunReason::TargetUnreachable;
        assert!(
            matches!(&events[..], [AttemptEvent::NotRun { reason: r, .. }] if *r == reason),
            "{events:?}"
        );
    }
}
