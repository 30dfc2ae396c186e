//! The published HTTP interface of engines and plain services, as agents call it.
//!
//! | path | method | body | answer |
//! |---|---|---|---|
//! | `/v1/completions` | POST | [`EngineCompletion`] | SSE of [`EngineChunk`], then `[DONE]` |
//! | `/v1/cancel` | POST | [`EngineCancel`] | empty |
//! | `/v1/orders` | POST | [`EngineOrder`] | [`EngineOrderReply`] |
//! | `/v1/load` | GET | | [`EngineLoad`] |
//! | `/v1/cache_events?after=N` | GET | | [`CacheEvents`] |
//!
//! A plain service accepts POST on any path, with the `Idempotency-Key` header.

use serde::{Deserialize, Serialize};

use crate::message::OrderAction;
use crate::{AdapterName, ModelId};

/// A completion request to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineCompletion {
    /// The request's identifier, echoed in every chunk.
    pub request_id: String,
    /// The model at its version.
    pub model: ModelId,
    /// The adapter on the model; `None` for the model itself.
    pub adapter: Option<AdapterName>,
    /// The prompt text.
    pub prompt: String,
    /// Upper bound on the tokens of the whole answer, including resumed tokens.
    pub max_tokens: u32,
    /// Seed for sampling.
    pub seed: u64,
    /// The priority, from 0 (first) to 9 (last).
    pub priority: u8,
    /// The first tokens of the answer, from earlier attempts; generation continues after them.
    #[serde(default)]
    pub resume: Vec<String>,
}

/// One chunk of an engine's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineChunk {
    /// The request's identifier, as in [`EngineCompletion`].
    pub request_id: String,
    /// The token's index in the whole answer, from 0 and counting resumed tokens.
    pub index: u32,
    /// The token's text; empty in the last chunk.
    pub text: String,
    /// Why the answer ended, `stop` or `length`; set in the last chunk only.
    pub finish_reason: Option<crate::message::FinishReason>,
}

/// Asks an engine to cancel a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCancel {
    /// The request's identifier, as in [`EngineCompletion`].
    pub request_id: String,
}

/// An order that an agent sends to its engine to load or unload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing token; an engine that checks it refuses a lower one than it has seen.
    pub fence: u64,
    /// The order's number, unique under this fencing token.
    pub number: u64,
    /// The action to carry out.
    pub action: OrderAction,
}

/// An engine's reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrderReply {
    /// The order was executed.
    Done,
    /// The fencing token is lower than one seen before.
    OldFence,
    /// The accelerator lacks the memory.
    NoMemory,
    /// The order can't be executed: for example, the model or adapter is not resident or is in use.
    Refused,
}

/// The state of a replica, as reported by its engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReplica {
    /// The model at its version.
    pub model: ModelId,
    /// The accelerator's index on the engine's target.
    pub accelerator: u16,
    /// Whether the replica can serve requests.
    pub ready: bool,
    /// The adapters that are loaded on the replica.
    pub adapters: Vec<AdapterName>,
    /// Number of requests that run on the replica.
    pub running: u32,
    /// Number of requests that wait for the replica.
    pub waiting: u32,
}

/// An engine's load report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// The replicas on all accelerators.
    pub replicas: Vec<EngineReplica>,
    /// Memory in use, by accelerator, in megabytes.
    pub used_mb: Vec<u32>,
    /// The highest fencing token that the engine has seen.
    pub fence: u64,
}

/// A change of an engine's prompt prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number; a number that is not the next one means that events were lost.
    pub sequence: u64,
    /// The hash of the prompt prefix block.
    pub block: u64,
    /// `true` if the block was stored, `false` if it was evicted.
    pub stored: bool,
}

/// The events of the prompt prefix cache after the number given as `after`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, in the order of their numbers.
    pub events: Vec<CacheEvent>,
}
