//! The slots and the queue of one model's replicas, or of a plain target.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kumquatkeel_types::message::LoadSummary;
use kumquatkeel_types::{AdapterName, AttemptId, ModelId, Timestamp};
use serde::{Deserialize, Serialize};

/// What shares slots: the replicas of a model, or all calls of a plain target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolId {
    /// The replicas of a model.
    Model(ModelId),
    /// The calls of a plain target.
    Plain,
}

/// What a lane offers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolCapacity {
    /// Attempts that run at a time.
    pub slots: u32,
    /// The adapters that are ready.
    pub adapters: BTreeSet<AdapterName>,
}

/// The order in which waiting attempts start: by priority, then by deadline, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Turn {
    pub(super) priority: u8,
    pub(super) deadline: Timestamp,
    pub(super) arrival: u64,
}

/// The weight of the newest holding time in the running mean, as a divisor.
const HOLD_DIVISOR: u32 = 8;

/// One lane.
#[derive(Debug, Default)]
pub(super) struct SlotPool {
    pub(super) slots: u32,
    pub(super) adapters: BTreeSet<AdapterName>,
    pub(super) running: u32,
    pub(super) waiting: BTreeMap<Turn, AttemptId>,
    hold: Duration,
}

impl SlotPool {
    /// Says whether the lane takes attempts for this adapter, or for none.
    pub(super) fn serves(&self, adapter: Option<&AdapterName>) -> bool {
        self.slots > 0 && adapter.is_none_or(|a| self.adapters.contains(a))
    }

    /// Says whether an attempt may start beside those that run.
    pub(super) const fn has_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Counts an end after the slot was held for `hold`.
    pub(super) fn release(&mut self, hold: Duration) {
        self.running = self.running.saturating_sub(1);
        self.hold = if self.hold.is_zero() {
            hold
        } else {
            (self.hold * (HOLD_DIVISOR - 1) + hold) / HOLD_DIVISOR
        };
    }

    /// Returns the expected wait behind `ahead` attempts.
    pub(super) fn wait_behind(&self, ahead: usize) -> Duration {
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.hold.saturating_mul(turns) / self.slots.max(1)
    }

    /// Returns how many attempts would start before one with this turn.
    pub(super) fn ahead_of(&self, turn: Turn) -> usize {
        self.waiting.range(..turn).count()
    }

    /// Returns the load.
    pub(super) fn load(&self) -> LoadSummary {
        LoadSummary {
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots: self.slots,
        }
    }
}
