//! The owner of ledger partitions: claims and outcomes, written in batches.

use kumquatkeel_core::ledger::{Call, CallOutcome, LedgerKey, Operation, Partition, WallTime};
use kumquatkeel_types::{AttemptId, Incarnation, RequestId};

use super::process::{memory_of, millis_of};
use super::{HEAD_BYTES, Sample, SlopeLine};

/// Calls over which time is measured.
const CALLS: u32 = 200;
/// Operations of one call: a claim and an outcome.
const OPERATIONS: f64 = 2.0;
/// Writes that an idle owner batches operations into, a second and partition.
const WRITES: f64 = 1.0;

/// Measures one partition at several numbers of records.
pub(super) fn probe() -> SlopeLine {
    let samples = [100_u32, 200, 400, 800].map(sample);
    SlopeLine::of("ledger owner", "records of a partition", samples.into())
}

fn sample(records: u32) -> Sample {
    let mut partition = filled(records);
    let object = serde_json::to_vec(&partition).map_or(0.0, |text| text.len() as f64);
    let write = millis_of(CALLS, || {
        let text = serde_json::to_vec(&partition).unwrap_or_default();
        std::hint::black_box(serde_json::from_slice::<Partition>(&text).is_ok());
    });
    let mut number = u64::from(records);
    let apply = millis_of(CALLS, || {
        number += 1;
        run(&mut partition, number);
    });
    Sample {
        size: f64::from(records),
        bytes: WRITES * (HEAD_BYTES + object),
        cpu_ms: WRITES * (write + OPERATIONS * apply),
        memory: memory_of(|| filled(records)),
        calls: WRITES,
    }
}

fn filled(records: u32) -> Partition {
    let mut partition = Partition::default();
    for number in 0..u64::from(records) {
        run(&mut partition, number);
    }
    partition
}

fn run(partition: &mut Partition, number: u64) {
    let now = WallTime::from_millis(1_790_000_000_000 + number);
    let call = call(number);
    let _ = partition.apply(&Operation::Claim(call.clone()), now);
    let settle = Operation::Settle {
        key: call.key,
        attempt: call.attempt,
        outcome: CallOutcome::answered(200, "application/json", "{\"number\":4711}"),
    };
    let _ = partition.apply(&settle, now);
}

fn call(number: u64) -> Call {
    let request = RequestId {
        entry: "entry-1".try_into().expect("a valid name"),
        life: Incarnation(1),
        number,
    };
    Call {
        key: LedgerKey {
            caller: "members".try_into().expect("a valid name"),
            service: "swap-desk".try_into().expect("a valid name"),
            key: format!("swap-{number}").try_into().expect("a valid name"),
        },
        digest: number,
        attempt: AttemptId { request, number: 1 },
        target: "swaps-1".try_into().expect("a valid name"),
        incarnation: Incarnation(1),
    }
}
