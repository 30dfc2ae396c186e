//! Orders through an agent: epochs, numbers, incarnations, memory, and lost answers.
//!
//! The tests guard against an order that is executed twice or by a stale holder, and against memory
//! that is counted as free while an order without an answer may still be executed.

mod common;

use common::{
    ORDER_DELAY, TestAgent, committed_mb, engine_options, model, replica_state, running,
    start_engine,
};
use futures::StreamExt;
use kumquatkeel_standin::engine::{EngineCall, EngineFault};
use kumquatkeel_types::message::{AttemptEvent, Order, OrderAction, OrderResult, ReplicaState};
use kumquatkeel_types::{Epoch, Incarnation};
use rstest::rstest;

fn load(name: &str) -> OrderAction {
    OrderAction::Load {
        model: model(name),
        accelerator: 0,
    }
}

#[tokio::test]
async fn a_repeated_order_is_executed_once_and_shows_in_the_status() {
    let (engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    let order = fixture.make_order(load("large"));
    let first = fixture.order(&order).await;
    // One accelerator of 100 MB holds the small replica of 40 MB.
    assert_eq!(first.result, OrderResult::NoMemory { free_mb: 60 });
    let unload = fixture.make_order(OrderAction::Unload {
        model: model("small"),
        accelerator: 0,
    });
    for _ in 0..2 {
        assert_eq!(fixture.order(&unload).await.result, OrderResult::Started);
    }
    fixture
        .wait_for(|m| replica_state(m, "small").is_none())
        .await;
    assert_eq!(fixture.order(&order).await.result, OrderResult::Started);
    fixture
        .wait_for(|m| replica_state(m, "large") == Some(ReplicaState::Ready))
        .await;
    assert_eq!(engine.record().orders.len(), 3);
    assert!(engine.record().violations.is_empty());
}

#[rstest]
#[case::epoch(|o: Order| Order { epoch: Epoch(0), ..o }, OrderResult::OldEpoch)]
#[case::incarnation(|o: Order| Order { incarnation: Incarnation(1), ..o }, OrderResult::WrongIncarnation)]
#[case::accelerator(
    |o: Order| Order { action: OrderAction::Load { model: model("small"), accelerator: 7 }, ..o },
    OrderResult::Refused { reason: "the target has no such accelerator".into() }
)]
#[case::model(
    |o: Order| Order { action: load("no-such-model"), ..o },
    OrderResult::Refused { reason: "the model or adapter is not known".into() }
)]
#[tokio::test]
async fn an_invalid_order_never_reaches_the_engine(
    #[case] alter: fn(Order) -> Order,
    #[case] expected: OrderResult,
) {
    let (engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    let order = alter(fixture.make_order(load("large")));
    assert_eq!(fixture.order(&order).await.result, expected);
    assert_eq!(engine.record().orders.len(), 1);
}

#[tokio::test]
async fn memory_of_an_order_with_a_lost_answer_stays_committed_until_it_is_settled() {
    let (engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    fixture.unload("small").await;
    fixture
        .wait_for(|m| replica_state(m, "small").is_none())
        .await;
    let late = EngineFault::LateEffect(ORDER_DELAY / 2);
    engine.faults().script(EngineCall::Order, 1, late);
    assert_eq!(fixture.load("large").await.result, OrderResult::Started);
    let uncertain = fixture
        .wait_for(|m| replica_state(m, "large") == Some(ReplicaState::Uncertain))
        .await;
    assert_eq!(committed_mb(&uncertain), 70);
    let other = fixture.load("small").await.result;
    assert_eq!(other, OrderResult::NoMemory { free_mb: 30 });
    fixture
        .wait_for(|m| replica_state(m, "large") == Some(ReplicaState::Ready))
        .await;
    assert!(engine.record().violations.is_empty());
}

#[tokio::test]
async fn memory_of_a_lost_order_is_released_after_the_order_delay() {
    let (engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    let orders = engine.record().orders.len();
    fixture.unload("small").await;
    fixture
        .wait_for(|m| replica_state(m, "small").is_none())
        .await;
    engine
        .faults()
        .script(EngineCall::Order, 1, EngineFault::LostBefore);
    assert_eq!(fixture.load("large").await.result, OrderResult::Started);
    let uncertain = fixture
        .wait_for(|m| replica_state(m, "large") == Some(ReplicaState::Uncertain))
        .await;
    assert_eq!(committed_mb(&uncertain), 70);
    let released = fixture
        .wait_for(|m| replica_state(m, "large").is_none())
        .await;
    assert_eq!(committed_mb(&released), 0);
    assert_eq!(engine.record().orders.len(), orders + 1);
}

#[tokio::test]
async fn an_unload_waits_for_the_running_stream() {
    let (engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    let mut stream = fixture.send(&fixture.completion("small", 60)).await;
    assert!(matches!(
        stream.next().await,
        Some(AttemptEvent::Accepted { .. })
    ));
    assert_eq!(fixture.unload("small").await.result, OrderResult::Started);
    let member = fixture.status().await;
    assert_eq!(
        replica_state(&member, "small"),
        Some(ReplicaState::Unloading)
    );
    let refused = fixture.run(&fixture.completion("small", 4)).await;
    assert!(
        matches!(&refused[..], [AttemptEvent::NotRun { .. }]),
        "{refused:?}"
    );
    let events: Vec<_> = stream.collect().await;
    assert!(
        matches!(events.last(), Some(AttemptEvent::Finished { .. })),
        "{events:?}"
    );
    fixture
        .wait_for(|m| replica_state(m, "small").is_none())
        .await;
    let refusals = engine
        .record()
        .orders
        .iter()
        .filter(|o| o.reply == Some(kumquatkeel_types::engine::EngineOrderReply::Refused))
        .count();
    assert_eq!(
        refusals, 0,
        "the unload must be sent only when nothing runs"
    );
}

#[tokio::test]
async fn an_unload_is_refused_while_requests_wait() {
    let (engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    engine.faults().set_slowness(20.0);
    let running_stream = fixture.send(&fixture.completion("small", 200)).await;
    fixture.wait_for(|m| running(m) == 1).await;
    let waiting_stream = fixture.send(&fixture.completion("small", 200)).await;
    fixture
        .wait_for(|m| m.target.as_ref().is_some_and(|t| t.load.waiting == 1))
        .await;
    let refused = fixture.unload("small").await.result;
    assert!(
        matches!(refused, OrderResult::Refused { .. }),
        "{refused:?}"
    );
    drop((running_stream, waiting_stream));
}
