//! Restart of an agent: a new incarnation recovers the open orders of the previous one and
//! supersedes it.
//!
//! The tests guard against an order that is sent without a stored intent or by a superseded
//! incarnation, and against memory that is counted as free while an earlier order may still be
//! executed.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{
    ORDER_LEASE, TestAgent, committed_mb, engine_options, model, replica_state, start_engine,
};
use kumquatkeel_core::memory::{Intent, TargetRecord};
use kumquatkeel_platform::{ObjectKey, ObjectStore};
use kumquatkeel_standin::engine::{EngineCall, EngineFault};
use kumquatkeel_standin::platform::MemoryStore;
use kumquatkeel_types::message::{
    AttemptEvent, FenceReply, FenceRequest, MemberState, NotRunReason, OrderAction, OrderResult,
    ReplicaState,
};

fn load(name: &str) -> OrderAction {
    OrderAction::Load {
        model: model(name),
        accelerator: 0,
    }
}

async fn record(store: &MemoryStore) -> TargetRecord {
    let object = store.get(&ObjectKey::from("agents/t1")).await.unwrap();
    serde_json::from_slice(&object.unwrap().value).unwrap()
}

#[tokio::test]
async fn an_intent_is_written_before_its_order_and_recovered_by_the_next_incarnation() {
    let (engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let first = TestAgent::engine(server.address(), Some(Arc::new(store.clone()))).await;
    first.load_until_ready("small").await;
    first.unload("small").await;
    first
        .wait_for(|m| replica_state(m, "small").is_none())
        .await;
    engine
        .faults()
        .script(EngineCall::Order, 1, EngineFault::LostBefore);
    assert_eq!(first.load("large").await.result, OrderResult::Started);
    first
        .wait_for(|m| replica_state(m, "large") == Some(ReplicaState::Uncertain))
        .await;
    let intent = Intent {
        action: load("large"),
        mb: 70,
    };
    assert!(record(&store).await.intents.contains(&intent));

    let second = TestAgent::engine(server.address(), Some(Arc::new(store.clone()))).await;
    assert!(second.agent.incarnation() > first.agent.incarnation());
    let member = second.status().await;
    assert_eq!(
        replica_state(&member, "large"),
        Some(ReplicaState::Uncertain)
    );
    assert_eq!(
        committed_mb(&member),
        70,
        "open orders of the first incarnation stay committed"
    );
    second.wait_for(|m| committed_mb(m) == 0).await;
}

#[tokio::test]
async fn a_superseded_incarnation_sends_no_order_and_refuses_work() {
    let (engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let first = TestAgent::engine(server.address(), Some(Arc::new(store.clone()))).await;
    first.load_until_ready("small").await;
    let second = TestAgent::engine(server.address(), Some(Arc::new(store.clone()))).await;
    let orders = engine.record().orders.len();
    assert_eq!(first.unload("small").await.result, OrderResult::Started);
    first.wait_for(|m| m.state == MemberState::Draining).await;
    assert_eq!(engine.record().orders.len(), orders);
    let events = first.run(&first.completion("small", 4)).await;
    let reason = NotRunReason::Draining;
    assert!(
        matches!(&events[..], [AttemptEvent::NotRun { reason: r, .. }] if *r == reason),
        "{events:?}"
    );
    second
        .wait_for(|m| replica_state(m, "small") == Some(ReplicaState::Ready))
        .await;
}

#[tokio::test]
async fn without_the_store_an_agent_serves_but_sends_no_order_until_it_returns() {
    let (engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let first = TestAgent::engine(server.address(), Some(Arc::new(store.clone()))).await;
    first.load_until_ready("small").await;
    store.faults().set_outage(true);
    let second = TestAgent::engine(server.address(), Some(Arc::new(store.clone()))).await;
    second
        .wait_for(|m| replica_state(m, "small") == Some(ReplicaState::Ready))
        .await;
    let orders = engine.record().orders.len();
    let refused = second.unload("small").await.result;
    assert!(
        matches!(refused, OrderResult::Quarantined { .. }),
        "{refused:?}"
    );
    let events = second.run(&second.completion("small", 4)).await;
    assert!(
        matches!(events.last(), Some(AttemptEvent::Finished { .. })),
        "{events:?}"
    );
    assert_eq!(engine.record().orders.len(), orders);
    store.faults().set_outage(false);
    second.load_until_ready("small").await;
    while let OrderResult::Quarantined { .. } = second.unload("small").await.result {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    second
        .wait_for(|m| replica_state(m, "small").is_none())
        .await;
}

#[tokio::test]
async fn an_order_is_not_sent_if_its_intent_can_not_be_written() {
    let (engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let fixture = TestAgent::engine(server.address(), Some(Arc::new(store.clone()))).await;
    fixture.load_until_ready("small").await;
    let orders = engine.record().orders.len();
    store.faults().set_outage(true);
    assert_eq!(fixture.unload("small").await.result, OrderResult::Started);
    fixture
        .wait_for(|m| replica_state(m, "small") == Some(ReplicaState::Ready))
        .await;
    assert_eq!(engine.record().orders.len(), orders);
}

#[tokio::test]
async fn a_fence_of_an_earlier_incarnation_is_answered_with_the_current_one() {
    let (_engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let first = TestAgent::engine(server.address(), Some(Arc::new(store.clone()))).await;
    let attempt = first.completion("small", 4).attempt;
    let second = TestAgent::engine(server.address(), Some(Arc::new(store.clone()))).await;
    let request = FenceRequest {
        attempt,
        incarnation: first.agent.incarnation(),
    };
    let incarnation = second.agent.incarnation();
    let reply = second.fence_as(request).await;
    assert_eq!(reply, FenceReply::WrongIncarnation { incarnation });
}

#[tokio::test]
async fn an_order_is_not_sent_if_its_intent_write_outlasts_the_lease() {
    let (engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let fixture = TestAgent::engine(server.address(), Some(Arc::new(store.clone()))).await;
    fixture.load_until_ready("small").await;
    let orders = engine.record().orders.len();
    store.faults().set_write_delay(ORDER_LEASE * 2);
    assert_eq!(fixture.unload("small").await.result, OrderResult::Started);
    fixture
        .wait_for(|m| replica_state(m, "small") == Some(ReplicaState::Ready))
        .await;
    assert_eq!(engine.record().orders.len(), orders);
}

#[tokio::test]
async fn an_agent_steps_down_for_a_later_incarnation() {
    let (engine, server) = start_engine(engine_options());
    let fixture = TestAgent::engine(server.address(), None).await;
    fixture.load_until_ready("small").await;
    let orders = engine.record().orders.len();
    fixture
        .agent
        .control()
        .step_down("a later incarnation serves");
    let refused = fixture.unload("small").await.result;
    assert_eq!(refused, OrderResult::WrongIncarnation);
    assert_eq!(fixture.status().await.state, MemberState::Draining);
    assert_eq!(engine.record().orders.len(), orders);
}
