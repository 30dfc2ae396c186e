//! An agent's next life: what its predecessor left open, and a predecessor that is only paused.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ORDER_LEASE, Site, committed_mb, engine_options, model, start_engine, state_of};
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
async fn an_intent_is_written_before_its_order_and_inherited_by_the_next_life() {
    let (engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let first = Site::engine(server.address(), Some(Arc::new(store.clone()))).await;
    first.serve("small").await;
    first.unload("small").await;
    first.until(|m| state_of(m, "small").is_none()).await;
    engine
        .faults()
        .script(EngineCall::Order, 1, EngineFault::LostBefore);
    assert_eq!(first.load("large").await.result, OrderResult::Started);
    first
        .until(|m| state_of(m, "large") == Some(ReplicaState::Uncertain))
        .await;
    let intent = Intent {
        action: load("large"),
        mb: 70,
    };
    assert!(record(&store).await.intents.contains(&intent));

    let second = Site::engine(server.address(), Some(Arc::new(store.clone()))).await;
    assert!(second.agent.incarnation() > first.agent.incarnation());
    let member = second.status().await;
    assert_eq!(state_of(&member, "large"), Some(ReplicaState::Uncertain));
    assert_eq!(
        committed_mb(&member),
        70,
        "what is open in the first life stays counted"
    );
    second.until(|m| committed_mb(m) == 0).await;
}

#[tokio::test]
async fn a_life_that_lost_the_target_sends_no_order_and_takes_no_work() {
    let (engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let first = Site::engine(server.address(), Some(Arc::new(store.clone()))).await;
    first.serve("small").await;
    let second = Site::engine(server.address(), Some(Arc::new(store.clone()))).await;
    let orders = engine.record().orders.len();
    assert_eq!(first.unload("small").await.result, OrderResult::Started);
    first.until(|m| m.state == MemberState::Draining).await;
    assert_eq!(engine.record().orders.len(), orders);
    let events = first.run(&first.completion("small", 4)).await;
    let reason = NotRunReason::Draining;
    assert!(
        matches!(&events[..], [AttemptEvent::NotRun { reason: r, .. }] if *r == reason),
        "{events:?}"
    );
    second
        .until(|m| state_of(m, "small") == Some(ReplicaState::Ready))
        .await;
}

#[tokio::test]
async fn without_the_store_an_agent_serves_but_gives_no_order_until_it_is_back() {
    let (engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let first = Site::engine(server.address(), Some(Arc::new(store.clone()))).await;
    first.serve("small").await;
    store.faults().set_outage(true);
    let second = Site::engine(server.address(), Some(Arc::new(store.clone()))).await;
    second
        .until(|m| state_of(m, "small") == Some(ReplicaState::Ready))
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
    second.serve("small").await;
    while let OrderResult::Quarantined { .. } = second.unload("small").await.result {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    second.until(|m| state_of(m, "small").is_none()).await;
}

#[tokio::test]
async fn an_order_is_not_sent_when_its_intent_can_not_be_written() {
    let (engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let site = Site::engine(server.address(), Some(Arc::new(store.clone()))).await;
    site.serve("small").await;
    let orders = engine.record().orders.len();
    store.faults().set_outage(true);
    assert_eq!(site.unload("small").await.result, OrderResult::Started);
    site.until(|m| state_of(m, "small") == Some(ReplicaState::Ready))
        .await;
    assert_eq!(engine.record().orders.len(), orders);
}

#[tokio::test]
async fn the_next_life_can_not_say_what_became_of_an_attempt() {
    let (_engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let first = Site::engine(server.address(), Some(Arc::new(store.clone()))).await;
    let attempt = first.completion("small", 4).attempt;
    let second = Site::engine(server.address(), Some(Arc::new(store.clone()))).await;
    let request = FenceRequest {
        attempt,
        incarnation: first.agent.incarnation(),
    };
    let incarnation = second.agent.incarnation();
    let reply = second.fence_as(request).await;
    assert_eq!(reply, FenceReply::WrongIncarnation { incarnation });
}

#[tokio::test]
async fn an_order_is_not_sent_when_its_intent_took_longer_than_the_lease() {
    let (engine, server) = start_engine(engine_options());
    let store = MemoryStore::new();
    let site = Site::engine(server.address(), Some(Arc::new(store.clone()))).await;
    site.serve("small").await;
    let orders = engine.record().orders.len();
    store.faults().set_write_delay(ORDER_LEASE * 2);
    assert_eq!(site.unload("small").await.result, OrderResult::Started);
    site.until(|m| state_of(m, "small") == Some(ReplicaState::Ready))
        .await;
    assert_eq!(engine.record().orders.len(), orders);
}

#[tokio::test]
async fn an_agent_that_hears_of_a_later_life_gives_way() {
    let (engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    let orders = engine.record().orders.len();
    site.agent.control().step_down("a later life serves");
    let refused = site.unload("small").await.result;
    assert_eq!(refused, OrderResult::WrongIncarnation);
    assert_eq!(site.status().await.state, MemberState::Draining);
    assert_eq!(engine.record().orders.len(), orders);
}
