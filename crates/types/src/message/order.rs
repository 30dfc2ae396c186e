//! Orders from the holder of the placement lease to an agent.

use serde::{Deserialize, Serialize};

use crate::{AdapterName, Epoch, Incarnation, ModelId, TargetName};

/// One order; an agent carries out each number at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The fencing epoch of the lease under which the order was given.
    pub epoch: Epoch,
    /// The order's number within the epoch.
    pub number: u64,
    /// The target.
    pub target: TargetName,
    /// The agent's life that the order is for.
    pub incarnation: Incarnation,
    /// What to do.
    pub action: OrderAction,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a replica of a model on an accelerator.
    Load {
        /// The model.
        model: ModelId,
        /// The accelerator's index on the target.
        accelerator: u16,
    },
    /// Unload the replica of a model from an accelerator.
    Unload {
        /// The model.
        model: ModelId,
        /// The accelerator's index on the target.
        accelerator: u16,
    },
    /// Load an adapter beside its base model.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterName,
        /// The base model.
        model: ModelId,
        /// The accelerator's index on the target.
        accelerator: u16,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: AdapterName,
        /// The base model.
        model: ModelId,
        /// The accelerator's index on the target.
        accelerator: u16,
    },
}

/// The agent's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The agent's life.
    pub incarnation: Incarnation,
    /// The highest epoch that the agent has seen.
    pub epoch: Epoch,
    /// What the agent did with the order.
    pub result: OrderResult,
}

/// What an agent did with an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// The order was taken up; its end shows in the residency report.
    Started,
    /// The residency is already as ordered.
    Already,
    /// The order's epoch is lower than one seen before.
    OldEpoch,
    /// The order is for another life of the agent.
    WrongIncarnation,
    /// The accelerator's memory does not suffice in the worst case.
    NoMemory {
        /// Memory that may be free in the worst case, in megabytes.
        free_mb: u32,
    },
    /// The agent does not know yet what its predecessor left in flight.
    Quarantined {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The model still has requests in progress, or is not known.
    Refused {
        /// Why.
        reason: String,
    },
}
