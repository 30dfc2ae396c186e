//! Orders through an agent: epochs, numbers, lives, memory, and answers that are lost.

mod common;

use common::{
    ORDER_DELAY, Site, committed_mb, engine_options, model, running, start_engine, state_of,
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
async fn an_order_is_carried_out_once_and_shows_in_the_report() {
    let (engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    let order = site.make_order(load("large"));
    let first = site.order(&order).await;
    // One accelerator of 100 MB holds the small replica of 40 MB.
    assert_eq!(first.result, OrderResult::NoMemory { free_mb: 60 });
    let unload = site.make_order(OrderAction::Unload {
        model: model("small"),
        accelerator: 0,
    });
    for _ in 0..2 {
        assert_eq!(site.order(&unload).await.result, OrderResult::Started);
    }
    site.until(|m| state_of(m, "small").is_none()).await;
    assert_eq!(site.order(&order).await.result, OrderResult::Started);
    site.until(|m| state_of(m, "large") == Some(ReplicaState::Ready))
        .await;
    assert_eq!(engine.record().orders.len(), 3);
    assert!(engine.record().violations.is_empty());
}

#[rstest]
#[case::epoch(|o: Order| Order { epoch: Epoch(0), ..o }, OrderResult::OldEpoch)]
#[case::life(|o: Order| Order { incarnation: Incarnation(1), ..o }, OrderResult::WrongIncarnation)]
#[case::accelerator(
    |o: Order| Order { action: OrderAction::Load { model: model("small"), accelerator: 7 }, ..o },
    OrderResult::Refused { reason: "the target has no such accelerator".into() }
)]
#[case::model(
    |o: Order| Order { action: load("no-such-model"), ..o },
    OrderResult::Refused { reason: "the model or adapter is not known".into() }
)]
#[tokio::test]
async fn a_wrong_order_never_reaches_the_engine(
    #[case] spoil: fn(Order) -> Order,
    #[case] expected: OrderResult,
) {
    let (engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    let order = spoil(site.make_order(load("large")));
    assert_eq!(site.order(&order).await.result, expected);
    assert_eq!(engine.record().orders.len(), 1);
}

#[tokio::test]
async fn an_order_whose_answer_was_lost_is_counted_until_it_can_no_longer_arrive() {
    let (engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    site.unload("small").await;
    site.until(|m| state_of(m, "small").is_none()).await;
    let late = EngineFault::LateEffect(ORDER_DELAY / 2);
    engine.faults().script(EngineCall::Order, 1, late);
    assert_eq!(site.load("large").await.result, OrderResult::Started);
    let doubt = site
        .until(|m| state_of(m, "large") == Some(ReplicaState::Uncertain))
        .await;
    assert_eq!(committed_mb(&doubt), 70);
    let other = site.load("small").await.result;
    assert_eq!(other, OrderResult::NoMemory { free_mb: 30 });
    site.until(|m| state_of(m, "large") == Some(ReplicaState::Ready))
        .await;
    assert!(engine.record().violations.is_empty());
}

#[tokio::test]
async fn an_order_that_never_arrived_is_given_up_after_the_longest_delay() {
    let (engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    let orders = engine.record().orders.len();
    site.unload("small").await;
    site.until(|m| state_of(m, "small").is_none()).await;
    engine
        .faults()
        .script(EngineCall::Order, 1, EngineFault::LostBefore);
    assert_eq!(site.load("large").await.result, OrderResult::Started);
    let doubt = site
        .until(|m| state_of(m, "large") == Some(ReplicaState::Uncertain))
        .await;
    assert_eq!(committed_mb(&doubt), 70);
    let gone = site.until(|m| state_of(m, "large").is_none()).await;
    assert_eq!(committed_mb(&gone), 0);
    assert_eq!(engine.record().orders.len(), orders + 1);
}

#[tokio::test]
async fn an_unload_waits_for_the_stream_that_runs() {
    let (engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    let mut stream = site.send(&site.completion("small", 60)).await;
    assert!(matches!(
        stream.next().await,
        Some(AttemptEvent::Accepted { .. })
    ));
    assert_eq!(site.unload("small").await.result, OrderResult::Started);
    let member = site.status().await;
    assert_eq!(state_of(&member, "small"), Some(ReplicaState::Unloading));
    let refused = site.run(&site.completion("small", 4)).await;
    assert!(
        matches!(&refused[..], [AttemptEvent::NotRun { .. }]),
        "{refused:?}"
    );
    let events: Vec<_> = stream.collect().await;
    assert!(
        matches!(events.last(), Some(AttemptEvent::Finished { .. })),
        "{events:?}"
    );
    site.until(|m| state_of(m, "small").is_none()).await;
    let refusals = engine
        .record()
        .orders
        .iter()
        .filter(|o| o.reply == Some(kumquatkeel_types::engine::EngineOrderReply::Refused))
        .count();
    assert_eq!(refusals, 0, "the unload is sent when nothing runs");
}

#[tokio::test]
async fn an_unload_is_refused_while_requests_wait() {
    let (engine, server) = start_engine(engine_options());
    let site = Site::engine(server.address(), None).await;
    site.serve("small").await;
    engine.faults().set_slowness(20.0);
    let running_one = site.send(&site.completion("small", 200)).await;
    site.until(|m| running(m) == 1).await;
    let waiting_one = site.send(&site.completion("small", 200)).await;
    site.until(|m| m.target.as_ref().is_some_and(|t| t.load.waiting == 1))
        .await;
    let refused = site.unload("small").await.result;
    assert!(
        matches!(refused, OrderResult::Refused { .. }),
        "{refused:?}"
    );
    drop((running_one, waiting_one));
}
