//! Invariants of the attempt scheduler over random orders of events.
//!
//! An attempt must not start twice, nor after it was reported as not run. A key must not run twice,
//! and the running attempts must not exceed the slots.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::scheduler::{
    Admission, AttemptScheduler, Ending, PlainAnswer, PoolCapacity, PoolId, SchedulerLimits,
    SchedulerStep,
};
use kumquatkeel_types::message::{
    Dispatch, FenceReply, FenceRequest, NotRunReason, PlainWork, Work,
};
use kumquatkeel_types::{AttemptId, Incarnation, RequestId, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const INCARNATION: Incarnation = Incarnation(1);
/// Seed of the random events.
const SEED: u64 = 7;
const SLOTS: u32 = 3;
const KEYS: u8 = 5;

#[derive(Debug, Clone)]
enum Event {
    Offer { number: u8 },
    Finish { nth: u8, end: u8 },
    Cancel { number: u8 },
    Fence { number: u8 },
    Advance { millis: u16 },
    Drain,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..40_u8).prop_map(|number| Event::Offer { number }),
        8 => (any::<u8>(), 0..3_u8).prop_map(|(nth, end)| Event::Finish { nth, end }),
        3 => (0..40_u8).prop_map(|number| Event::Cancel { number }),
        3 => (0..40_u8).prop_map(|number| Event::Fence { number }),
        6 => (0..900_u16).prop_map(|millis| Event::Advance { millis }),
        1 => Just(Event::Drain),
    ]
}

fn attempt(number: u8) -> AttemptId {
    AttemptId {
        request: RequestId {
            entry: "e1".try_into().expect("valid name"),
            life: INCARNATION,
            number: number.into(),
        },
        number: 1,
    }
}

fn key_of(attempt: &AttemptId) -> u64 {
    attempt.request.number % u64::from(KEYS)
}

fn dispatch(number: u8) -> Dispatch {
    let attempt = attempt(number);
    let key = format!("k{}", key_of(&attempt));
    Dispatch {
        attempt,
        incarnation: None,
        service: "swaps".try_into().expect("valid name"),
        priority: number % 4,
        deadline_ms: 1_000,
        first_token_ms: 1_000,
        work: Work::Plain(PlainWork {
            caller: None,
            path: "/".into(),
            content_type: String::new(),
            body: String::new(),
            key: Some(key.as_str().try_into().expect("valid key")),
        }),
    }
}

struct Checker {
    scheduler: AttemptScheduler,
    now: Timestamp,
    running: Vec<AttemptId>,
    started: BTreeSet<AttemptId>,
    not_run: BTreeSet<AttemptId>,
    runs: BTreeMap<u64, u32>,
}

impl Checker {
    fn new() -> Self {
        let limits = SchedulerLimits {
            slots: SLOTS,
            queue: 4,
            records: 8,
            record_age: Duration::from_secs(2),
            ..SchedulerLimits::default()
        };
        let mut scheduler = AttemptScheduler::new(limits, INCARNATION);
        let capacity = PoolCapacity {
            slots: SLOTS,
            ..PoolCapacity::default()
        };
        let now = Timestamp::from_millis(1);
        assert!(scheduler.open_pool(PoolId::Plain, capacity, now).is_empty());
        Self {
            scheduler,
            now,
            running: Vec::new(),
            started: BTreeSet::new(),
            not_run: BTreeSet::new(),
            runs: BTreeMap::new(),
        }
    }

    fn start(&mut self, attempt: AttemptId) {
        assert!(
            !self.not_run.contains(&attempt),
            "{attempt} starts after it was reported as not run"
        );
        assert!(
            self.started.insert(attempt.clone()),
            "{attempt} starts twice"
        );
        let runs = self.runs.entry(key_of(&attempt)).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "the key of {attempt} runs twice");
        self.running.push(attempt);
        assert!(self.running.len() <= SLOTS as usize);
    }

    fn refuse(&mut self, attempt: AttemptId) {
        assert!(
            !self.started.contains(&attempt),
            "{attempt} has started and is reported as not run"
        );
        self.not_run.insert(attempt);
    }

    fn handle_steps(&mut self, steps: Vec<SchedulerStep>) {
        for step in steps {
            match step {
                SchedulerStep::Start(attempt) => self.start(attempt),
                SchedulerStep::NotRun { attempt, .. } => self.refuse(attempt),
                SchedulerStep::Answer { .. } | SchedulerStep::Unknown(_) => {}
            }
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Offer { number } => match self.scheduler.offer(&dispatch(number), self.now) {
                Admission::Start => self.start(attempt(number)),
                Admission::NotRun { .. } => self.refuse(attempt(number)),
                _ => {}
            },
            Event::Finish { nth, end } => self.finish(nth, end),
            Event::Cancel { number } => {
                let (_, steps) = self.scheduler.cancel(&attempt(number), self.now);
                self.handle_steps(steps);
            }
            Event::Fence { number } => {
                let request = FenceRequest {
                    attempt: attempt(number),
                    incarnation: INCARNATION,
                };
                let (reply, steps) = self.scheduler.fence(&request, self.now);
                if reply == FenceReply::NotRun {
                    self.refuse(attempt(number));
                }
                self.handle_steps(steps);
            }
            Event::Advance { millis } => {
                self.now = self.now.after(Duration::from_millis(millis.into()));
                let steps = self.scheduler.tick(self.now);
                self.handle_steps(steps);
            }
            Event::Drain => {
                let steps = self.scheduler.drain(self.now);
                self.handle_steps(steps);
            }
        }
    }

    fn finish(&mut self, nth: u8, end: u8) {
        if self.running.is_empty() {
            return;
        }
        let attempt = self.running.remove(usize::from(nth) % self.running.len());
        let end = match end {
            0 => Ending::Answered(Arc::new(PlainAnswer {
                status: 200,
                content_type: String::new(),
                body: String::new(),
            })),
            1 => Ending::Unknown,
            _ => Ending::NotSent(NotRunReason::TargetUnreachable),
        };
        if let Ending::NotSent(_) = end {
            self.runs.remove(&key_of(&attempt));
            self.started.remove(&attempt);
            self.not_run.insert(attempt.clone());
        }
        let steps = self.scheduler.finish(&attempt, end, self.now);
        self.handle_steps(steps);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_attempt_or_key_runs_twice_or_after_it_was_reported_not_run(
        events in prop::collection::vec(event(), 1..150),
    ) {
        let mut checker = Checker::new();
        for event in &events {
            checker.apply(event);
        }
    }
}
