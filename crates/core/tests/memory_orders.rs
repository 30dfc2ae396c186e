//! Which orders are taken up, and the course of single units through the memory account.

use std::time::Duration;

use kumquatkeel_core::memory::{
    AllocationId, BeginStep, Intent, MemorySettings, MemoryTracker, OrderCheck, OrderOutcome,
    OrderValidator,
};
use kumquatkeel_types::document::Fencing;
use kumquatkeel_types::engine::{EngineLoad, EngineOrderReply, EngineReplica};
use kumquatkeel_types::message::{Order, OrderAction, OrderResult, ReplicaState};
use kumquatkeel_types::{Epoch, Incarnation, ModelId, Timestamp};
use rstest::rstest;

const LIFE: Incarnation = Incarnation(7);

fn model() -> ModelId {
    ModelId {
        name: "m".try_into().unwrap(),
        version: "1".try_into().unwrap(),
    }
}

fn load() -> OrderAction {
    OrderAction::Load {
        model: model(),
        accelerator: 0,
    }
}

fn unload() -> OrderAction {
    OrderAction::Unload {
        model: model(),
        accelerator: 0,
    }
}

fn order(epoch: u64, number: u64) -> Order {
    Order {
        epoch: Epoch(epoch),
        number,
        target: "t1".try_into().unwrap(),
        incarnation: LIFE,
        action: load(),
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(1_000 * seconds)
}

fn settings(fencing: Fencing) -> MemorySettings {
    MemorySettings {
        incarnation: LIFE,
        accelerators: 1,
        accelerator_mb: 100,
        fencing,
        order_delay: Duration::from_secs(10),
        order_lease: Duration::from_secs(5),
    }
}

fn report(resident: bool, fence: u64) -> EngineLoad {
    let replica = EngineReplica {
        model: model(),
        accelerator: 0,
        ready: true,
        adapters: Vec::new(),
        running: 0,
        waiting: 0,
    };
    EngineLoad {
        age_ms: 0,
        replicas: Vec::from_iter(resident.then_some(replica)),
        used_mb: vec![60 * u32::from(resident)],
        fence,
    }
}

fn size_of(unit: &AllocationId) -> Option<u32> {
    unit.adapter.is_none().then_some(60)
}

fn state(account: &MemoryTracker) -> Option<ReplicaState> {
    account.residency().first().map(|r| r.state)
}

fn result(step: OrderCheck) -> Option<OrderResult> {
    match step {
        OrderCheck::Accept => None,
        OrderCheck::Reply(reply) => Some(reply.result),
    }
}

#[test]
fn an_order_is_taken_up_once_and_never_under_an_old_epoch() {
    let mut desk = OrderValidator::new("t1".try_into().unwrap(), LIFE);
    assert_eq!(desk.check(&order(2, 1)), OrderCheck::Accept);
    let _ = desk.reply(&order(2, 1), OrderResult::Started);
    assert_eq!(result(desk.check(&order(2, 1))), Some(OrderResult::Started));
    assert_eq!(
        result(desk.check(&order(1, 9))),
        Some(OrderResult::OldEpoch)
    );
    assert_eq!(desk.check(&order(3, 1)), OrderCheck::Accept);
    assert_eq!(
        result(desk.check(&order(2, 2))),
        Some(OrderResult::OldEpoch)
    );
}

#[test]
fn an_order_that_was_not_started_may_come_again() {
    let mut desk = OrderValidator::new("t1".try_into().unwrap(), LIFE);
    assert_eq!(desk.check(&order(1, 1)), OrderCheck::Accept);
    let _ = desk.reply(&order(1, 1), OrderResult::NoMemory { free_mb: 0 });
    assert_eq!(desk.check(&order(1, 1)), OrderCheck::Accept);
}

#[test]
fn an_order_for_another_life_or_target_is_refused() {
    let mut desk = OrderValidator::new("t1".try_into().unwrap(), LIFE);
    let other_life = Order {
        incarnation: Incarnation(6),
        ..order(1, 1)
    };
    let refused = result(desk.check(&other_life));
    assert_eq!(refused, Some(OrderResult::WrongIncarnation));
    let other_target = Order {
        target: "t2".try_into().unwrap(),
        ..order(1, 1)
    };
    let refused = result(desk.check(&other_target));
    assert!(
        matches!(refused, Some(OrderResult::Refused { .. })),
        "{refused:?}"
    );
}

#[rstest]
#[case::lost(None, OrderOutcome::InDoubt)]
#[case::refused(Some(EngineOrderReply::Refused), OrderOutcome::Refused)]
#[case::no_memory(Some(EngineOrderReply::NoMemory), OrderOutcome::Refused)]
#[case::old_fence(Some(EngineOrderReply::OldFence), OrderOutcome::Superseded)]
fn a_load_that_was_not_confirmed_is_counted_until_it_can_not_arrive(
    #[case] reply: Option<EngineOrderReply>,
    #[case] expected: OrderOutcome,
) {
    let mut account = MemoryTracker::new(settings(Fencing::Ignored), at(0));
    account.observe(&report(false, 0), at(1), size_of);
    let step = account.begin(&load(), Some(60), at(2));
    assert_eq!(step, BeginStep::Send { number: 1 });
    assert_eq!(account.settle(1, reply, at(3)), expected);
    account.observe(&report(false, 0), at(12), size_of);
    assert_eq!(account.committed_mb(), [60]);
    account.observe(&report(false, 0), at(13), size_of);
    assert_eq!(account.committed_mb(), [0]);
}

#[test]
fn a_lagging_report_is_not_taken_for_newer_than_it_is() {
    let mut account = MemoryTracker::new(settings(Fencing::Ignored), at(0));
    account.observe(&report(false, 0), at(1), size_of);
    let _ = account.begin(&load(), Some(60), at(2));
    account.settle(1, None, at(3));
    let lagging = EngineLoad {
        age_ms: 3_000,
        ..report(false, 0)
    };
    // It describes the engine a second before the order's last possible arrival.
    account.observe(&lagging, at(15), size_of);
    assert_eq!(account.committed_mb(), [60]);
}

#[test]
fn an_unload_that_is_confirmed_soon_after_the_load_waits_for_late_copies_of_it() {
    let mut account = MemoryTracker::new(settings(Fencing::Ignored), at(0));
    account.observe(&report(false, 0), at(1), size_of);
    let _ = account.begin(&load(), Some(60), at(2));
    account.settle(1, Some(EngineOrderReply::Done), at(3));
    assert_eq!(state(&account), Some(ReplicaState::Ready));
    assert_eq!(
        account.begin(&unload(), None, at(4)),
        BeginStep::Send { number: 2 }
    );
    account.settle(2, Some(EngineOrderReply::Done), at(5));
    assert_eq!(account.committed_mb(), [60]);
    account.observe(&report(false, 0), at(13), size_of);
    assert_eq!(account.committed_mb(), [0]);
}

#[rstest]
#[case::enforced_and_seen(Fencing::Enforced, LIFE.0, 0)]
#[case::enforced_not_seen(Fencing::Enforced, LIFE.0 - 1, 60)]
#[case::ignored(Fencing::Ignored, LIFE.0, 60)]
fn an_earlier_life_s_order_ends_early_only_at_an_engine_that_has_fenced_it(
    #[case] fencing: Fencing,
    #[case] fence: u64,
    #[case] committed_mb: u32,
) {
    let mut account = MemoryTracker::new(settings(fencing), at(0));
    let intent = Intent {
        action: load(),
        mb: 60,
    };
    account.recover_intents([intent], at(0));
    account.observe(&report(false, fence), at(1), size_of);
    assert_eq!(account.committed_mb(), [committed_mb]);
    // Lease and order delay have passed.
    account.observe(&report(false, fence), at(15), size_of);
    assert_eq!(account.committed_mb(), [0]);
}

#[test]
fn an_unknown_predecessor_is_waited_out() {
    let mut account = MemoryTracker::new(settings(Fencing::Ignored), at(0));
    account.quarantine(at(0));
    account.observe(&report(false, 0), at(15), size_of);
    let refused = account.begin(&load(), Some(60), at(15));
    assert!(
        matches!(refused, BeginStep::Quarantined { .. }),
        "{refused:?}"
    );
    account.observe(&report(false, 0), at(16), size_of);
    assert_eq!(
        account.begin(&load(), Some(60), at(16)),
        BeginStep::Send { number: 1 }
    );
}

#[test]
fn memory_that_no_known_unit_explains_is_committed_too() {
    let mut account = MemoryTracker::new(settings(Fencing::Ignored), at(0));
    let used = EngineLoad {
        used_mb: vec![75],
        ..report(true, 0)
    };
    account.observe(&used, at(1), size_of);
    assert_eq!(account.committed_mb(), [75]);
    let other = OrderAction::Load {
        model: ModelId {
            name: "other".try_into().unwrap(),
            ..model()
        },
        accelerator: 0,
    };
    let refused = account.begin(&other, Some(30), at(2));
    assert_eq!(refused, BeginStep::NoMemory { free_mb: 25 });
}
