//! The guarantees of a request's state machine, in single cases and over random orders of events.

use std::time::Duration;

use kumquatkeel_core::request::{
    FlowAnswer, FlowContext, FlowEvent, FlowSpec, FlowStep, RequestFlow,
};
use kumquatkeel_core::retry::{Backoff, RetryBudget};
use kumquatkeel_types::message::{
    AttemptEvent, CompletionWork, FenceReply, FinishReason, NotRunReason, PlainWork, Work,
};
use kumquatkeel_types::{
    AttemptId, ErrorCode, Incarnation, ModelId, Outcome, RequestId, TargetName, Timestamp,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

const INCARNATION: Incarnation = Incarnation(7);

struct Driver {
    flow: RequestFlow,
    budget: RetryBudget,
    rng: Pcg64,
    now: Timestamp,
}

fn request() -> RequestId {
    RequestId {
        entry: "entry-1".try_into().unwrap(),
        life: Incarnation(1),
        number: 1,
    }
}

fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: request(),
        number,
    }
}

fn target(number: u32) -> TargetName {
    format!("t{number}").try_into().unwrap()
}

fn completion() -> Work {
    Work::Completion(CompletionWork {
        model: ModelId {
            name: "m".try_into().unwrap(),
            version: "1".try_into().unwrap(),
        },
        adapter: None,
        prompt: "p".into(),
        max_tokens: 8,
        seed: 1,
        resume: Vec::new(),
    })
}

fn plain() -> Work {
    Work::Plain(PlainWork {
        caller: None,
        path: "/book".into(),
        content_type: "application/json".into(),
        body: "{}".into(),
        key: None,
    })
}

impl Driver {
    fn start(work: Work, idempotent: bool) -> Self {
        let spec = FlowSpec {
            id: request(),
            service: "s".try_into().unwrap(),
            priority: 5,
            work,
            idempotent,
            deadline: Timestamp::from_millis(60_000),
            first_token: Duration::from_millis(680),
        };
        let mut budget = RetryBudget::new(1.0);
        let mut rng = Pcg64::seed_from_u64(1);
        let mut context = FlowContext {
            budget: &mut budget,
            backoff: Backoff::default(),
            rng: &mut rng,
        };
        let (flow, step) = RequestFlow::start(spec, &mut context);
        assert!(matches!(step, FlowStep::Route(_)));
        let now = Timestamp::ZERO;
        Self {
            flow,
            budget,
            rng,
            now,
        }
    }

    fn on(&mut self, event: FlowEvent) -> FlowStep {
        let mut context = FlowContext {
            budget: &mut self.budget,
            backoff: Backoff::default(),
            rng: &mut self.rng,
        };
        self.flow.handle(event, self.now, &mut context)
    }

    fn choose(&mut self, number: u32) -> FlowStep {
        self.on(FlowEvent::Chosen {
            target: target(number),
            incarnation: Some(INCARNATION),
        })
    }

    fn answer(&mut self, number: u32, event: AttemptEvent) -> FlowStep {
        self.on(FlowEvent::Attempt {
            attempt: attempt(number),
            event,
        })
    }

    fn accept(&mut self, number: u32) -> FlowStep {
        self.answer(number, accepted(number, INCARNATION))
    }

    fn token(&mut self, number: u32, index: u32) -> FlowStep {
        self.answer(number, token(index))
    }

    /// Advances the time to the flow's due time and fires its timer.
    fn wake(&mut self) -> FlowStep {
        self.now = self.now.max(self.flow.due());
        self.on(FlowEvent::Timer)
    }
}

fn accepted(number: u32, incarnation: Incarnation) -> AttemptEvent {
    AttemptEvent::Accepted {
        attempt: attempt(number),
        incarnation,
    }
}

fn token(index: u32) -> AttemptEvent {
    AttemptEvent::Token {
        index,
        text: format!("w{index}"),
    }
}

fn not_run(number: u32, incarnation: Incarnation, reason: NotRunReason) -> AttemptEvent {
    AttemptEvent::NotRun {
        attempt: attempt(number),
        incarnation,
        reason,
        hint: None,
        retry_after_ms: None,
    }
}

fn finished(number: u32, tokens: u32) -> AttemptEvent {
    AttemptEvent::Finished {
        attempt: attempt(number),
        reason: FinishReason::Stop,
        tokens,
    }
}

fn outcome_of(step: &FlowStep) -> Option<(Outcome, ErrorCode)> {
    match step {
        FlowStep::Fail(failure) => Some((failure.outcome, failure.code)),
        _ => None,
    }
}

#[test]
fn an_interrupted_stream_resumes_at_another_target_after_the_tokens_passed_on() {
    let mut d = Driver::start(completion(), true);
    d.choose(1);
    d.accept(1);
    assert!(matches!(d.token(1, 0), FlowStep::Emit { index: 0, .. }));
    assert!(matches!(d.token(1, 1), FlowStep::Emit { index: 1, .. }));
    assert_eq!(d.on(FlowEvent::Interrupted(attempt(1))), FlowStep::Backoff);
    let FlowStep::Route(round) = d.wake() else {
        panic!("the flow does not route the request again");
    };
    assert_eq!(round.tried, [target(1)]);
    let FlowStep::Dispatch { dispatch, .. } = d.choose(2) else {
        panic!("the flow sends no second attempt");
    };
    let Work::Completion(work) = dispatch.work else {
        panic!("the second attempt is not a completion");
    };
    assert_eq!(work.resume, ["w0", "w1"]);
    d.accept(2);
    assert_eq!(d.token(1, 2), FlowStep::Ignore, "late token of attempt 1");
    assert_eq!(
        d.token(2, 1),
        FlowStep::Ignore,
        "token that was passed on before"
    );
    assert!(matches!(d.token(2, 2), FlowStep::Emit { index: 2, .. }));
    let answer = FlowAnswer::Completed {
        reason: FinishReason::Stop,
        tokens: 3,
    };
    assert_eq!(d.answer(2, finished(2, 3)), FlowStep::Finish(answer));
}

#[rstest]
#[case::token_before_acceptance(&[], token(0))]
#[case::token_after_a_gap(&[accepted(1, INCARNATION)], token(1))]
#[case::end_with_missing_tokens(&[accepted(1, INCARNATION), token(0)], finished(1, 2))]
#[case::acceptance_by_another_incarnation(&[], accepted(1, Incarnation(8)))]
#[case::refusal_after_tokens(&[accepted(1, INCARNATION), token(0)], not_run(1, INCARNATION, NotRunReason::Busy))]
fn a_protocol_violation_interrupts_the_answer(
    #[case] earlier: &[AttemptEvent],
    #[case] wrong: AttemptEvent,
) {
    let mut d = Driver::start(completion(), true);
    d.choose(1);
    for event in earlier {
        d.answer(1, event.clone());
    }
    assert_eq!(d.answer(1, wrong), FlowStep::Backoff);
    d.on(FlowEvent::CallerLeft);
    assert!(d.flow.attempt().is_none());
}

#[rstest]
#[case::fenced(FenceReply::NotRun, None)]
#[case::unknown(FenceReply::Unknown, Some((Outcome::Unknown, ErrorCode::Interrupted)))]
#[case::restarted(
    FenceReply::WrongIncarnation { incarnation: Incarnation(8) },
    Some((Outcome::Unknown, ErrorCode::Interrupted))
)]
fn an_interrupted_call_is_repeated_only_after_its_fence(
    #[case] reply: FenceReply,
    #[case] failure: Option<(Outcome, ErrorCode)>,
) {
    let mut d = Driver::start(plain(), false);
    d.choose(1);
    d.accept(1);
    let FlowStep::Fence { request, .. } = d.on(FlowEvent::Interrupted(attempt(1))) else {
        panic!("the flow does not fence the attempt");
    };
    assert_eq!(request.incarnation, INCARNATION);
    assert_eq!(
        d.choose(2),
        FlowStep::Ignore,
        "no second attempt before the reply to the fence"
    );
    let step = d.on(FlowEvent::Fenced {
        attempt: attempt(1),
        reply,
    });
    assert_eq!(outcome_of(&step), failure);
    if failure.is_none() {
        assert!(matches!(d.wake(), FlowStep::Route(_)));
        assert!(matches!(d.choose(2), FlowStep::Dispatch { .. }));
    }
}

#[test]
fn an_answer_in_the_fence_reply_completes_the_request() {
    let mut d = Driver::start(plain(), false);
    d.choose(1);
    d.on(FlowEvent::Interrupted(attempt(1)));
    let step = d.on(FlowEvent::Fenced {
        attempt: attempt(1),
        reply: FenceReply::Answered {
            status: 201,
            content_type: "text/plain".into(),
            body: "ok".into(),
        },
    });
    assert!(matches!(
        step,
        FlowStep::Finish(FlowAnswer::Plain { status: 201, .. })
    ));
}

#[test]
fn a_running_call_is_fenced_until_the_deadline_and_never_sent_again() {
    let mut d = Driver::start(plain(), false);
    d.choose(1);
    d.on(FlowEvent::Interrupted(attempt(1)));
    let mut last = FlowStep::Ignore;
    for _ in 0..1_000 {
        d.on(FlowEvent::Fenced {
            attempt: attempt(1),
            reply: FenceReply::Running,
        });
        last = d.wake();
        if outcome_of(&last).is_some() {
            break;
        }
        assert!(matches!(last, FlowStep::Fence { .. }));
    }
    assert_eq!(
        outcome_of(&last),
        Some((Outcome::Unknown, ErrorCode::Deadline))
    );
}

#[rstest]
#[case::same_incarnation(INCARNATION, NotRunReason::Busy, true)]
#[case::other_incarnation_says_wrong_incarnation(
    Incarnation(8),
    NotRunReason::WrongIncarnation,
    true
)]
#[case::other_incarnation_without_proof(Incarnation(8), NotRunReason::Busy, false)]
fn only_a_proven_refusal_counts_as_not_run(
    #[case] incarnation: Incarnation,
    #[case] reason: NotRunReason,
    #[case] proven: bool,
) {
    let mut d = Driver::start(plain(), false);
    d.choose(1);
    let step = d.answer(1, not_run(1, incarnation, reason));
    assert_eq!(matches!(step, FlowStep::Fence { .. }), !proven);
}

#[rstest]
#[case::before_any_attempt(false, Outcome::NotRun)]
#[case::while_an_attempt_is_in_progress(true, Outcome::Unknown)]
fn the_deadline_ends_a_request_at_once(#[case] sent: bool, #[case] outcome: Outcome) {
    let mut d = Driver::start(plain(), false);
    if sent {
        d.choose(1);
    }
    d.now = Timestamp::from_millis(60_000);
    let step = d.on(FlowEvent::Timer);
    assert_eq!(outcome_of(&step), Some((outcome, ErrorCode::Deadline)));
    let FlowStep::Fail(failure) = step else {
        return;
    };
    assert!(
        failure.retry_after.is_some(),
        "the failure has no retry delay"
    );
}

#[test]
fn an_empty_retry_budget_ends_retries() {
    let mut d = Driver::start(completion(), true);
    d.budget = RetryBudget::new(0.0);
    d.choose(1);
    let step = d.answer(1, not_run(1, INCARNATION, NotRunReason::Busy));
    assert_eq!(
        outcome_of(&step),
        Some((Outcome::NotRun, ErrorCode::Overloaded))
    );
}

#[test]
fn after_a_disconnect_a_call_continues_and_a_completion_stops() {
    let mut call = Driver::start(plain(), false);
    call.choose(1);
    assert_eq!(call.on(FlowEvent::CallerLeft), FlowStep::Ignore);
    let mut text = Driver::start(completion(), true);
    text.choose(1);
    assert_eq!(text.on(FlowEvent::CallerLeft), FlowStep::Stop);
}

#[test]
fn a_stalled_answer_is_interrupted() {
    let mut d = Driver::start(completion(), true);
    d.choose(1);
    d.accept(1);
    assert_eq!(d.on(FlowEvent::Timer), FlowStep::Ignore, "not due yet");
    assert_eq!(d.wake(), FlowStep::Backoff);
}

/// Counts of what the flow has done: attempts sent, attempts proven as not run, tokens passed on.
#[derive(Debug, Default)]
struct Observed {
    sent: u32,
    proven: u32,
    emitted: u32,
}

fn any_event() -> impl Strategy<Value = FlowEvent> {
    let number = 1..4_u32;
    let incarnation = prop_oneof![4 => Just(INCARNATION), 1 => Just(Incarnation(8))];
    let reason = prop_oneof![
        Just(NotRunReason::Busy),
        Just(NotRunReason::Draining),
        Just(NotRunReason::WrongIncarnation),
    ];
    let answer = prop_oneof![
        (number.clone(), incarnation.clone()).prop_map(|(n, i)| (n, accepted(n, i))),
        (number.clone(), incarnation, reason).prop_map(|(n, i, r)| (n, not_run(n, i, r))),
        (number.clone(), 0..5_u32).prop_map(|(n, i)| (n, token(i))),
        (number.clone(), number.clone(), 0..5_u32).prop_map(|(n, m, t)| (n, finished(m, t))),
    ];
    let answer = answer.prop_map(|(n, event)| FlowEvent::Attempt {
        attempt: attempt(n),
        event,
    });
    let reply = prop_oneof![
        Just(FenceReply::NotRun),
        Just(FenceReply::Running),
        Just(FenceReply::Unknown),
    ];
    prop_oneof![
        6 => answer,
        3 => number.clone().prop_map(|n| FlowEvent::Chosen {
            target: target(n),
            incarnation: Some(INCARNATION),
        }),
        1 => number.clone().prop_map(|n| FlowEvent::NotSent(attempt(n))),
        1 => number.clone().prop_map(|n| FlowEvent::Interrupted(attempt(n))),
        2 => (number.clone(), reply)
            .prop_map(|(n, reply)| FlowEvent::Fenced { attempt: attempt(n), reply }),
        1 => number.prop_map(|n| FlowEvent::FenceFailed(attempt(n))),
        2 => Just(FlowEvent::Timer),
        1 => Just(FlowEvent::NoTarget),
        1 => Just(FlowEvent::Probed),
    ]
}

/// Returns whether `event` proves that the current attempt was not run.
fn proves_not_run(event: &FlowEvent, flow: &RequestFlow) -> bool {
    let current = flow.attempt();
    match event {
        FlowEvent::NotSent(id) => current == Some(id),
        FlowEvent::Fenced { attempt, reply } => {
            current == Some(attempt) && *reply == FenceReply::NotRun
        }
        FlowEvent::Attempt {
            attempt,
            event:
                AttemptEvent::NotRun {
                    incarnation,
                    reason,
                    ..
                },
        } => {
            let trusted = *incarnation == INCARNATION || *reason == NotRunReason::WrongIncarnation;
            current == Some(attempt) && trusted
        }
        _ => false,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_order_of_events_breaks_a_guarantee(
        events in proptest::collection::vec((any_event(), 0..400_u64), 1..60),
        idempotent in any::<bool>(),
    ) {
        let work = if idempotent { completion() } else { plain() };
        let mut d = Driver::start(work, idempotent);
        let mut observed = Observed::default();
        let mut ended = false;
        for (event, pause) in events {
            d.now = d.now.after(Duration::from_millis(pause));
            let proven = proves_not_run(&event, &d.flow);
            let step = d.on(event);
            if ended {
                prop_assert_eq!(step, FlowStep::Ignore);
                continue;
            }
            // A proof counts only if the flow has dropped the attempt because of it.
            if proven && d.flow.attempt().is_none() && step != FlowStep::Ignore {
                observed.proven += 1;
            }
            match step {
                FlowStep::Dispatch { .. } => {
                    prop_assert!(idempotent || observed.sent == observed.proven, "sent again without proof that it was not run");
                    observed.sent += 1;
                }
                FlowStep::Emit { index, .. } => {
                    prop_assert_eq!(index, observed.emitted);
                    observed.emitted += 1;
                }
                FlowStep::Finish(FlowAnswer::Completed { tokens, .. }) => {
                    prop_assert_eq!(tokens, observed.emitted);
                    ended = true;
                }
                FlowStep::Fail(failure) => {
                    if failure.outcome == Outcome::NotRun {
                        prop_assert_eq!(observed.sent, observed.proven, "reported as not run without proof");
                    }
                    ended = true;
                }
                FlowStep::Finish(_) | FlowStep::Stop => ended = true,
                _ => {}
            }
        }
    }
}
