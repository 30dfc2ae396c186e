//! What an engine did, for tests to compare with what callers were told.

use kumquatkeel_types::engine::{EngineCompletion, EngineOrder, EngineOrderReply};
use kumquatkeel_types::message::FinishReason;
use tokio::time::Instant;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The run has not ended.
    Running,
    /// The answer was sent whole.
    Finished(FinishReason),
    /// The run was cancelled, or nobody read the answer.
    Cancelled,
    /// A fault cut the answer.
    Cut,
}

/// One run of a completion.
#[derive(Debug, Clone, PartialEq)]
pub struct RunRecord {
    /// The request.
    pub request: EngineCompletion,
    /// Tokens sent by this run.
    pub sent: u32,
    /// How the run ended.
    pub end: RunEnd,
}

/// One order that reached the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// The order.
    pub order: EngineOrder,
    /// The answer; none while the order is carried out.
    pub reply: Option<EngineOrderReply>,
    /// When it was carried out or refused.
    pub at: Instant,
}

/// An order that would have used more memory than an accelerator has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryViolation {
    /// The order.
    pub order: EngineOrder,
    /// Memory that was in use, in megabytes.
    pub used_mb: u32,
    /// Memory that the order needed, in megabytes.
    pub more_mb: u32,
}

/// Everything that an engine did.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineRecord {
    /// The runs, in the order of their starts.
    pub runs: Vec<RunRecord>,
    /// The orders, in the order in which they were taken up.
    pub orders: Vec<OrderRecord>,
    /// The orders that memory did not suffice for.
    pub violations: Vec<MemoryViolation>,
}
