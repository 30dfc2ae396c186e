//! The start of an order: whether memory suffices in every possible case.

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::message::OrderAction;

use super::unit::{Flight, Unit, UnitState, is_load};
use super::{AllocationId, MemoryTracker};

/// Shortest time after which a quarantined order may come again, in milliseconds.
const MIN_RETRY_MS: u64 = 100;

/// What to do with an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginStep {
    /// Write the intent, send the order under this number, then settle or abort it.
    Send {
        /// The order's number in this life.
        number: u64,
    },
    /// The residency is already as ordered, or about to be.
    Already,
    /// The accelerator's memory does not suffice in every case.
    NoMemory {
        /// Memory that is free in every case, in megabytes.
        free_mb: u32,
    },
    /// What an earlier life left open is not known yet.
    Quarantined {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The order can't be carried out now.
    Refused {
        /// Why.
        reason: &'static str,
    },
}

impl MemoryTracker {
    /// Commits the memory for an order of `size_mb`, or says why not.
    #[must_use]
    pub fn begin(
        &mut self,
        action: &OrderAction,
        size_mb: Option<u32>,
        now: Timestamp,
    ) -> BeginStep {
        if self.quarantined {
            let left_ms = self.trusted_from.since(now).as_millis() as u64;
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
        if let Some(unit) = self.units.get(&id) {
            return present_step(unit);
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
        let (number, state) = self.flight(action, now);
        self.units.insert(id, Unit::new(mb, state, now));
        BeginStep::Send { number }
    }

    fn begin_unload(
        &mut self,
        id: &AllocationId,
        action: &OrderAction,
        now: Timestamp,
    ) -> BeginStep {
        let adapters_change = self.units.iter().any(|(other, unit)| {
            other.adapter.is_some()
                && other.base() == *id
                && matches!(unit.state, UnitState::Ordered(_))
        });
        if id.adapter.is_none() && adapters_change {
            return BeginStep::Refused {
                reason: "an order for an adapter of the replica is in flight",
            };
        }
        let (number, state) = self.flight(action, now);
        let Some(unit) = self.units.get_mut(id) else {
            return BeginStep::Already;
        };
        match &unit.state {
            UnitState::Ready => {
                unit.state = state;
                BeginStep::Send { number }
            }
            UnitState::Ordered(flight) if !is_load(&flight.action) => BeginStep::Already,
            _ => BeginStep::Refused {
                reason: "the replica or adapter is loading, or an order for it is in doubt",
            },
        }
    }

    fn flight(&mut self, action: &OrderAction, began: Timestamp) -> (u64, UnitState) {
        self.numbers += 1;
        let flight = Flight {
            number: self.numbers,
            action: action.clone(),
            began,
        };
        (self.numbers, UnitState::Ordered(flight))
    }

    fn is_ready(&self, id: &AllocationId) -> bool {
        let unit = self.units.get(id);
        unit.is_some_and(|u| u.state == UnitState::Ready)
    }
}

/// Returns the step for a load of a unit that the account holds already.
const fn present_step(unit: &Unit) -> BeginStep {
    match &unit.state {
        UnitState::Ready | UnitState::Warming => BeginStep::Already,
        UnitState::Ordered(flight) if is_load(&flight.action) => BeginStep::Already,
        UnitState::Ordered(_) => BeginStep::Refused {
            reason: "the replica or adapter is being unloaded",
        },
        UnitState::Doubtful => BeginStep::Refused {
            reason: "an order for the replica or adapter is in doubt",
        },
    }
}
