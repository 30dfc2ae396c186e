//! One thing that takes memory: a replica of a model, or an adapter beside it.

use kumquatkeel_types::message::{OrderAction, ReplicaState};
use kumquatkeel_types::{AdapterName, ModelId, Timestamp};
use serde::{Deserialize, Serialize};

/// Identifies what takes memory on an accelerator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AllocationId {
    /// The accelerator's index.
    pub accelerator: u16,
    /// The model.
    pub model: ModelId,
    /// The adapter; none for the model's own weights and KV cache.
    pub adapter: Option<AdapterName>,
}

impl AllocationId {
    /// Returns the model's own unit on the same accelerator.
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

/// Says whether an order adds something to memory.
pub(super) const fn is_load(action: &OrderAction) -> bool {
    matches!(
        action,
        OrderAction::Load { .. } | OrderAction::LoadAdapter { .. }
    )
}

/// An order that was begun and whose answer is awaited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Flight {
    pub(super) number: u64,
    pub(super) action: OrderAction,
    pub(super) began: Timestamp,
}

/// How far a unit is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum UnitState {
    /// An order for the unit is in flight.
    Ordered(Flight),
    /// The engine loads the unit without an order of this life in flight.
    Warming,
    /// The unit is resident.
    Ready,
    /// The unit may or may not be resident.
    Doubtful,
}

/// A unit with all that may still happen to it.
#[derive(Debug, Clone)]
pub(super) struct Unit {
    pub(super) mb: u32,
    pub(super) state: UnitState,
    /// The last moment at which a load order may arrive.
    pub(super) load_horizon: Timestamp,
    /// The last moment at which an unload order may arrive.
    pub(super) unload_horizon: Timestamp,
    /// The time of the newest knowledge; older observations say nothing.
    pub(super) known_at: Timestamp,
    /// Whether the horizons are those of an earlier life's orders.
    pub(super) inherited: bool,
}

impl Unit {
    /// Makes a unit without orders that may still arrive.
    pub(super) const fn new(mb: u32, state: UnitState, known_at: Timestamp) -> Self {
        Self {
            mb,
            state,
            load_horizon: Timestamp::ZERO,
            unload_horizon: Timestamp::ZERO,
            known_at,
            inherited: false,
        }
    }

    /// Returns the state as it is reported.
    pub(super) const fn reported(&self) -> ReplicaState {
        match &self.state {
            UnitState::Ordered(flight) if is_load(&flight.action) => ReplicaState::Loading,
            UnitState::Ordered(_) => ReplicaState::Unloading,
            UnitState::Warming => ReplicaState::Loading,
            UnitState::Ready => ReplicaState::Ready,
            UnitState::Doubtful => ReplicaState::Uncertain,
        }
    }

    /// Says whether an order may still change the unit, now or later.
    pub(super) fn is_open(&self, now: Timestamp) -> bool {
        let horizon = self.load_horizon.max(self.unload_horizon);
        let open = matches!(self.state, UnitState::Ordered(_) | UnitState::Doubtful);
        open || horizon > now
    }
}
