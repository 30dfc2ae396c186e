//! The end of an order: its answer, its loss, or that it was never sent.

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::engine::EngineOrderReply;

use super::unit::{Flight, UnitState, is_load};
use super::{AllocationId, MemoryTracker};

/// What follows from an order's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is known to have been executed.
    Executed,
    /// The order was refused.
    Refused,
    /// The order stays in doubt until an observation settles it.
    InDoubt,
    /// A later life of the agent holds the target: give no more orders.
    Superseded,
    /// No order has this number.
    UnknownOrder,
}

impl MemoryTracker {
    /// Takes in an order's answer; none when it was lost.
    pub fn settle(
        &mut self,
        number: u64,
        reply: Option<EngineOrderReply>,
        now: Timestamp,
    ) -> OrderOutcome {
        let Some((id, flight)) = self.find_flight(number) else {
            return OrderOutcome::UnknownOrder;
        };
        let horizon = now.after(self.settings.order_delay);
        if is_load(&flight.action) {
            self.settle_load(&id, reply, horizon, now);
        } else {
            self.settle_unload(&id, &flight, reply, horizon, now);
        }
        match reply {
            None => OrderOutcome::InDoubt,
            Some(EngineOrderReply::Done) => OrderOutcome::Executed,
            Some(EngineOrderReply::OldFence) => OrderOutcome::Superseded,
            Some(EngineOrderReply::NoMemory | EngineOrderReply::Refused) => OrderOutcome::Refused,
        }
    }

    /// Takes back an order that was begun and certainly not sent.
    pub fn abort(&mut self, number: u64) {
        let Some((id, flight)) = self.find_flight(number) else {
            return;
        };
        if is_load(&flight.action) {
            self.units.remove(&id);
        } else if let Some(unit) = self.units.get_mut(&id) {
            unit.state = UnitState::Ready;
        }
    }

    fn find_flight(&self, number: u64) -> Option<(AllocationId, Flight)> {
        self.units.iter().find_map(|(id, unit)| match &unit.state {
            UnitState::Ordered(flight) if flight.number == number => {
                Some((id.clone(), flight.clone()))
            }
            _ => None,
        })
    }

    /// A load that was not executed may still be, from a late copy.
    fn settle_load(
        &mut self,
        id: &AllocationId,
        reply: Option<EngineOrderReply>,
        horizon: Timestamp,
        now: Timestamp,
    ) {
        let Some(unit) = self.units.get_mut(id) else {
            return;
        };
        unit.load_horizon = horizon;
        unit.inherited = false;
        unit.known_at = now;
        unit.state = match reply {
            Some(EngineOrderReply::Done) => UnitState::Ready,
            _ => UnitState::Doubtful,
        };
    }

    fn settle_unload(
        &mut self,
        id: &AllocationId,
        flight: &Flight,
        reply: Option<EngineOrderReply>,
        horizon: Timestamp,
        now: Timestamp,
    ) {
        let Some(unit) = self.units.get_mut(id) else {
            return;
        };
        unit.known_at = now;
        match reply {
            Some(EngineOrderReply::Done) if unit.load_horizon <= flight.began => {
                self.units.remove(id);
                self.removed.insert(id.clone(), now);
                self.doubt_adapters(id, now);
            }
            Some(EngineOrderReply::Done) => {
                unit.state = UnitState::Doubtful;
                self.doubt_adapters(id, now);
            }
            Some(_) => unit.state = UnitState::Ready,
            None => {
                unit.unload_horizon = horizon;
                unit.state = UnitState::Doubtful;
                self.doubt_adapters(id, now);
            }
        }
    }

    /// The adapters of a replica that may be gone stay counted until an observation.
    fn doubt_adapters(&mut self, base: &AllocationId, now: Timestamp) {
        let units = self.units.iter_mut();
        let adapters = units.filter(|(id, _)| id.adapter.is_some() && id.base() == *base);
        for (_, unit) in adapters {
            unit.known_at = now;
            if !matches!(unit.state, UnitState::Ordered(_)) {
                unit.state = UnitState::Doubtful;
            }
        }
    }
}
