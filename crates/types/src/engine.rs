//! The engines' published HTTP interface.
//!
//! | path | method | body | answer |
//! |---|---|---|---|
//! | `/v1/completions` | POST | [`EngineCompletion`] | SSE of [`EngineChunk`], then `[DONE]` |
//! | `/v1/cancel` | POST | [`EngineCancel`] | empty |
//! | `/v1/orders` | POST | [`EngineOrder`] | [`EngineOrderReply`] |
//! | `/v1/load` | GET | | [`EngineLoad`] |
//! | `/v1/cache_events?after=N` | GET | | [`CacheEvents`] |
//!
//! A plain service takes POST on any path, with the `Idempotency-Key` header.

use serde::{Deserialize, Serialize};

use crate::message::OrderAction;
use crate::{AdapterName, ModelId};

/// A completion request to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineCompletion {
    /// Echoed in every chunk.
    pub request_id: String,
    /// The model at its version.
    pub model: ModelId,
    /// The adapter on it.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// The most tokens over the whole answer, resumed ones included.
    pub max_tokens: u32,
    /// Seed of the generator.
    pub seed: u64,
    /// The priority, from 0 (first) to 9 (last).
    pub priority: u8,
    /// Tokens of the answer that are already known; generation goes on after them.
    #[serde(default)]
    pub resume: Vec<String>,
}

/// One chunk of an engine's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineChunk {
    /// The request's id.
    pub request_id: String,
    /// The token's index in the whole answer, from 0.
    pub index: u32,
    /// The text; empty in the last chunk.
    pub text: String,
    /// Why the answer ended, in the last chunk only: `stop` or `length`.
    pub finish_reason: Option<crate::message::FinishReason>,
}

/// Cancels a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCancel {
    /// The request's id.
    pub request_id: String,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number; an engine that checks it refuses a lower one than it has seen.
    pub fence: u64,
    /// The order's number under this fencing number, echoed in the load report.
    pub number: u64,
    /// What to do.
    pub action: OrderAction,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrderReply {
    /// The order was executed.
    Done,
    /// The fencing number is lower than one seen before.
    OldFence,
    /// The memory does not suffice.
    NoMemory,
    /// The model or adapter is not there, or is in use.
    Refused,
}

/// A replica as its engine reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReplica {
    /// The model.
    pub model: ModelId,
    /// The accelerator's index.
    pub accelerator: u16,
    /// Whether it serves yet.
    pub ready: bool,
    /// The adapters beside it.
    pub adapters: Vec<AdapterName>,
    /// Requests that run on it.
    pub running: u32,
    /// Requests that wait for it.
    pub waiting: u32,
}

/// An engine's load report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
    /// The replicas.
    pub replicas: Vec<EngineReplica>,
    /// Memory in use on each accelerator, in megabytes.
    pub used_mb: Vec<u32>,
    /// The highest fencing number seen.
    pub fence: u64,
}

/// One event of the prompt prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number; a jump means a gap.
    pub sequence: u64,
    /// The hash of the prompt's prefix block.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Events of the prompt prefix cache after a number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, in the order of their numbers.
    pub events: Vec<CacheEvent>,
}
