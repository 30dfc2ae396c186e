//! The end of an order: a reply, a lost reply, or an abort before it was sent.

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::engine::EngineOrderReply;

use super::allocation::{AllocationState, PendingOrder, is_load};
use super::{AllocationId, MemoryTracker};

/// The outcome of an order that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine confirmed the execution.
    Executed,
    /// The engine refused the order.
    Refused,
    /// The reply was lost; a later load report settles whether the order was executed.
    InDoubt,
    /// A newer incarnation of the agent owns the target; this one must send no more orders.
    Superseded,
    /// No pending order has this number.
    UnknownOrder,
}

impl MemoryTracker {
    /// Applies the reply to a pending order; `None` when the reply was lost.
    pub fn settle(
        &mut self,
        number: u64,
        reply: Option<EngineOrderReply>,
        now: Timestamp,
    ) -> OrderOutcome {
        let Some((id, order)) = self.find_pending(number) else {
            return OrderOutcome::UnknownOrder;
        };
        let deadline = now.after(self.settings.order_delay);
        if is_load(&order.action) {
            self.settle_load(&id, reply, deadline, now);
        } else {
            self.settle_unload(&id, &order, reply, deadline, now);
        }
        match reply {
            None => OrderOutcome::InDoubt,
            Some(EngineOrderReply::Done) => OrderOutcome::Executed,
            Some(EngineOrderReply::OldFence) => OrderOutcome::Superseded,
            Some(EngineOrderReply::NoMemory | EngineOrderReply::Refused) => OrderOutcome::Refused,
        }
    }

    /// Rolls back an order that was begun and is known not to have been sent.
    pub fn abort(&mut self, number: u64) {
        let Some((id, order)) = self.find_pending(number) else {
            return;
        };
        if is_load(&order.action) {
            self.allocations.remove(&id);
        } else if let Some(allocation) = self.allocations.get_mut(&id) {
            allocation.state = AllocationState::Ready;
        }
    }

    fn find_pending(&self, number: u64) -> Option<(AllocationId, PendingOrder)> {
        self.allocations
            .iter()
            .find_map(|(id, allocation)| match &allocation.state {
                AllocationState::Pending(order) if order.number == number => {
                    Some((id.clone(), order.clone()))
                }
                _ => None,
            })
    }

    /// Settles a load; whatever the reply, a delayed duplicate may still be executed.
    fn settle_load(
        &mut self,
        id: &AllocationId,
        reply: Option<EngineOrderReply>,
        deadline: Timestamp,
        now: Timestamp,
    ) {
        let Some(allocation) = self.allocations.get_mut(id) else {
            return;
        };
        allocation.load_deadline = deadline;
        allocation.recovered = false;
        allocation.changed_at = now;
        allocation.state = match reply {
            Some(EngineOrderReply::Done) => AllocationState::Ready,
            _ => AllocationState::Uncertain,
        };
    }

    fn settle_unload(
        &mut self,
        id: &AllocationId,
        order: &PendingOrder,
        reply: Option<EngineOrderReply>,
        deadline: Timestamp,
        now: Timestamp,
    ) {
        let Some(allocation) = self.allocations.get_mut(id) else {
            return;
        };
        allocation.changed_at = now;
        match reply {
            Some(EngineOrderReply::Done) if allocation.load_deadline <= order.begun_at => {
                self.allocations.remove(id);
                self.removed_at.insert(id.clone(), now);
                self.mark_adapters_uncertain(id, now);
            }
            Some(EngineOrderReply::Done) => {
                allocation.state = AllocationState::Uncertain;
                self.mark_adapters_uncertain(id, now);
            }
            Some(_) => allocation.state = AllocationState::Ready,
            None => {
                allocation.unload_deadline = deadline;
                allocation.state = AllocationState::Uncertain;
                self.mark_adapters_uncertain(id, now);
            }
        }
    }

    /// Keeps the adapters of a replica that may be unloaded committed until a load report settles
    /// them.
    fn mark_adapters_uncertain(&mut self, base: &AllocationId, now: Timestamp) {
        let allocations = self.allocations.iter_mut();
        let adapters = allocations.filter(|(id, _)| id.adapter.is_some() && id.base() == *base);
        for (_, allocation) in adapters {
            allocation.changed_at = now;
            if !matches!(allocation.state, AllocationState::Pending(_)) {
                allocation.state = AllocationState::Uncertain;
            }
        }
    }
}
