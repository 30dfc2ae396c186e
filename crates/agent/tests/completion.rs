//! Completions through an agent: whole answers, cut ones, and callers that leave.

mod common;

use common::{Site, engine_options, running, start_engine};
use futures::StreamExt;
use kumquatkeel_standin::engine::{EngineCall, EngineFault, Prompt, RunEnd};
use kumquatkeel_types::message::{AttemptEvent, NotRunReason, OrderResult};
use rstest::rstest;

fn tokens(events: &[AttemptEvent]) -> Vec<String> {
    let text = |event: &AttemptEvent| match event {
        AttemptEvent::Token { text, .. } => Some(text.clone()),
        _ => None,
    };
    events.iter().filter_map(text).collect()
}

fn reason(events: &[AttemptEvent]) -> Option<NotRunReason> {
    match events {
        [AttemptEvent::NotRun { reason, .. }] => Some(*reason),
        _ => None,
    }
}

#[tokio::test]
async fn a_completion_is_streamed_whole() {
    let (_engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    let events = site.run(&site.completion("small", 12)).await;
    let expected = Prompt::new("small", "1", "a box of 500 pieces").with_seed(7);
    assert!(matches!(
        events.first(),
        Some(AttemptEvent::Accepted { .. })
    ));
    assert_eq!(tokens(&events), expected.expected(12).tokens);
    let last = events.last();
    assert!(
        matches!(last, Some(AttemptEvent::Finished { tokens: 12, .. })),
        "{last:?}"
    );
}

#[rstest]
#[case::cut(EngineFault::CutAfter(3), 3)]
#[case::lost(EngineFault::LostAfter, 0)]
#[case::silent(EngineFault::Silent, 0)]
#[tokio::test]
async fn an_answer_without_its_end_mark_is_never_finished(
    #[case] fault: EngineFault,
    #[case] whole: usize,
) {
    let (engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    engine.faults().script(EngineCall::Completion, 1, fault);
    let events = site.run(&site.completion("small", 12)).await;
    assert_eq!(tokens(&events).len(), whole);
    assert!(
        matches!(events.last(), Some(AttemptEvent::Failed { .. })),
        "{events:?}"
    );
    site.until(|m| running(m) == 0).await;
}

#[tokio::test]
async fn an_answer_of_another_request_is_cut() {
    let (engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    site.run(&site.completion("small", 12)).await;
    engine
        .faults()
        .script(EngineCall::Completion, 1, EngineFault::Crossed);
    let events = site.run(&site.completion("small", 12)).await;
    assert!(tokens(&events).is_empty(), "{events:?}");
    assert!(
        matches!(events.last(), Some(AttemptEvent::Failed { .. })),
        "{events:?}"
    );
}

#[tokio::test]
async fn a_model_that_is_not_resident_is_not_run() {
    let (engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    let events = site.run(&site.completion("small", 12)).await;
    assert_eq!(reason(&events), Some(NotRunReason::NotResident));
    assert!(engine.record().runs.is_empty());
}

#[tokio::test]
async fn an_engine_that_is_gone_is_told_as_not_run() {
    let (_engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    server.stop().await;
    let events = site.run(&site.completion("small", 12)).await;
    assert_eq!(reason(&events), Some(NotRunReason::TargetUnreachable));
}

#[tokio::test]
async fn a_caller_that_leaves_frees_the_slot_and_stops_the_engine() {
    let (engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    engine.faults().set_slowness(20.0);
    let mut first = site.send(&site.completion("small", 200)).await;
    assert!(matches!(
        first.next().await,
        Some(AttemptEvent::Accepted { .. })
    ));
    let waiting = site.completion("small", 200);
    let second = site.send(&waiting).await;
    site.until(|m| m.target.as_ref().is_some_and(|t| t.load.waiting == 1))
        .await;
    drop(second);
    site.until(|m| m.target.as_ref().is_some_and(|t| t.load.waiting == 0))
        .await;
    drop(first);
    site.until(|m| running(m) == 0).await;
    let runs = engine.record().runs;
    assert_eq!(
        runs.len(),
        1,
        "the waiting attempt never reached the engine"
    );
    assert_eq!(runs[0].end, RunEnd::Cancelled);
    assert_eq!(engine.faults().calls(EngineCall::Cancel), 1);
    let events = site.run(&waiting).await;
    assert_eq!(reason(&events), Some(NotRunReason::Cancelled));
}

#[tokio::test]
async fn a_drain_lets_the_stream_end_and_refuses_new_work() {
    let (_engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    let mut stream = site.send(&site.completion("small", 40)).await;
    assert!(matches!(
        stream.next().await,
        Some(AttemptEvent::Accepted { .. })
    ));
    let refused = async {
        site.until(|m| m.state == kumquatkeel_types::message::MemberState::Draining)
            .await;
        site.run(&site.completion("small", 4)).await
    };
    let drained = async {
        let all_ended = site.agent.drain().await;
        (all_ended, running(&site.status().await))
    };
    let events = stream.collect::<Vec<_>>();
    let (drained, events, refused) = tokio::join!(drained, events, refused);
    assert_eq!(drained, (true, 0));
    let load = site.load("large").await.result;
    assert!(matches!(load, OrderResult::Refused { .. }), "{load:?}");
    assert!(
        matches!(events.last(), Some(AttemptEvent::Finished { .. })),
        "{events:?}"
    );
    assert_eq!(reason(&refused), Some(NotRunReason::Draining));
}
