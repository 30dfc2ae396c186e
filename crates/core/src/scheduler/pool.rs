//! The slots and the queue of one model's replicas or of a plain target.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kumquatkeel_types::message::LoadSummary;
use kumquatkeel_types::{AdapterName, AttemptId, ModelId, Timestamp};
use serde::{Deserialize, Serialize};

/// Identifies a pool of slots at a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolId {
    /// The slots of all replicas of a model.
    Model(ModelId),
    /// The slots of a plain target, which all calls share.
    Plain,
}

/// The capacity of a slot pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolCapacity {
    /// The number of attempts that may run at a time.
    pub slots: u32,
    /// The adapters that are ready to serve.
    pub adapters: BTreeSet<AdapterName>,
}

/// The order in which waiting attempts start: by priority, then by deadline, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) priority: u8,
    pub(super) deadline: Timestamp,
    pub(super) arrival: u64,
}

/// The weight of the newest sample in the moving average of slot times, as a divisor.
const SMOOTHING_DIVISOR: u32 = 8;

/// The slots of one model or plain target, and the attempts that wait for them.
#[derive(Debug, Default)]
pub(super) struct SlotPool {
    pub(super) slots: u32,
    pub(super) adapters: BTreeSet<AdapterName>,
    pub(super) running: u32,
    pub(super) waiting: BTreeMap<Rank, AttemptId>,
    slot_time: Duration,
}

impl SlotPool {
    /// Returns whether the pool has slots and, if an adapter is given, serves it.
    pub(super) fn serves(&self, adapter: Option<&AdapterName>) -> bool {
        self.slots > 0 && adapter.is_none_or(|a| self.adapters.contains(a))
    }

    /// Returns whether a slot is free.
    pub(super) const fn has_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Frees a slot that was held for `slot_time`.
    pub(super) fn release(&mut self, slot_time: Duration) {
        self.running = self.running.saturating_sub(1);
        self.slot_time = if self.slot_time.is_zero() {
            slot_time
        } else {
            (self.slot_time * (SMOOTHING_DIVISOR - 1) + slot_time) / SMOOTHING_DIVISOR
        };
    }

    /// Estimates the wait behind `ahead` attempts from the average slot time.
    pub(super) fn expected_wait(&self, ahead: usize) -> Duration {
        let rounds = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.slot_time.saturating_mul(rounds) / self.slots.max(1)
    }

    /// Returns the number of waiting attempts that start before one of this rank.
    pub(super) fn ahead_of(&self, rank: Rank) -> usize {
        self.waiting.range(..rank).count()
    }

    /// Returns the running and waiting attempts and the slots.
    pub(super) fn load(&self) -> LoadSummary {
        LoadSummary {
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots: self.slots,
        }
    }
}
