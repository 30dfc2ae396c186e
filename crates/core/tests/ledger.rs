//! Guards against a call that runs twice: conflicting claims, evicted keys, concurrent writers of a
//! partition, lost store replies and claims of entries that are gone. Also guards the size of a
//! stored partition and the rate of writes.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_core::ledger::{
    BatchStep, Batcher, Call, CallOutcome, Claim, ClaimHolder, HeldStep, KEY_AGE_LIMIT, OpAnswer,
    Operation, Partition, ReadOutcome, WallTime, WriteOutcome, WriteRateLimiter, example_call,
    resolve_fence, resolve_held,
};
use kumquatkeel_types::message::FenceReply;
use kumquatkeel_types::{Incarnation, Timestamp};
use proptest::prelude::*;
use rstest::rstest;

const NOW: WallTime = WallTime::from_millis(1_700_000_000_000);
const AGED: WallTime =
    WallTime::from_millis(NOW.as_millis() + KEY_AGE_LIMIT.as_millis() as u64 + 1);

fn claim(partition: &mut Partition, call: &Call, now: WallTime) -> OpAnswer {
    partition.apply(&Operation::Claim(call.clone()), now)
}

fn settle(partition: &mut Partition, call: &Call, outcome: CallOutcome) -> OpAnswer {
    let operation = Operation::Settle {
        key: call.key.clone(),
        attempt: call.attempt.clone(),
        outcome,
    };
    partition.apply(&operation, NOW)
}

fn answered(body: &str) -> CallOutcome {
    CallOutcome::answered(200, "application/json", body)
}

#[rstest]
#[case::no_outcome(None, false)]
#[case::answered(Some(answered("ok")), false)]
#[case::unknown(Some(CallOutcome::Unknown), false)]
#[case::not_run(Some(CallOutcome::NotRun), true)]
fn a_second_claim_runs_only_after_not_run(
    #[case] outcome: Option<CallOutcome>,
    #[case] runs: bool,
) {
    let mut partition = Partition::default();
    let first = example_call("a", 1);
    assert!(matches!(
        claim(&mut partition, &first, NOW),
        OpAnswer::Claimed(_)
    ));
    if let Some(outcome) = outcome {
        assert_eq!(settle(&mut partition, &first, outcome), OpAnswer::Settled);
    }
    let second = claim(&mut partition, &example_call("a", 2), NOW);
    assert_eq!(matches!(second, OpAnswer::Claimed(_)), runs);
    let again = settle(&mut partition, &first, answered("late"));
    assert_eq!(again == OpAnswer::NotHolder, runs);
}

#[rstest]
#[case::unknown_then_answered(CallOutcome::Unknown, answered("late"), answered("late"))]
#[case::unknown_then_not_run(CallOutcome::Unknown, CallOutcome::NotRun, CallOutcome::NotRun)]
#[case::answered_stays(answered("first"), CallOutcome::Unknown, answered("first"))]
#[case::answered_is_never_undone(answered("first"), CallOutcome::NotRun, answered("first"))]
#[case::not_run_stays(CallOutcome::NotRun, answered("late"), CallOutcome::NotRun)]
fn a_reported_outcome_is_final(
    #[case] first: CallOutcome,
    #[case] second: CallOutcome,
    #[case] recorded: CallOutcome,
) {
    let mut partition = Partition::default();
    let call = example_call("a", 1);
    claim(&mut partition, &call, NOW);
    settle(&mut partition, &call, first);
    settle(&mut partition, &call, second);
    let record = partition.record(&call.key).unwrap();
    assert_eq!(record.outcome, Some(recorded));
}

#[test]
fn a_key_identifies_one_request() {
    let mut partition = Partition::default();
    claim(&mut partition, &example_call("a", 1), NOW);
    let mut other = example_call("a", 2);
    other.digest += 1;
    assert_eq!(claim(&mut partition, &other, NOW), OpAnswer::KeyReused);
}

/// Returns a version 7 UUID issued at `at`.
fn timed_key(at: WallTime, number: u64) -> String {
    let time = format!("{:012x}", at.as_millis());
    format!("{}-{}-7000-8000-{number:012x}", &time[..8], &time[8..])
}

/// Claims calls until one is refused, and returns the number of that one.
fn fill(partition: &mut Partition, key: impl Fn(u64) -> String, now: WallTime) -> u64 {
    let mut number = 1;
    while matches!(
        claim(partition, &example_call(&key(number), number), now),
        OpAnswer::Claimed(_)
    ) {
        number += 1;
    }
    number
}

#[rstest]
#[case::opaque(false)]
#[case::timed(true)]
fn an_evicted_key_never_runs_again(#[case] timed: bool) {
    let key = |n: u64| {
        if timed {
            timed_key(NOW, n)
        } else {
            format!("key-{n}")
        }
    };
    let mut partition = Partition::default();
    let last = fill(&mut partition, key, NOW);
    let full = claim(&mut partition, &example_call("new", last), NOW);
    assert_eq!(full, OpAnswer::Full, "no record is past the age limit yet");
    let mut bytes = serde_json::to_vec(&partition).unwrap();
    assert!(bytes.len() < 1 << 20);
    let fresh = claim(&mut partition, &example_call("new", last), AGED);
    assert!(matches!(fresh, OpAnswer::Claimed(_)));
    // Holds for any clock, and after the partition was stored and read again.
    for now in [NOW, AGED, WallTime::default()] {
        bytes = serde_json::to_vec(&partition).unwrap();
        partition = serde_json::from_slice(&bytes).unwrap();
        for number in [1, last / 2, last - 1] {
            let call = example_call(&key(number), 1_000_000 + number);
            assert_eq!(claim(&mut partition, &call, now), OpAnswer::KeyExpired);
        }
    }
}

#[test]
fn large_responses_stay_within_the_object_limit() {
    let mut partition = Partition::default();
    let last = fill(&mut partition, |n| format!("key-{n}"), NOW);
    for number in 1..last {
        let call = example_call(&format!("key-{number}"), number);
        settle(&mut partition, &call, answered(&"\"".repeat(16 << 10)));
    }
    assert!(serde_json::to_vec(&partition).unwrap().len() < 1 << 20);
}

fn held() -> Claim {
    let call = example_call("a", 1);
    Claim {
        attempt: call.attempt,
        target: call.target,
        incarnation: Incarnation(1),
        since: NOW,
    }
}

#[test]
fn only_a_claim_whose_entry_may_be_gone_is_fenced() {
    let running = resolve_held(&held(), ClaimHolder::Alive, NOW);
    assert!(matches!(running, HeldStep::Running(_)));
    let gone = resolve_held(&held(), ClaimHolder::Gone, NOW);
    assert!(matches!(gone, HeldStep::Fence(_)));
    let old = resolve_held(&held(), ClaimHolder::Alive, AGED);
    assert!(matches!(old, HeldStep::Fence(_)));
}

#[rstest]
#[case(Some(FenceReply::NotRun), HeldStep::Settle(CallOutcome::NotRun))]
#[case(Some(FenceReply::Unknown), HeldStep::Settle(CallOutcome::Unknown))]
#[case(
    Some(FenceReply::WrongIncarnation { incarnation: Incarnation(2) }),
    HeldStep::Settle(CallOutcome::Unknown)
)]
#[case(None, HeldStep::Unknown)]
fn only_the_agents_reply_proves_not_run(#[case] reply: Option<FenceReply>, #[case] step: HeldStep) {
    assert_eq!(resolve_fence(reply), step);
}

#[test]
fn an_answer_that_changes_nothing_needs_a_new_read() {
    let mut batcher = Batcher::new(Duration::ZERO);
    let call = example_call("a", 1);
    let settle = |key: &str| Operation::Settle {
        key: example_call(key, 1).key,
        attempt: call.attempt.clone(),
        outcome: CallOutcome::NotRun,
    };
    batcher.submit(settle("b"));
    assert_eq!(batcher.step(Timestamp::ZERO, NOW).0, BatchStep::Read);
    batcher.on_read(ReadOutcome::Found(None));
    let (_, replies) = batcher.step(Timestamp::ZERO, NOW);
    assert_eq!(replies[0].answer, OpAnswer::NotHolder);
    // Another entry makes the claim meanwhile; the outdated copy must not be used for an answer.
    let mut partition = Partition::default();
    claim(&mut partition, &call, NOW);
    batcher.submit(settle("a"));
    assert_eq!(batcher.step(Timestamp::ZERO, NOW).0, BatchStep::Read);
    batcher.on_read(ReadOutcome::Found(Some((1_u64, partition))));
    let (step, _) = batcher.step(Timestamp::ZERO, NOW);
    assert!(matches!(step, BatchStep::Write(_)), "{step:?}");
}

#[test]
fn writes_stay_within_the_rate_limit() {
    let mut limiter = WriteRateLimiter::new(4);
    let now = Timestamp::from_millis(1_000);
    let last = (0..100).map(|_| limiter.reserve(now)).max().unwrap();
    // 100 writes at a quarter of 200 per second, with a burst of 8.
    assert!(last.since(now) >= Duration::from_millis(1_800));
}

/// A step of the simulation, in which two batchers write one partition.
#[derive(Debug, Clone, Copy)]
enum Event {
    Submit {
        writer: usize,
        key: u8,
        attempt: u8,
        settles: bool,
    },
    Step {
        writer: usize,
        fault: u8,
    },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let submit =
        (0..2usize, 0..3u8, 1..6u8, any::<bool>()).prop_map(|(writer, key, attempt, settles)| {
            Event::Submit {
                writer,
                key,
                attempt,
                settles,
            }
        });
    let step = (0..2usize, 0..6u8).prop_map(|(writer, fault)| Event::Step { writer, fault });
    proptest::collection::vec(prop_oneof![submit, step], 1..120)
}

/// The object in the store, and a delayed write that takes effect before the next step.
#[derive(Default)]
struct Stored {
    object: Option<(u64, Partition)>,
    late: Option<(Option<u64>, Partition)>,
}

impl Stored {
    fn put(&mut self, version: Option<u64>, partition: Partition) -> Option<u64> {
        if self.object.as_ref().map(|o| o.0) != version {
            return None;
        }
        let next = version.unwrap_or(0) + 1;
        self.object = Some((next, partition));
        Some(next)
    }
}

/// Entries exchange these results as JSON, so `Recorded` must keep its wire name `told`.
#[test]
fn a_recorded_outcome_keeps_its_wire_name() {
    let answer = OpAnswer::Recorded(CallOutcome::Unknown);
    let json = serde_json::to_string(&answer).unwrap();
    assert_eq!(json, r#"{"told":"unknown"}"#);
    assert_eq!(serde_json::from_str::<OpAnswer>(&json).unwrap(), answer);
}

proptest! {
    #[test]
    fn at_most_one_attempt_of_a_key_may_run(events in events()) {
        let mut stored = Stored::default();
        let mut writers = [Batcher::new(Duration::ZERO), Batcher::new(Duration::ZERO)];
        let mut tickets = BTreeMap::new();
        let mut granted: BTreeMap<u8, Vec<u8>> = BTreeMap::new();
        let mut settled_not_run: BTreeMap<u8, Vec<u8>> = BTreeMap::new();
        for event in events {
            match event {
                Event::Submit { writer, key, attempt, settles } => {
                    let call = example_call(&format!("k{key}"), u64::from(attempt));
                    let operation = if settles {
                        settled_not_run.entry(key).or_default().push(attempt);
                        Operation::Settle {
                            key: call.key,
                            attempt: call.attempt,
                            outcome: CallOutcome::NotRun,
                        }
                    } else {
                        Operation::Claim(call)
                    };
                    let ticket = writers[writer].submit(operation).unwrap();
                    tickets.insert((writer, ticket), (key, attempt, settles));
                }
                Event::Step { writer, fault } => {
                    if let Some((version, partition)) = stored.late.take() {
                        stored.put(version, partition);
                    }
                    let (step, mut replies) = writers[writer].step(Timestamp::ZERO, NOW);
                    match step {
                        BatchStep::Read if fault == 0 => replies = writers[writer].on_read(ReadOutcome::Failed),
                        BatchStep::Read => replies = writers[writer].on_read(ReadOutcome::Found(stored.object.clone())),
                        BatchStep::Write(write) => {
                            let end = match fault {
                                0 => WriteOutcome::Failed,
                                1 => {
                                    stored.late = Some((write.version, write.partition));
                                    WriteOutcome::Failed
                                }
                                2 => {
                                    stored.put(write.version, write.partition);
                                    WriteOutcome::Replaced
                                }
                                _ => match stored.put(write.version, write.partition) {
                                    Some(version) => WriteOutcome::Written(version),
                                    None => WriteOutcome::Replaced,
                                },
                            };
                            replies = writers[writer].on_write(end);
                        }
                        BatchStep::Wait(_) | BatchStep::Idle => {}
                    }
                    for reply in replies {
                        let (key, attempt, settles) = tickets[&(writer, reply.ticket)];
                        if !settles && matches!(reply.answer, OpAnswer::Claimed(_)) {
                            granted.entry(key).or_default().push(attempt);
                        }
                    }
                }
            }
        }
        for (key, mut attempts) in granted {
            attempts.sort_unstable();
            attempts.dedup();
            let not_run = settled_not_run.remove(&key).unwrap_or_default();
            attempts.retain(|a| !not_run.contains(a));
            prop_assert!(attempts.len() <= 1, "key {key}: {attempts:?}");
        }
    }
}
