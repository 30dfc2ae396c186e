//! Memory allocations: one for each model replica, and one for each adapter loaded on a replica.

use kumquatkeel_types::message::{OrderAction, ReplicaState};
use kumquatkeel_types::{AdapterName, ModelId, Timestamp};
use serde::{Deserialize, Serialize};

/// Identifies a replica or an adapter that takes memory on an accelerator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AllocationId {
    /// Index of the accelerator on the target.
    pub accelerator: u16,
    /// The model, or the adapter's base model.
    pub model: ModelId,
    /// The adapter; `None` for the weights and KV cache of the model itself.
    pub adapter: Option<AdapterName>,
}

impl AllocationId {
    /// Returns the allocation of the model itself on the same accelerator.
    #[must_use]
    pub fn base(&self) -> Self {
        Self {
            adapter: None,
            ..self.clone()
        }
    }
}

impl From<&OrderAction> for AllocationId {
    fn from(action: &OrderAction) -> Self {
        let (accelerator, model, adapter) = match action {
            OrderAction::Load { model, accelerator }
            | OrderAction::Unload { model, accelerator } => (accelerator, model, None),
            OrderAction::LoadAdapter {
                adapter,
                model,
                accelerator,
            }
            | OrderAction::UnloadAdapter {
                adapter,
                model,
                accelerator,
            } => (accelerator, model, Some(adapter.clone())),
        };
        Self {
            accelerator: *accelerator,
            model: model.clone(),
            adapter,
        }
    }
}

/// Returns whether an order takes memory rather than frees it.
pub(super) const fn is_load(action: &OrderAction) -> bool {
    matches!(
        action,
        OrderAction::Load { .. } | OrderAction::LoadAdapter { .. }
    )
}

/// An order that was begun and has no reply yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PendingOrder {
    pub(super) number: u64,
    pub(super) action: OrderAction,
    pub(super) begun_at: Timestamp,
}

/// Lifecycle state of an allocation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AllocationState {
    /// An order for the allocation awaits its reply.
    Pending(PendingOrder),
    /// The engine is loading the allocation, with no order of this incarnation pending.
    Loading,
    /// The allocation is resident.
    Ready,
    /// The allocation may or may not be resident.
    Uncertain,
}

/// An allocation, and until when orders may still change it.
#[derive(Debug, Clone)]
pub(super) struct Allocation {
    pub(super) mb: u32,
    pub(super) state: AllocationState,
    /// Latest time at which a load order may still reach the engine.
    pub(super) load_deadline: Timestamp,
    /// Latest time at which an unload order may still reach the engine.
    pub(super) unload_deadline: Timestamp,
    /// Time of the last change; load reports of this time or earlier are ignored.
    pub(super) changed_at: Timestamp,
    /// Whether the deadlines are those of orders of a previous incarnation.
    pub(super) recovered: bool,
}

impl Allocation {
    /// Creates an allocation without orders that may still reach the engine.
    pub(super) const fn new(mb: u32, state: AllocationState, changed_at: Timestamp) -> Self {
        Self {
            mb,
            state,
            load_deadline: Timestamp::ZERO,
            unload_deadline: Timestamp::ZERO,
            changed_at,
            recovered: false,
        }
    }

    /// Returns the state published in the residency report.
    pub(super) const fn replica_state(&self) -> ReplicaState {
        match &self.state {
            AllocationState::Pending(order) if is_load(&order.action) => ReplicaState::Loading,
            AllocationState::Pending(_) => ReplicaState::Unloading,
            AllocationState::Loading => ReplicaState::Loading,
            AllocationState::Ready => ReplicaState::Ready,
            AllocationState::Uncertain => ReplicaState::Uncertain,
        }
    }

    /// Returns whether an order may still change the allocation.
    pub(super) fn may_change(&self, now: Timestamp) -> bool {
        let deadline = self.load_deadline.max(self.unload_deadline);
        let open = matches!(
            self.state,
            AllocationState::Pending(_) | AllocationState::Uncertain
        );
        open || deadline > now
    }
}
