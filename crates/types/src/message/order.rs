//! Orders from the holder of the placement lease to an agent.

use serde::{Deserialize, Serialize};

use crate::{AdapterName, Epoch, Incarnation, ModelId, TargetName};

/// An order to load or unload; an agent starts each number at most once within an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The epoch of the placement lease under which the order was issued, used as fencing token.
    pub epoch: Epoch,
    /// The order's number within the epoch.
    pub number: u64,
    /// The target that the order is for.
    pub target: TargetName,
    /// The incarnation of the agent that the order is for.
    pub incarnation: Incarnation,
    /// The action to carry out.
    pub action: OrderAction,
}

/// The action of an order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a replica of a model on an accelerator.
    Load {
        /// The model at its version.
        model: ModelId,
        /// The accelerator's index on the target.
        accelerator: u16,
    },
    /// Unload the replica of a model from an accelerator.
    Unload {
        /// The model at its version.
        model: ModelId,
        /// The accelerator's index on the target.
        accelerator: u16,
    },
    /// Load an adapter on a replica of its base model.
    LoadAdapter {
        /// The adapter's name.
        adapter: AdapterName,
        /// The base model at its version.
        model: ModelId,
        /// The accelerator's index on the target.
        accelerator: u16,
    },
    /// Unload an adapter from a replica of its base model.
    UnloadAdapter {
        /// The adapter's name.
        adapter: AdapterName,
        /// The base model at its version.
        model: ModelId,
        /// The accelerator's index on the target.
        accelerator: u16,
    },
}

/// The agent's reply to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The highest epoch of the placement lease that the agent has seen.
    pub epoch: Epoch,
    /// The result of the order.
    pub result: OrderResult,
}

/// The result of an order, as the agent replies at once; the engine's result comes later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// The order was started; its completion shows in the agent's report of its replicas.
    Started,
    /// The replicas are as ordered, or a pending order makes them so.
    Already,
    /// The order's epoch is lower than one seen before.
    OldEpoch,
    /// The order is for another incarnation of the agent.
    WrongIncarnation,
    /// The accelerator lacks the memory in the worst case.
    NoMemory {
        /// Memory that is free even in the worst case, in megabytes.
        free_mb: u32,
    },
    /// Orders sent by the agent's previous incarnation may still arrive at the engine.
    Quarantined {
        /// Delay before the order may be retried, in milliseconds.
        retry_after_ms: u64,
    },
    /// The order can't be executed in the present state: for example, requests use the replica or
    /// adapter, or the model or adapter is not known.
    Refused {
        /// Why the order was refused.
        reason: String,
    },
}
