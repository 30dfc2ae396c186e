//! An agent: its gate and what it keeps of attempts.

use std::collections::BTreeSet;

use kumquatkeel_core::scheduler::{
    AttemptScheduler, Ending, PoolCapacity, PoolId, SchedulerLimits,
};
use kumquatkeel_types::message::{Dispatch, PlainWork, Work};
use kumquatkeel_types::{AttemptId, Incarnation, RequestId, Timestamp};

use super::process::{memory_of, millis_of};
use super::{HEAD_BYTES, Sample, SlopeLine};

/// Attempts over which time is measured.
const CALLS: u32 = 50_000;
/// Requests a second at one agent: 2,400 over 840.
const REQUESTS: f64 = 2.9;
/// Bytes of an idle poll and its answer, heads aside.
const POLL_BYTES: f64 = 400.0;
/// Polls a second of an agent.
const POLLS: f64 = 0.4;
/// Probes for each request.
const PROBES: f64 = 2.0;
/// Bytes of a probe and its answer, heads aside.
const PROBE_BYTES: f64 = 190.0;

/// Measures an agent at several numbers of attempts kept.
pub(super) fn probe() -> SlopeLine {
    let samples = [2_000_u32, 4_000, 8_000, 16_000].map(sample);
    SlopeLine::of("agent", "attempts kept", samples.into())
}

fn sample(attempts: u32) -> Sample {
    let mut scheduler = filled(attempts);
    let mut number = u64::from(attempts);
    let millis = millis_of(CALLS, || {
        number += 1;
        run(&mut scheduler, number);
    });
    Sample {
        size: f64::from(attempts),
        bytes: POLLS * (HEAD_BYTES + POLL_BYTES) + REQUESTS * PROBES * (HEAD_BYTES + PROBE_BYTES),
        cpu_ms: REQUESTS * millis,
        memory: memory_of(|| filled(attempts)),
        calls: 0.0,
    }
}

fn filled(attempts: u32) -> AttemptScheduler {
    let limits = SchedulerLimits::default();
    let mut scheduler = AttemptScheduler::new(limits, Incarnation(1));
    let capacity = PoolCapacity {
        slots: 64,
        adapters: BTreeSet::new(),
    };
    let _ = scheduler.open_pool(PoolId::Plain, capacity, Timestamp::ZERO);
    for number in 0..u64::from(attempts) {
        run(&mut scheduler, number);
    }
    scheduler
}

fn run(scheduler: &mut AttemptScheduler, number: u64) {
    let dispatch = dispatch(number);
    let now = Timestamp::from_millis(number * 345);
    let _ = scheduler.offer(&dispatch, now);
    let _ = scheduler.finish(&dispatch.attempt, Ending::Finished, now);
}

fn dispatch(number: u64) -> Dispatch {
    let request = RequestId {
        entry: "entry-1".try_into().expect("a valid name"),
        life: Incarnation(1),
        number,
    };
    Dispatch {
        attempt: AttemptId { request, number: 1 },
        incarnation: Some(Incarnation(1)),
        service: "s".try_into().expect("a valid name"),
        priority: 5,
        deadline_ms: 60_000,
        first_token_ms: 60_000,
        work: Work::Plain(PlainWork {
            caller: None,
            path: "/".into(),
            content_type: "application/json".into(),
            body: String::new(),
            key: None,
        }),
    }
}
