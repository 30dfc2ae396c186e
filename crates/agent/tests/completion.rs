//! Completions through an agent: complete and interrupted streams, disconnects and drain.
//!
//! The tests guard against an incomplete answer, or one of another request, that is reported as
//! finished, and against slots and engine runs that outlive their request.

mod common;

use common::{TestAgent, engine_options, running, start_engine};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures::StreamExt;
use kumquatkeel_standin::engine::{EngineCall, EngineFault, Prompt, RunEnd};
use kumquatkeel_types::message::{AttemptEvent, NotRunReason, OrderResult};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

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

/// Passes requests on to an engine, but answers completions by an event without an end; returns the address and
/// how much was sent of the event.
async fn start_endless_events(engine: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, sent) = (
        listener.local_addr().unwrap(),
        Arc::new(AtomicUsize::new(0)),
    );
    let counter = sent.clone();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(pass_on(client, engine, counter.clone()));
        }
    });
    (address, sent)
}

async fn pass_on(
    mut client: TcpStream,
    engine: SocketAddr,
    sent: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    let mut engine = TcpStream::connect(engine).await?;
    let (mut request, mut answer) = ([0; 16 * 1024], [0; 16 * 1024]);
    loop {
        tokio::select! {
            size = client.read(&mut request) => match size? {
                0 => return Ok(()),
                size if request[..size].starts_with(b"POST /v1/completions") => break,
                size => engine.write_all(&request[..size]).await?,
            },
            size = engine.read(&mut answer) => match size? {
                0 => return Ok(()),
                size => client.write_all(&answer[..size]).await?,
            },
        }
    }
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ";
    client.write_all(head.as_bytes()).await?;
    let part = [b'x'; 16 * 1024];
    loop {
        client.write_all(&part).await?;
        sent.fetch_add(part.len(), Ordering::Relaxed);
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
}

/// The decoder of events would keep all of it.
#[tokio::test]
async fn an_event_without_end_is_kept_without_end() {
    /// The largest event, and what the sockets hold.
    const MOST: usize = 256 * 1024 + 1024 * 1024;
    let (_engine, server) = start_engine(engine_options());
    let (address, sent) = start_endless_events(server.address()).await;
    let fixture = TestAgent::engine(address, None).await;
    fixture.load_until_ready("small").await;
    let events = fixture.run(&fixture.completion("small", 12)).await;
    // Not by the pause between two tokens, which comes later.
    let is_too_large = |message: &str| message.contains("the event is too large");
    assert!(
        matches!(events.last(), Some(AttemptEvent::Failed { message, .. }) if is_too_large(message)),
        "{events:?}"
    );
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MOST, "{sent} bytes were read");
}
