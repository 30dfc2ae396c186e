//! The promises of one request's flow, under every order of events.

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

const LIFE: Incarnation = Incarnation(7);

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
            incarnation: Some(LIFE),
        })
    }

    fn answer(&mut self, number: u32, event: AttemptEvent) -> FlowStep {
        self.on(FlowEvent::Attempt {
            attempt: attempt(number),
            event,
        })
    }

    fn accept(&mut self, number: u32) -> FlowStep {
        self.answer(number, accepted(number, LIFE))
    }

    fn token(&mut self, number: u32, index: u32) -> FlowStep {
        self.answer(number, token(index))
    }

    /// Lets the time of a back-off pass.
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
fn a_cut_stream_is_resumed_elsewhere_after_the_tokens_passed_on() {
    let mut d = Driver::start(completion(), true);
    d.choose(1);
    d.accept(1);
    assert!(matches!(d.token(1, 0), FlowStep::Emit { index: 0, .. }));
    assert!(matches!(d.token(1, 1), FlowStep::Emit { index: 1, .. }));
    assert_eq!(d.on(FlowEvent::Interrupted(attempt(1))), FlowStep::Backoff);
    let FlowStep::Route(round) = d.wake() else {
        panic!("the flow does not look for another target");
    };
    assert_eq!(round.tried, [target(1)]);
    let FlowStep::Dispatch { dispatch, .. } = d.choose(2) else {
        panic!("the flow sends no second attempt");
    };
    let Work::Completion(work) = dispatch.work else {
        panic!("the work has changed");
    };
    assert_eq!(work.resume, ["w0", "w1"]);
    d.accept(2);
    assert_eq!(d.token(1, 2), FlowStep::Ignore, "a late token of attempt 1");
    assert_eq!(
        d.token(2, 1),
        FlowStep::Ignore,
        "a token that was passed on"
    );
    assert!(matches!(d.token(2, 2), FlowStep::Emit { index: 2, .. }));
    let whole = FlowAnswer::Completed {
        reason: FinishReason::Stop,
        tokens: 3,
    };
    assert_eq!(d.answer(2, finished(2, 3)), FlowStep::Finish(whole));
}

#[rstest]
#[case::token_before_acceptance(&[], token(0))]
#[case::token_after_a_gap(&[accepted(1, LIFE)], token(1))]
#[case::end_mark_with_missing_tokens(&[accepted(1, LIFE), token(0)], finished(1, 2))]
#[case::acceptance_by_another_life(&[], accepted(1, Incarnation(8)))]
#[case::refusal_after_tokens(&[accepted(1, LIFE), token(0)], not_run(1, LIFE, NotRunReason::Busy))]
fn an_answer_against_the_protocol_is_cut(
    #[case] before: &[AttemptEvent],
    #[case] wrong: AttemptEvent,
) {
    let mut d = Driver::start(completion(), true);
    d.choose(1);
    for event in before {
        d.answer(1, event.clone());
    }
    assert_eq!(d.answer(1, wrong), FlowStep::Backoff);
    d.on(FlowEvent::CallerLeft);
    assert!(d.flow.attempt().is_none());
}

#[rstest]
#[case::agents_word(FenceReply::NotRun, None)]
#[case::unknown(FenceReply::Unknown, Some((Outcome::Unknown, ErrorCode::Interrupted)))]
#[case::restarted(
    FenceReply::WrongIncarnation { incarnation: Incarnation(8) },
    Some((Outcome::Unknown, ErrorCode::Interrupted))
)]
fn a_cut_call_is_repeated_only_after_its_agent_fenced_it(
    #[case] reply: FenceReply,
    #[case] failure: Option<(Outcome, ErrorCode)>,
) {
    let mut d = Driver::start(plain(), false);
    d.choose(1);
    d.accept(1);
    let FlowStep::Fence { request, .. } = d.on(FlowEvent::Interrupted(attempt(1))) else {
        panic!("the flow does not ask for the fence");
    };
    assert_eq!(request.incarnation, LIFE);
    assert_eq!(
        d.choose(2),
        FlowStep::Ignore,
        "no second run before the reply"
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
fn an_answer_found_by_the_fence_is_the_answer() {
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
fn a_call_that_still_runs_is_asked_for_until_the_deadline_and_never_sent_again() {
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
#[case::same_life(LIFE, NotRunReason::Busy, true)]
#[case::other_life_says_so(Incarnation(8), NotRunReason::WrongIncarnation, true)]
#[case::other_life_on_a_guess(Incarnation(8), NotRunReason::Busy, false)]
fn only_a_proof_counts_as_not_run(
    #[case] life: Incarnation,
    #[case] reason: NotRunReason,
    #[case] proven: bool,
) {
    let mut d = Driver::start(plain(), false);
    d.choose(1);
    let step = d.answer(1, not_run(1, life, reason));
    assert_eq!(matches!(step, FlowStep::Fence { .. }), !proven);
}

#[rstest]
#[case::before_any_attempt(false, Outcome::NotRun)]
#[case::while_an_attempt_is_open(true, Outcome::Unknown)]
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
    assert!(failure.retry_after.is_some(), "says when to come back");
}

#[test]
fn an_empty_retry_budget_ends_retries() {
    let mut d = Driver::start(completion(), true);
    d.budget = RetryBudget::new(0.0);
    d.choose(1);
    let step = d.answer(1, not_run(1, LIFE, NotRunReason::Busy));
    assert_eq!(
        outcome_of(&step),
        Some((Outcome::NotRun, ErrorCode::Overloaded))
    );
}

#[test]
fn a_call_goes_on_when_its_caller_leaves_and_a_completion_stops() {
    let mut call = Driver::start(plain(), false);
    call.choose(1);
    assert_eq!(call.on(FlowEvent::CallerLeft), FlowStep::Ignore);
    let mut text = Driver::start(completion(), true);
    text.choose(1);
    assert_eq!(text.on(FlowEvent::CallerLeft), FlowStep::Stop);
}

#[test]
fn a_silent_answer_is_cut_after_the_stall_time() {
    let mut d = Driver::start(completion(), true);
    d.choose(1);
    d.accept(1);
    assert_eq!(d.on(FlowEvent::Timer), FlowStep::Ignore, "not due yet");
    assert_eq!(d.wake(), FlowStep::Backoff);
}

/// What an attempt's true course allows to conclude.
#[derive(Debug, Default)]
struct Truth {
    sent: u32,
    proven: u32,
    emitted: u32,
}

fn any_event() -> impl Strategy<Value = FlowEvent> {
    let number = 1..4_u32;
    let life = prop_oneof![4 => Just(LIFE), 1 => Just(Incarnation(8))];
    let reason = prop_oneof![
        Just(NotRunReason::Busy),
        Just(NotRunReason::Draining),
        Just(NotRunReason::WrongIncarnation),
    ];
    let answer = prop_oneof![
        (number.clone(), life.clone()).prop_map(|(n, l)| (n, accepted(n, l))),
        (number.clone(), life, reason).prop_map(|(n, l, r)| (n, not_run(n, l, r))),
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
            incarnation: Some(LIFE),
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

/// Says whether `event` proves that the current attempt was not run.
fn proves(event: &FlowEvent, flow: &RequestFlow) -> bool {
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
            let life = *incarnation == LIFE || *reason == NotRunReason::WrongIncarnation;
            current == Some(attempt) && life
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
    fn no_order_of_events_breaks_a_promise(
        events in proptest::collection::vec((any_event(), 0..400_u64), 1..60),
        idempotent in any::<bool>(),
    ) {
        let work = if idempotent { completion() } else { plain() };
        let mut d = Driver::start(work, idempotent);
        let mut truth = Truth::default();
        let mut over = false;
        for (event, pause) in events {
            d.now = d.now.after(Duration::from_millis(pause));
            let proven = proves(&event, &d.flow);
            let step = d.on(event);
            if over {
                prop_assert_eq!(step, FlowStep::Ignore);
                continue;
            }
            // A proof counts when the flow has given the attempt up on its account.
            if proven && d.flow.attempt().is_none() && step != FlowStep::Ignore {
                truth.proven += 1;
            }
            match step {
                FlowStep::Dispatch { .. } => {
                    prop_assert!(idempotent || truth.sent == truth.proven, "sent twice");
                    truth.sent += 1;
                }
                FlowStep::Emit { index, .. } => {
                    prop_assert_eq!(index, truth.emitted);
                    truth.emitted += 1;
                }
                FlowStep::Finish(FlowAnswer::Completed { tokens, .. }) => {
                    prop_assert_eq!(tokens, truth.emitted);
                    over = true;
                }
                FlowStep::Fail(failure) => {
                    if failure.outcome == Outcome::NotRun {
                        prop_assert_eq!(truth.sent, truth.proven, "not run on a guess");
                    }
                    over = true;
                }
                FlowStep::Finish(_) | FlowStep::Stop => over = true,
                _ => {}
            }
        }
    }
}
