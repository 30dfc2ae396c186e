//! The stand-in of the engines answers deterministically, batches requests, accounts for memory and
//! injects the faults that are set.
//!
//! Otherwise the tests of the agent pass against an engine that behaves unlike the real ones.

use std::time::Duration;

use kumquatkeel_standin::engine::{
    Engine, EngineCall, EngineError, EngineFault, EngineOptions, Prompt, RunEnd,
};
use kumquatkeel_types::ModelId;
use kumquatkeel_types::document::{Adapter, Fencing, Model};
use kumquatkeel_types::engine::{
    EngineCancel, EngineChunk, EngineCompletion, EngineOrder, EngineOrderReply,
};
use kumquatkeel_types::message::OrderAction;
use rstest::rstest;
use tokio::sync::mpsc;

const LOAD_TIME: Duration = Duration::from_secs(4);

fn model(name: &str, memory_mb: u32) -> Model {
    Model {
        name: name.try_into().expect("name"),
        version: "1".try_into().expect("name"),
        memory_mb,
        kv_mb: 1_000,
        slots: 2,
    }
}

fn id(name: &str) -> ModelId {
    model(name, 1).id()
}

fn engine(fencing: Fencing) -> Engine {
    Engine::new(EngineOptions {
        accelerator_mb: 10_000,
        fencing,
        models: vec![model("a", 5_000), model("b", 5_000)],
        adapters: vec![Adapter {
            name: "a-lora".try_into().expect("name"),
            model: "a".try_into().expect("name"),
            memory_mb: 100,
        }],
        ..EngineOptions::default()
    })
}

fn load(name: &str, fence: u64) -> EngineOrder {
    EngineOrder {
        fence,
        number: 1,
        action: OrderAction::Load {
            model: id(name),
            accelerator: 0,
        },
    }
}

fn unload(name: &str, fence: u64) -> EngineOrder {
    EngineOrder {
        fence,
        number: 2,
        action: OrderAction::Unload {
            model: id(name),
            accelerator: 0,
        },
    }
}

fn request(request_id: &str) -> EngineCompletion {
    EngineCompletion {
        request_id: request_id.into(),
        model: id("a"),
        adapter: None,
        prompt: format!("prompt of {request_id}"),
        max_tokens: 40,
        seed: 7,
        priority: 5,
        resume: Vec::new(),
    }
}

async fn loaded(fencing: Fencing) -> Engine {
    let engine = engine(fencing);
    assert_eq!(engine.order(load("a", 1)).await, Ok(EngineOrderReply::Done));
    engine
}

async fn drain(mut chunks: mpsc::Receiver<EngineChunk>) -> Vec<EngineChunk> {
    let mut all = Vec::new();
    while let Some(chunk) = chunks.recv().await {
        all.push(chunk);
    }
    all
}

fn text(chunks: &[EngineChunk]) -> String {
    chunks.iter().map(|chunk| chunk.text.as_str()).collect()
}

#[tokio::test(start_paused = true)]
async fn a_complete_answer_is_the_expected_text() {
    let engine = loaded(Fencing::Enforced).await;
    let request = request("r1");
    let chunks = drain(engine.complete(request.clone()).await.expect("runs")).await;
    let expected = Prompt::from(&request).expected(40);
    assert_eq!(text(&chunks), expected.text());
    let last = chunks.last().expect("has an end");
    assert_eq!(last.finish_reason, Some(expected.finish));
    assert_eq!(
        engine.record().runs[0].end,
        RunEnd::Finished(expected.finish)
    );
}

#[tokio::test(start_paused = true)]
async fn a_resumed_answer_continues_the_interrupted_text() {
    let engine = loaded(Fencing::Enforced).await;
    let interruption = EngineFault::InterruptAfter(5);
    engine
        .faults()
        .script(EngineCall::Completion, 1, interruption);
    let mut request = request("r1");
    let first = drain(engine.complete(request.clone()).await.expect("runs")).await;
    assert!(first.iter().all(|chunk| chunk.finish_reason.is_none()));
    request.resume = first.iter().map(|chunk| chunk.text.clone()).collect();
    let rest = drain(engine.complete(request.clone()).await.expect("runs")).await;
    let expected = Prompt::from(&request).expected(40).text();
    assert_eq!(text(&first) + &text(&rest), expected);
}

#[tokio::test(start_paused = true)]
async fn a_crossed_answer_is_that_of_the_previous_request() {
    let engine = loaded(Fencing::Enforced).await;
    let crossed = EngineFault::Crossed;
    engine.faults().script(EngineCall::Completion, 2, crossed);
    let first = drain(engine.complete(request("r1")).await.expect("runs")).await;
    let second = drain(engine.complete(request("r2")).await.expect("runs")).await;
    assert_eq!(text(&first), text(&second));
    assert!(second.iter().all(|chunk| chunk.request_id == "r1"));
}

#[tokio::test(start_paused = true)]
async fn requests_beyond_the_slots_wait_in_order_of_priority() {
    let engine = loaded(Fencing::Enforced).await;
    let mut running = Vec::new();
    for (name, priority) in [("r1", 5), ("r2", 5), ("late", 9), ("soon", 0)] {
        let mut request = request(name);
        request.priority = priority;
        running.push(engine.complete(request).await.expect("runs"));
    }
    let soon = running.pop().expect("four");
    let late = running.pop().expect("four");
    for chunks in running {
        tokio::spawn(drain(chunks));
    }
    let soon = tokio::spawn(drain(soon));
    let mut late = late;
    late.recv().await.expect("a token");
    assert!(soon.is_finished() || engine.record().runs[3].sent > 0);
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_run_frees_its_slot() {
    let engine = loaded(Fencing::Enforced).await;
    let mut chunks = engine.complete(request("r1")).await.expect("runs");
    chunks.recv().await.expect("a token");
    let cancel = EngineCancel {
        request_id: "r1".into(),
    };
    engine.cancel(&cancel).await.expect("cancels");
    drain(chunks).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(engine.record().runs[0].end, RunEnd::Cancelled);
    assert_eq!(engine.load().await.expect("reads").replicas[0].running, 0);
    assert_eq!(
        engine.order(unload("a", 1)).await,
        Ok(EngineOrderReply::Done)
    );
}

#[rstest]
#[case(Fencing::Enforced, EngineOrderReply::OldFence)]
#[case(Fencing::Ignored, EngineOrderReply::Done)]
#[tokio::test(start_paused = true)]
async fn an_old_fencing_token_is_refused_if_fencing_is_enforced(
    #[case] fencing: Fencing,
    #[case] reply: EngineOrderReply,
) {
    let engine = engine(fencing);
    assert_eq!(engine.order(load("a", 5)).await, Ok(EngineOrderReply::Done));
    assert_eq!(engine.order(unload("a", 4)).await, Ok(reply));
}

#[tokio::test(start_paused = true)]
async fn memory_is_in_use_until_the_unload_ends() {
    let engine = loaded(Fencing::Enforced).await;
    let unloading = tokio::spawn({
        let engine = engine.clone();
        async move { engine.order(unload("a", 1)).await }
    });
    tokio::task::yield_now().await;
    let early = engine.order(load("b", 1)).await;
    assert_eq!(early, Ok(EngineOrderReply::NoMemory));
    assert_eq!(engine.record().violations.len(), 1);
    assert_eq!(unloading.await.expect("joins"), Ok(EngineOrderReply::Done));
    assert_eq!(engine.order(load("b", 1)).await, Ok(EngineOrderReply::Done));
}

#[rstest]
#[case(EngineFault::LostBefore, false)]
#[case(EngineFault::LostAfter, true)]
#[case(EngineFault::LateEffect(Duration::from_secs(30)), true)]
#[tokio::test(start_paused = true)]
async fn an_order_with_a_lost_answer_may_have_been_executed(
    #[case] fault: EngineFault,
    #[case] done: bool,
) {
    let engine = engine(Fencing::Ignored);
    engine.faults().script(EngineCall::Order, 1, fault);
    assert_eq!(engine.order(load("a", 1)).await, Err(EngineError::Lost));
    tokio::time::sleep(Duration::from_secs(40)).await;
    assert_eq!(engine.complete(request("r1")).await.is_ok(), done);
}

#[tokio::test(start_paused = true)]
async fn a_load_report_is_visible_after_the_lag() {
    let engine = engine(Fencing::Enforced);
    let before = engine.load().await.expect("reads");
    assert!(before.replicas.is_empty());
    let order = tokio::spawn({
        let engine = engine.clone();
        async move { engine.order(load("a", 3)).await }
    });
    tokio::time::sleep(LOAD_TIME + Duration::from_millis(100)).await;
    order.await.expect("joins").expect("answers");
    assert!(!engine.load().await.expect("reads").replicas[0].ready);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let after = engine.load().await.expect("reads");
    assert!(after.replicas[0].ready);
    assert_eq!((after.fence, after.used_mb), (3, vec![6_000]));
}

#[tokio::test(start_paused = true)]
async fn cache_events_are_delayed_and_lost_ones_leave_gaps() {
    let engine = loaded(Fencing::Enforced).await;
    engine.lose_cache_events(1);
    let mut long = request("r1");
    long.prompt = "x".repeat(200);
    drain(engine.complete(long).await.expect("runs")).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let events = engine.cache_events(0).await.expect("reads").events;
    let numbers: Vec<_> = events.iter().map(|event| event.sequence).collect();
    assert_eq!(numbers, [2, 3, 4]);
}
