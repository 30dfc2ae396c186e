//! The start of an order: commits its memory if the accelerator has enough in the worst case.

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::message::OrderAction;

use super::allocation::{Allocation, AllocationState, PendingOrder, is_load};
use super::{AllocationId, MemoryTracker};

/// Lower bound on the retry delay of a quarantined order, in milliseconds.
const MIN_RETRY_MS: u64 = 100;

/// What to do with an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginStep {
    /// Store the intent, send the order under this number, then settle or abort it.
    Send {
        /// The order's number, unique within this incarnation.
        number: u64,
    },
    /// The residency is as ordered, or an order that makes it so is pending.
    Already,
    /// The accelerator lacks the memory in the worst case.
    NoMemory {
        /// Memory that is free even in the worst case, in megabytes.
        free_mb: u32,
    },
    /// Orders of a previous incarnation may still arrive.
    Quarantined {
        /// Delay before the order may be retried, in milliseconds.
        retry_after_ms: u64,
    },
    /// The order can't be executed in the present state.
    Refused {
        /// The reason, for the reply to the planner.
        reason: &'static str,
    },
}

impl MemoryTracker {
    /// Commits `size_mb` megabytes for an order, or returns why it can't be sent.
    ///
    /// `size_mb` is `None` when the configuration does not define the model or adapter; only a load
    /// needs it.
    #[must_use]
    pub fn begin(
        &mut self,
        action: &OrderAction,
        size_mb: Option<u32>,
        now: Timestamp,
    ) -> BeginStep {
        if self.quarantined {
            let left_ms = self.quarantine_until.since(now).as_millis() as u64;
            return BeginStep::Quarantined {
                retry_after_ms: left_ms.max(MIN_RETRY_MS),
            };
        }
        let id = AllocationId::from(action);
        if id.accelerator >= self.settings.accelerators {
            return BeginStep::Refused {
                reason: "the target has no such accelerator",
            };
        }
        if is_load(action) {
            self.begin_load(id, action, size_mb, now)
        } else {
            self.begin_unload(&id, action, now)
        }
    }

    fn begin_load(
        &mut self,
        id: AllocationId,
        action: &OrderAction,
        size_mb: Option<u32>,
        now: Timestamp,
    ) -> BeginStep {
        let Some(mb) = size_mb else {
            return BeginStep::Refused {
                reason: "the model or adapter is not known",
            };
        };
        if let Some(allocation) = self.allocations.get(&id) {
            return tracked_load_step(allocation);
        }
        if id.adapter.is_some() && !self.is_ready(&id.base()) {
            return BeginStep::Refused {
                reason: "the adapter's model is not resident",
            };
        }
        let free_mb = self.free_mb(id.accelerator);
        if mb > free_mb {
            return BeginStep::NoMemory { free_mb };
        }
        let (number, state) = self.new_pending(action, now);
        self.allocations.insert(id, Allocation::new(mb, state, now));
        BeginStep::Send { number }
    }

    fn begin_unload(
        &mut self,
        id: &AllocationId,
        action: &OrderAction,
        now: Timestamp,
    ) -> BeginStep {
        let adapters_change = self.allocations.iter().any(|(other, allocation)| {
            other.adapter.is_some()
                && other.base() == *id
                && matches!(allocation.state, AllocationState::Pending(_))
        });
        if id.adapter.is_none() && adapters_change {
            return BeginStep::Refused {
                reason: "an order for an adapter of the replica is in flight",
            };
        }
        let (number, state) = self.new_pending(action, now);
        let Some(allocation) = self.allocations.get_mut(id) else {
            return BeginStep::Already;
        };
        match &allocation.state {
            AllocationState::Ready => {
                allocation.state = state;
                BeginStep::Send { number }
            }
            AllocationState::Pending(order) if !is_load(&order.action) => BeginStep::Already,
            _ => BeginStep::Refused {
                reason: "the replica or adapter is loading, or an order for it is in doubt",
            },
        }
    }

    fn new_pending(&mut self, action: &OrderAction, begun_at: Timestamp) -> (u64, AllocationState) {
        self.last_number += 1;
        let order = PendingOrder {
            number: self.last_number,
            action: action.clone(),
            begun_at,
        };
        (self.last_number, AllocationState::Pending(order))
    }

    fn is_ready(&self, id: &AllocationId) -> bool {
        let allocation = self.allocations.get(id);
        allocation.is_some_and(|allocation| allocation.state == AllocationState::Ready)
    }
}

/// Returns the step for a load of an allocation that is already tracked.
const fn tracked_load_step(allocation: &Allocation) -> BeginStep {
    match &allocation.state {
        AllocationState::Ready | AllocationState::Loading => BeginStep::Already,
        AllocationState::Pending(order) if is_load(&order.action) => BeginStep::Already,
        AllocationState::Pending(_) => BeginStep::Refused {
            reason: "the replica or adapter is being unloaded",
        },
        AllocationState::Uncertain => BeginStep::Refused {
            reason: "an order for the replica or adapter is in doubt",
        },
    }
}
