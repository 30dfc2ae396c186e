//! Completions through an agent: complete and interrupted streams, disconnects and drain.
//!
//! The tests guard against an incomplete answer, or one of another request, that is reported as
//! finished, and against slots and engine runs that outlive their request.

mod common;

use common::{TestAgent, engine_options, running, start_engine};
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
async fn a_completion_is_streamed_to_its_finish_event() {
    let (_engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    let events = fixture.run(&fixture.completion("small", 12)).await;
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
#[case::truncated(EngineFault::InterruptAfter(3), 3)]
#[case::lost(EngineFault::LostAfter, 0)]
#[case::silent(EngineFault::Silent, 0)]
#[tokio::test]
async fn a_stream_without_a_finish_reason_is_reported_as_failed(
    #[case] fault: EngineFault,
    #[case] token_count: usize,
) {
    let (engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    engine.faults().script(EngineCall::Completion, 1, fault);
    let events = fixture.run(&fixture.completion("small", 12)).await;
    assert_eq!(tokens(&events).len(), token_count);
    assert!(
        matches!(events.last(), Some(AttemptEvent::Failed { .. })),
        "{events:?}"
    );
    fixture.wait_for(|m| running(m) == 0).await;
}

#[tokio::test]
async fn an_answer_with_another_request_id_is_reported_as_failed() {
    let (engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    fixture.run(&fixture.completion("small", 12)).await;
    engine
        .faults()
        .script(EngineCall::Completion, 1, EngineFault::Crossed);
    let events = fixture.run(&fixture.completion("small", 12)).await;
    assert!(tokens(&events).is_empty(), "{events:?}");
    assert!(
        matches!(events.last(), Some(AttemptEvent::Failed { .. })),
        "{events:?}"
    );
}

#[tokio::test]
async fn an_attempt_for_a_model_that_is_not_resident_is_not_run() {
    let (engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    let events = fixture.run(&fixture.completion("small", 12)).await;
    assert_eq!(reason(&events), Some(NotRunReason::NotResident));
    assert!(engine.record().runs.is_empty());
}

#[tokio::test]
async fn an_attempt_for_an_unreachable_engine_is_not_run() {
    let (_engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    server.stop().await;
    let events = fixture.run(&fixture.completion("small", 12)).await;
    assert_eq!(reason(&events), Some(NotRunReason::TargetUnreachable));
}

#[tokio::test]
async fn a_disconnect_frees_the_slot_and_cancels_at_the_engine() {
    let (engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    engine.faults().set_slowness(20.0);
    let mut first = fixture.send(&fixture.completion("small", 200)).await;
    assert!(matches!(
        first.next().await,
        Some(AttemptEvent::Accepted { .. })
    ));
    let waiting = fixture.completion("small", 200);
    let second = fixture.send(&waiting).await;
    fixture
        .wait_for(|m| m.target.as_ref().is_some_and(|t| t.load.waiting == 1))
        .await;
    drop(second);
    fixture
        .wait_for(|m| m.target.as_ref().is_some_and(|t| t.load.waiting == 0))
        .await;
    drop(first);
    fixture.wait_for(|m| running(m) == 0).await;
    let runs = engine.record().runs;
    assert_eq!(
        runs.len(),
        1,
        "the waiting attempt must not reach the engine"
    );
    assert_eq!(runs[0].end, RunEnd::Cancelled);
    assert_eq!(engine.faults().calls(EngineCall::Cancel), 1);
    let events = fixture.run(&waiting).await;
    assert_eq!(reason(&events), Some(NotRunReason::Cancelled));
}

#[tokio::test]
async fn a_drain_lets_running_streams_finish_and_refuses_new_work() {
    let (_engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    let mut stream = fixture.send(&fixture.completion("small", 40)).await;
    assert!(matches!(
        stream.next().await,
        Some(AttemptEvent::Accepted { .. })
    ));
    let refused = async {
        fixture
            .wait_for(|m| m.state == kumquatkeel_types::message::MemberState::Draining)
            .await;
        fixture.run(&fixture.completion("small", 4)).await
    };
    let drained = async {
        let all_ended = fixture.agent.drain().await;
        (all_ended, running(&fixture.status().await))
    };
    let events = stream.collect::<Vec<_>>();
    let (drained, events, refused) = tokio::join!(drained, events, refused);
    assert_eq!(drained, (true, 0));
    let load = fixture.load("large").await.result;
    assert!(matches!(load, OrderResult::Refused { .. }), "{load:?}");
    assert!(
        matches!(events.last(), Some(AttemptEvent::Finished { .. })),
        "{events:?}"
    );
    assert_eq!(reason(&refused), Some(NotRunReason::Draining));
}
