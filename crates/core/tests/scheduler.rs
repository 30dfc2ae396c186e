//! The attempt scheduler: slots, queue, duplicate attempts and keys, fences, expiry and drain.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::scheduler::{
    Admission, AttemptScheduler, CancelStep, Ending, PlainAnswer, PoolCapacity, PoolId,
    SchedulerLimits, SchedulerStep,
};
use kumquatkeel_types::message::{
    CompletionWork, Dispatch, FenceReply, FenceRequest, NotRunReason, PlainWork, Work,
};
use kumquatkeel_types::{AttemptId, Incarnation, ModelId, RequestId, Timestamp};
use rstest::rstest;

const INCARNATION: Incarnation = Incarnation(4);
const START: Timestamp = Timestamp::from_millis(1_000);

fn attempt(number: u64) -> AttemptId {
    AttemptId {
        request: RequestId {
            entry: "e1".try_into().unwrap(),
            life: Incarnation(1),
            number,
        },
        number: 1,
    }
}

fn model() -> ModelId {
    ModelId {
        name: "m".try_into().unwrap(),
        version: "1".try_into().unwrap(),
    }
}

fn completion(number: u64, priority: u8) -> Dispatch {
    Dispatch {
        attempt: attempt(number),
        incarnation: Some(INCARNATION),
        service: "chat".try_into().unwrap(),
        priority,
        deadline_ms: 5_000,
        first_token_ms: 500,
        work: Work::Completion(CompletionWork {
            model: model(),
            adapter: None,
            prompt: String::new(),
            max_tokens: 4,
            seed: 1,
            resume: Vec::new(),
        }),
    }
}

fn call(number: u64, key: &str, body: &str) -> Dispatch {
    Dispatch {
        work: Work::Plain(PlainWork {
            caller: None,
            path: "/swaps".into(),
            content_type: "text/plain".into(),
            body: body.into(),
            key: Some(key.try_into().unwrap()),
        }),
        ..completion(number, 5)
    }
}

fn scheduler(slots: u32, queue: usize) -> AttemptScheduler {
    let limits = SchedulerLimits {
        slots,
        queue,
        ..SchedulerLimits::default()
    };
    let mut scheduler = AttemptScheduler::new(limits, INCARNATION);
    let capacity = PoolCapacity {
        slots,
        ..PoolCapacity::default()
    };
    let opened = scheduler.open_pool(PoolId::Model(model()), capacity.clone(), START);
    assert!(opened.is_empty());
    assert!(
        scheduler
            .open_pool(PoolId::Plain, capacity, START)
            .is_empty()
    );
    scheduler
}

fn answer() -> Arc<PlainAnswer> {
    Arc::new(PlainAnswer {
        status: 201,
        content_type: "text/plain".into(),
        body: "booked".into(),
    })
}

fn fence(scheduler: &mut AttemptScheduler, number: u64, now: Timestamp) -> FenceReply {
    let request = FenceRequest {
        attempt: attempt(number),
        incarnation: INCARNATION,
    };
    scheduler.fence(&request, now).0
}

const fn not_run(reason: NotRunReason) -> Admission {
    Admission::NotRun {
        reason,
        retry_after_ms: None,
    }
}

fn reason_of(admission: &Admission) -> Option<NotRunReason> {
    match admission {
        Admission::NotRun { reason, .. } => Some(*reason),
        _ => None,
    }
}

#[test]
fn waiting_attempts_start_by_priority_then_deadline() {
    let mut scheduler = scheduler(1, 8);
    assert_eq!(scheduler.offer(&completion(1, 5), START), Admission::Start);
    let sooner = Dispatch {
        first_token_ms: 400,
        ..completion(4, 5)
    };
    for dispatch in [completion(2, 5), completion(3, 1), sooner] {
        assert_eq!(scheduler.offer(&dispatch, START), Admission::Queued);
    }
    let mut running = 1;
    for next in [3, 4, 2] {
        let steps = scheduler.finish(&attempt(running), Ending::Finished, START);
        assert_eq!(steps, [SchedulerStep::Start(attempt(next))]);
        running = next;
    }
}

#[test]
fn a_full_queue_refuses_all_but_a_higher_priority() {
    let mut scheduler = scheduler(1, 1);
    assert_eq!(scheduler.offer(&completion(1, 5), START), Admission::Start);
    assert_eq!(scheduler.offer(&completion(2, 5), START), Admission::Queued);
    let refused = scheduler.offer(&completion(3, 5), START);
    assert_eq!(reason_of(&refused), Some(NotRunReason::Busy));
    assert_eq!(scheduler.offer(&completion(4, 0), START), Admission::Queued);
    let reason = NotRunReason::Busy;
    let attempt = attempt(2);
    assert_eq!(
        scheduler.tick(START),
        [SchedulerStep::NotRun { attempt, reason }]
    );
}

#[test]
fn an_overdue_attempt_is_refused_and_never_starts() {
    let mut scheduler = scheduler(1, 8);
    assert_eq!(scheduler.offer(&completion(1, 5), START), Admission::Start);
    assert_eq!(scheduler.offer(&completion(2, 5), START), Admission::Queued);
    let late = START.after(Duration::from_millis(500));
    assert_eq!(scheduler.next_wake(), Some(late));
    let reason = NotRunReason::Deadline;
    let second = attempt(2);
    let steps = scheduler.tick(late);
    assert_eq!(
        steps,
        [SchedulerStep::NotRun {
            attempt: second,
            reason
        }]
    );
    assert!(
        scheduler
            .finish(&attempt(1), Ending::Finished, late)
            .is_empty()
    );
    assert!(scheduler.is_idle());
}

#[rstest]
#[case::running(None, Admission::Repeated)]
#[case::finished(Some(Ending::Finished), Admission::Unknown)]
#[case::unknown_result(Some(Ending::Unknown), Admission::Unknown)]
#[case::not_sent(
    Some(Ending::NotSent(NotRunReason::TargetUnreachable)),
    not_run(NotRunReason::TargetUnreachable)
)]
fn a_repeated_attempt_never_runs_again(#[case] end: Option<Ending>, #[case] expected: Admission) {
    let mut scheduler = scheduler(2, 8);
    assert_eq!(scheduler.offer(&completion(1, 5), START), Admission::Start);
    if let Some(end) = end {
        assert!(scheduler.finish(&attempt(1), end, START).is_empty());
    }
    assert_eq!(scheduler.offer(&completion(1, 5), START), expected);
}

#[rstest]
#[case::answered(Ending::Answered(answer()), Admission::Stored(answer()))]
#[case::unknown_result(Ending::Unknown, Admission::Unknown)]
#[case::not_sent(Ending::NotSent(NotRunReason::TargetUnreachable), Admission::Start)]
fn a_key_runs_at_most_once(#[case] end: Ending, #[case] expected: Admission) {
    let mut scheduler = scheduler(2, 8);
    assert_eq!(scheduler.offer(&call(1, "k", "x"), START), Admission::Start);
    assert_eq!(
        scheduler.offer(&call(2, "k", "x"), START),
        Admission::Joined
    );
    assert_eq!(
        scheduler.offer(&call(3, "k", "y"), START),
        Admission::KeyReused
    );
    let attempt_2 = attempt(2);
    let step = match &end {
        Ending::Answered(answer) => SchedulerStep::Answer {
            attempt: attempt_2,
            answer: answer.clone(),
        },
        Ending::NotSent(reason) => SchedulerStep::NotRun {
            attempt: attempt_2,
            reason: *reason,
        },
        _ => SchedulerStep::Unknown(attempt_2),
    };
    assert_eq!(scheduler.finish(&attempt(1), end, START), [step]);
    assert_eq!(scheduler.offer(&call(4, "k", "x"), START), expected);
}

#[test]
fn the_same_key_of_two_callers_does_not_collide() {
    let of_caller = |number: u64, caller: &str| {
        let mut dispatch = call(number, "k", "x");
        if let Work::Plain(work) = &mut dispatch.work {
            work.caller = Some(caller.try_into().unwrap());
        }
        dispatch
    };
    let mut scheduler = scheduler(2, 8);
    assert_eq!(scheduler.offer(&of_caller(1, "a"), START), Admission::Start);
    assert_eq!(scheduler.offer(&of_caller(2, "b"), START), Admission::Start);
    assert_eq!(
        scheduler.offer(&of_caller(3, "b"), START),
        Admission::Joined
    );
}

#[test]
fn a_full_key_table_refuses_new_keys() {
    let limits = SchedulerLimits {
        keys: 1,
        ..SchedulerLimits::default()
    };
    let mut scheduler = AttemptScheduler::new(limits, INCARNATION);
    let capacity = PoolCapacity {
        slots: 4,
        ..PoolCapacity::default()
    };
    assert!(
        scheduler
            .open_pool(PoolId::Plain, capacity, START)
            .is_empty()
    );
    assert_eq!(scheduler.offer(&call(1, "k", "x"), START), Admission::Start);
    let refused = scheduler.offer(&call(2, "other", "x"), START);
    assert_eq!(reason_of(&refused), Some(NotRunReason::Busy));
}

#[test]
fn a_fenced_attempt_is_refused_when_it_arrives() {
    let mut scheduler = scheduler(1, 8);
    assert_eq!(fence(&mut scheduler, 1, START), FenceReply::NotRun);
    let arrived = scheduler.offer(&completion(1, 5), START);
    assert_eq!(arrived, not_run(NotRunReason::Fenced));
}

#[test]
fn a_fence_returns_the_state_of_the_attempt() {
    let mut scheduler = scheduler(1, 8);
    assert_eq!(scheduler.offer(&call(1, "k", "x"), START), Admission::Start);
    assert_eq!(
        scheduler.offer(&call(2, "l", "x"), START),
        Admission::Queued
    );
    assert_eq!(fence(&mut scheduler, 1, START), FenceReply::Running);
    assert_eq!(fence(&mut scheduler, 2, START), FenceReply::NotRun);
    let steps = scheduler.finish(&attempt(1), Ending::Answered(answer()), START);
    assert!(
        steps.is_empty(),
        "a fenced attempt must not start: {steps:?}"
    );
    let answered = FenceReply::Answered {
        status: 201,
        content_type: "text/plain".into(),
        body: "booked".into(),
    };
    assert_eq!(fence(&mut scheduler, 1, START), answered);
    assert_eq!(scheduler.offer(&call(3, "m", "x"), START), Admission::Start);
    assert!(
        scheduler
            .finish(&attempt(3), Ending::Unknown, START)
            .is_empty()
    );
    assert_eq!(fence(&mut scheduler, 3, START), FenceReply::Unknown);
}

#[test]
fn another_incarnation_neither_runs_nor_fences_an_attempt() {
    let mut scheduler = scheduler(1, 8);
    let other = Dispatch {
        incarnation: Some(Incarnation(3)),
        ..completion(1, 5)
    };
    let refused = scheduler.offer(&other, START);
    assert_eq!(refused, not_run(NotRunReason::WrongIncarnation));
    let request = FenceRequest {
        attempt: attempt(1),
        incarnation: Incarnation(3),
    };
    let reply = FenceReply::WrongIncarnation {
        incarnation: INCARNATION,
    };
    assert_eq!(scheduler.fence(&request, START).0, reply);
}

#[rstest]
#[case::fenced(false, not_run(NotRunReason::Fenced), FenceReply::NotRun)]
#[case::ran(true, Admission::Unknown, FenceReply::Unknown)]
fn an_attempt_whose_record_was_evicted_never_starts(
    #[case] ran: bool,
    #[case] expected: Admission,
    #[case] fenced: FenceReply,
) {
    let mut scheduler = scheduler(1, 8);
    if ran {
        assert_eq!(scheduler.offer(&completion(7, 5), START), Admission::Start);
        assert!(
            scheduler
                .finish(&attempt(7), Ending::Finished, START)
                .is_empty()
        );
    } else {
        assert_eq!(fence(&mut scheduler, 7, START), FenceReply::NotRun);
    }
    let expired = START.after(SchedulerLimits::default().record_age);
    assert!(scheduler.tick(expired).is_empty());
    assert_eq!(scheduler.offer(&completion(7, 5), expired), expected);
    assert_eq!(fence(&mut scheduler, 7, expired), fenced);
    assert_eq!(
        scheduler.offer(&completion(8, 5), expired),
        Admission::Start
    );
}

#[test]
fn a_drain_refuses_waiting_attempts_and_lets_running_ones_finish() {
    let mut scheduler = scheduler(1, 8);
    assert_eq!(scheduler.offer(&completion(1, 5), START), Admission::Start);
    assert_eq!(scheduler.offer(&completion(2, 5), START), Admission::Queued);
    let reason = NotRunReason::Draining;
    let second = attempt(2);
    let steps = scheduler.drain(START);
    assert_eq!(
        steps,
        [SchedulerStep::NotRun {
            attempt: second,
            reason
        }]
    );
    assert_eq!(scheduler.offer(&completion(3, 5), START), not_run(reason));
    assert!(!scheduler.is_idle());
    assert!(
        scheduler
            .finish(&attempt(1), Ending::Finished, START)
            .is_empty()
    );
    assert!(scheduler.is_idle());
}

#[test]
fn a_closed_pool_refuses_attempts_and_lets_running_ones_finish() {
    let mut scheduler = scheduler(1, 8);
    let pool = PoolId::Model(model());
    assert_eq!(scheduler.offer(&completion(1, 5), START), Admission::Start);
    assert_eq!(scheduler.offer(&completion(2, 5), START), Admission::Queued);
    let reason = NotRunReason::NotResident;
    let second = attempt(2);
    let steps = scheduler.close_pool(&pool, START);
    assert_eq!(
        steps,
        [SchedulerStep::NotRun {
            attempt: second,
            reason
        }]
    );
    assert_eq!(scheduler.offer(&completion(3, 5), START), not_run(reason));
    assert_eq!(scheduler.pool_load(&pool).running, 1);
    assert!(
        scheduler
            .finish(&attempt(1), Ending::Finished, START)
            .is_empty()
    );
    assert_eq!(scheduler.pool_load(&pool).running, 0);
}

#[rstest]
#[case::waiting(2, CancelStep::NotRun, FenceReply::NotRun)]
#[case::running(1, CancelStep::CancelTarget, FenceReply::Running)]
#[case::keyed(3, CancelStep::Nothing, FenceReply::Running)]
fn a_disconnect_cancels_all_but_a_running_keyed_call(
    #[case] number: u64,
    #[case] expected: CancelStep,
    #[case] fenced: FenceReply,
) {
    let mut scheduler = scheduler(2, 8);
    assert_eq!(scheduler.offer(&completion(1, 5), START), Admission::Start);
    assert_eq!(scheduler.offer(&call(3, "k", "x"), START), Admission::Start);
    assert_eq!(scheduler.offer(&completion(2, 5), START), Admission::Queued);
    assert_eq!(scheduler.cancel(&attempt(number), START).0, expected);
    assert_eq!(fence(&mut scheduler, number, START), fenced);
}
