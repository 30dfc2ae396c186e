//! Guards against orders that run twice or under an old epoch, and against memory that is freed
//! while a delayed order, a lost reply or a previous incarnation of the agent may still take it.

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

const INCARNATION: Incarnation = Incarnation(7);

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
        incarnation: INCARNATION,
        action: load(),
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(1_000 * seconds)
}

fn settings(fencing: Fencing) -> MemorySettings {
    MemorySettings {
        incarnation: INCARNATION,
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

fn memory_mb(allocation: &AllocationId) -> Option<u32> {
    allocation.adapter.is_none().then_some(60)
}

fn state(tracker: &MemoryTracker) -> Option<ReplicaState> {
    tracker.residency().first().map(|r| r.state)
}

fn result(step: OrderCheck) -> Option<OrderResult> {
    match step {
        OrderCheck::Accept => None,
        OrderCheck::Reply(reply) => Some(reply.result),
    }
}

#[test]
fn an_order_is_accepted_once_and_never_under_an_old_epoch() {
    let mut validator = OrderValidator::new("t1".try_into().unwrap(), INCARNATION);
    assert_eq!(validator.check(&order(2, 1)), OrderCheck::Accept);
    let _ = validator.reply(&order(2, 1), OrderResult::Started);
    assert_eq!(
        result(validator.check(&order(2, 1))),
        Some(OrderResult::Started)
    );
    assert_eq!(
        result(validator.check(&order(1, 9))),
        Some(OrderResult::OldEpoch)
    );
    assert_eq!(validator.check(&order(3, 1)), OrderCheck::Accept);
    assert_eq!(
        result(validator.check(&order(2, 2))),
        Some(OrderResult::OldEpoch)
    );
}

#[test]
fn an_order_that_was_not_started_may_be_retried() {
    let mut validator = OrderValidator::new("t1".try_into().unwrap(), INCARNATION);
    assert_eq!(validator.check(&order(1, 1)), OrderCheck::Accept);
    let _ = validator.reply(&order(1, 1), OrderResult::NoMemory { free_mb: 0 });
    assert_eq!(validator.check(&order(1, 1)), OrderCheck::Accept);
}

#[test]
fn an_order_for_another_incarnation_or_target_is_refused() {
    let mut validator = OrderValidator::new("t1".try_into().unwrap(), INCARNATION);
    let other_incarnation = Order {
        incarnation: Incarnation(6),
        ..order(1, 1)
    };
    let refused = result(validator.check(&other_incarnation));
    assert_eq!(refused, Some(OrderResult::WrongIncarnation));
    let other_target = Order {
        target: "t2".try_into().unwrap(),
        ..order(1, 1)
    };
    let refused = result(validator.check(&other_target));
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
fn an_unconfirmed_load_stays_committed_until_it_can_no_longer_arrive(
    #[case] reply: Option<EngineOrderReply>,
    #[case] expected: OrderOutcome,
) {
    let mut tracker = MemoryTracker::new(settings(Fencing::Ignored), at(0));
    tracker.observe(&report(false, 0), at(1), memory_mb);
    let step = tracker.begin(&load(), Some(60), at(2));
    assert_eq!(step, BeginStep::Send { number: 1 });
    assert_eq!(tracker.settle(1, reply, at(3)), expected);
    tracker.observe(&report(false, 0), at(12), memory_mb);
    assert_eq!(tracker.committed_mb(), [60]);
    tracker.observe(&report(false, 0), at(13), memory_mb);
    assert_eq!(tracker.committed_mb(), [0]);
}

#[test]
fn a_load_report_counts_from_the_time_it_describes() {
    let mut tracker = MemoryTracker::new(settings(Fencing::Ignored), at(0));
    tracker.observe(&report(false, 0), at(1), memory_mb);
    let _ = tracker.begin(&load(), Some(60), at(2));
    tracker.settle(1, None, at(3));
    let delayed = EngineLoad {
        age_ms: 3_000,
        ..report(false, 0)
    };
    // The report describes the engine one second before the latest arrival of the order.
    tracker.observe(&delayed, at(15), memory_mb);
    assert_eq!(tracker.committed_mb(), [60]);
}

#[test]
fn a_confirmed_unload_frees_nothing_while_a_duplicate_load_may_arrive() {
    let mut tracker = MemoryTracker::new(settings(Fencing::Ignored), at(0));
    tracker.observe(&report(false, 0), at(1), memory_mb);
    let _ = tracker.begin(&load(), Some(60), at(2));
    tracker.settle(1, Some(EngineOrderReply::Done), at(3));
    assert_eq!(state(&tracker), Some(ReplicaState::Ready));
    assert_eq!(
        tracker.begin(&unload(), None, at(4)),
        BeginStep::Send { number: 2 }
    );
    tracker.settle(2, Some(EngineOrderReply::Done), at(5));
    assert_eq!(tracker.committed_mb(), [60]);
    tracker.observe(&report(false, 0), at(13), memory_mb);
    assert_eq!(tracker.committed_mb(), [0]);
}

#[rstest]
#[case::enforced_and_seen(Fencing::Enforced, INCARNATION.0, 0)]
#[case::enforced_not_seen(Fencing::Enforced, INCARNATION.0 - 1, 60)]
#[case::ignored(Fencing::Ignored, INCARNATION.0, 60)]
fn a_recovered_intent_ends_early_only_at_an_engine_that_has_fenced_it(
    #[case] fencing: Fencing,
    #[case] fence: u64,
    #[case] committed_mb: u32,
) {
    let mut tracker = MemoryTracker::new(settings(fencing), at(0));
    let intent = Intent {
        action: load(),
        mb: 60,
    };
    tracker.recover_intents([intent], at(0));
    tracker.observe(&report(false, fence), at(1), memory_mb);
    assert_eq!(tracker.committed_mb(), [committed_mb]);
    // The order lease and the order delay have passed.
    tracker.observe(&report(false, fence), at(15), memory_mb);
    assert_eq!(tracker.committed_mb(), [0]);
}

#[test]
fn the_quarantine_outlasts_any_order_of_an_unknown_predecessor() {
    let mut tracker = MemoryTracker::new(settings(Fencing::Ignored), at(0));
    tracker.quarantine(at(0));
    tracker.observe(&report(false, 0), at(15), memory_mb);
    let refused = tracker.begin(&load(), Some(60), at(15));
    assert!(
        matches!(refused, BeginStep::Quarantined { .. }),
        "{refused:?}"
    );
    tracker.observe(&report(false, 0), at(16), memory_mb);
    assert_eq!(
        tracker.begin(&load(), Some(60), at(16)),
        BeginStep::Send { number: 1 }
    );
}

#[test]
fn memory_in_use_by_no_known_allocation_is_committed() {
    let mut tracker = MemoryTracker::new(settings(Fencing::Ignored), at(0));
    let used = EngineLoad {
        used_mb: vec![75],
        ..report(true, 0)
    };
    tracker.observe(&used, at(1), memory_mb);
    assert_eq!(tracker.committed_mb(), [75]);
    let other = OrderAction::Load {
        model: ModelId {
            name: "other".try_into().unwrap(),
            ..model()
        },
        accelerator: 0,
    };
    let refused = tracker.begin(&other, Some(30), at(2));
    assert_eq!(refused, BeginStep::NoMemory { free_mb: 25 });
}
