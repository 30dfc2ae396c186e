//! A partition of the ledger, which is the value of one object in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kumquatkeel_types::AttemptId;
use serde::{Deserialize, Serialize};

use super::{Call, CallOutcome, Claim, LedgerKey, LedgerRecord, OpAnswer, Operation, WallTime};

/// Age up to which the record of a key is kept. Older keys may be refused and are never run again.
pub const KEY_AGE_LIMIT: Duration = Duration::from_hours(24);

/// Upper bound on the estimated size of all records, in bytes.
const MAX_RECORD_BYTES: usize = 640 << 10;

/// Space reserved for the outcome of a claim, in bytes.
const OUTCOME_RESERVE_BYTES: usize = 2 << 10;

/// Most hashes of expired keys that are kept, for keys without a usable timestamp.
const MAX_RETIRED: usize = 8_192;

/// Upper bound on the encoded size of a record without its strings, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 640;

/// A partition of the ledger.
///
/// No key runs twice, whatever the clocks say: a record is dropped only if the hash of its key is
/// added to the retired ones, or if the key carries a timestamp that is not above `floor`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredPartition", into = "StoredPartition")]
pub struct Partition {
    records: BTreeMap<LedgerKey, LedgerRecord>,
    /// Estimated size of all records.
    bytes: usize,
    /// Truncated hashes of keys whose records were dropped.
    retired: BTreeSet<u64>,
    /// Keys with a timestamp up to this one and without a record are expired.
    floor: WallTime,
}

/// The encoded form of a partition.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StoredPartition {
    records: Vec<LedgerRecord>,
    retired: BTreeSet<u64>,
    floor: WallTime,
}

impl From<StoredPartition> for Partition {
    fn from(stored: StoredPartition) -> Self {
        let bytes = stored.records.iter().map(record_bytes).sum();
        let records = stored.records.into_iter();
        Self {
            records: records.map(|r| (r.key.clone(), r)).collect(),
            bytes,
            retired: stored.retired,
            floor: stored.floor,
        }
    }
}

impl From<Partition> for StoredPartition {
    fn from(partition: Partition) -> Self {
        Self {
            records: partition.records.into_values().collect(),
            retired: partition.retired,
            floor: partition.floor,
        }
    }
}

impl Partition {
    /// Returns the record of a key, if it has one that was not dropped.
    pub fn record(&self, key: &LedgerKey) -> Option<&LedgerRecord> {
        self.records.get(key)
    }

    /// Returns the number of calls on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no call is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Applies an operation and returns its result, valid only once the partition is stored.
    pub fn apply(&mut self, operation: &Operation, now: WallTime) -> OpAnswer {
        match operation {
            Operation::Claim(call) => self.claim(call, now),
            Operation::Settle {
                key,
                attempt,
                outcome,
            } => self.settle(key, attempt, outcome),
        }
    }

    fn settle(&mut self, key: &LedgerKey, attempt: &AttemptId, outcome: &CallOutcome) -> OpAnswer {
        let Some(record) = self.records.get_mut(key) else {
            return OpAnswer::NotHolder;
        };
        if record.claim.attempt != *attempt {
            return OpAnswer::NotHolder;
        }
        if !outcome.may_replace(record.outcome.as_ref()) {
            return OpAnswer::Settled;
        }
        let other_bytes = self.bytes - record_bytes(record);
        record.outcome = Some(outcome.clone());
        if other_bytes + record_bytes(record) > MAX_RECORD_BYTES {
            record.outcome = Some(outcome.clone().without_body());
        }
        self.bytes = other_bytes + record_bytes(record);
        OpAnswer::Settled
    }

    fn claim(&mut self, call: &Call, now: WallTime) -> OpAnswer {
        if let Some(record) = self.records.get_mut(&call.key) {
            return claim_again(record, call, now);
        }
        if self.is_expired(&call.key, now) {
            return OpAnswer::KeyExpired;
        }
        let record = LedgerRecord {
            key: call.key.clone(),
            digest: call.digest,
            since: now,
            claim: claim_of(call, now),
            outcome: None,
        };
        let needed = record_bytes(&record);
        if self.bytes + needed > MAX_RECORD_BYTES {
            self.evict(now);
        }
        if self.bytes + needed > MAX_RECORD_BYTES {
            return OpAnswer::Full;
        }
        self.bytes += needed;
        let claim = record.claim.clone();
        self.records.insert(call.key.clone(), record);
        OpAnswer::Claimed(claim)
    }

    /// Returns whether a call must not run although its key has no record.
    fn is_expired(&self, key: &LedgerKey, now: WallTime) -> bool {
        if self.retired.contains(&key.retired_hash()) {
            return true;
        }
        key.issued_at()
            .is_some_and(|at| at <= self.floor || now.since(at) > KEY_AGE_LIMIT)
    }

    /// Drops the records past the age limit, and retires their keys so that they are refused from
    /// now on.
    fn evict(&mut self, now: WallTime) {
        let expired = self.records.values();
        let expired = expired.filter(|r| now.since(r.since) > KEY_AGE_LIMIT);
        let mut keys: Vec<_> = expired.map(|r| (r.since, r.key.clone())).collect();
        keys.sort();
        for (_, key) in keys {
            self.retire(&key, now);
        }
    }

    /// Drops the record of a key if the floor or a retired hash refuses the key from now on.
    fn retire(&mut self, key: &LedgerKey, now: WallTime) {
        let issued = key.issued_at();
        let covered = issued.filter(|at| now.since(*at) > KEY_AGE_LIMIT);
        match covered {
            Some(at) => self.floor = self.floor.max(at),
            None if self.retired.len() < MAX_RETIRED => {
                self.retired.insert(key.retired_hash());
            }
            None => return,
        }
        if let Some(record) = self.records.remove(key) {
            self.bytes -= record_bytes(&record);
        }
    }
}

/// Applies a claim to a call that has a record.
fn claim_again(record: &mut LedgerRecord, call: &Call, now: WallTime) -> OpAnswer {
    if record.digest != call.digest {
        return OpAnswer::KeyReused;
    }
    match &record.outcome {
        Some(CallOutcome::NotRun) if record.claim.attempt == call.attempt => OpAnswer::NotHolder,
        Some(CallOutcome::NotRun) => {
            record.claim = claim_of(call, now);
            record.outcome = None;
            OpAnswer::Claimed(record.claim.clone())
        }
        Some(outcome) => OpAnswer::Recorded(outcome.clone()),
        None if record.claim.attempt == call.attempt => OpAnswer::Claimed(record.claim.clone()),
        None => OpAnswer::Held(record.claim.clone()),
    }
}

fn claim_of(call: &Call, now: WallTime) -> Claim {
    Claim {
        attempt: call.attempt.clone(),
        target: call.target.clone(),
        incarnation: call.incarnation,
        since: now,
    }
}

/// Returns an upper bound on the encoded size of a record, in bytes.
fn record_bytes(record: &LedgerRecord) -> usize {
    let key = &record.key;
    let names = key.caller.as_str().len() + key.service.as_str().len() + key.key.as_str().len();
    let outcome = match &record.outcome {
        Some(CallOutcome::Answered {
            content_type, body, ..
        }) => escaped_bytes(content_type) + body.as_deref().map_or(0, escaped_bytes),
        Some(CallOutcome::NotRun | CallOutcome::Unknown) | None => OUTCOME_RESERVE_BYTES,
    };
    RECORD_OVERHEAD_BYTES + names + outcome
}

/// Returns the size of a string in JSON without its quotes, in bytes.
fn escaped_bytes(text: &str) -> usize {
    let escape = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        0..0x20 => 6,
        _ => 1,
    };
    text.bytes().map(escape).sum()
}
