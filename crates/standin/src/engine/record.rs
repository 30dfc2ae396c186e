//! Record of what an engine executed, which tests compare with the answers that callers got.

use kumquatkeel_types::engine::{EngineCompletion, EngineOrder, EngineOrderReply};
use kumquatkeel_types::message::FinishReason;
use tokio::time::Instant;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The run is still waiting for a slot or generating.
    Running,
    /// The complete answer was sent.
    Finished(FinishReason),
    /// The run was cancelled, or the receiver of its chunks was dropped.
    Cancelled,
    /// A fault ended the stream before its last chunk.
    Interrupted,
}

/// One execution of a completion request.
#[derive(Debug, Clone, PartialEq)]
pub struct RunRecord {
    /// The request as it was received.
    pub request: EngineCompletion,
    /// Number of tokens that this run sent, without those of an earlier run that it resumes.
    pub sent: u32,
    /// How the run ended, or [`RunEnd::Running`].
    pub end: RunEnd,
}

/// One order that the engine accepted for execution or refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// The order.
    pub order: EngineOrder,
    /// The reply; `None` while the order is being executed.
    pub reply: Option<EngineOrderReply>,
    /// When the order ended or was refused; while it is being executed, when it started.
    pub at: Instant,
}

/// An order that was refused because it needs more memory than the accelerator has free.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryViolation {
    /// The order.
    pub order: EngineOrder,
    /// Memory in use on the accelerator, in megabytes.
    pub used_mb: u32,
    /// Additional memory that the order needs, in megabytes.
    pub requested_mb: u32,
}

/// The runs and orders of an engine since its start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineRecord {
    /// The runs, in the order of their arrival.
    pub runs: Vec<RunRecord>,
    /// The orders, in the order of their arrival.
    pub orders: Vec<OrderRecord>,
    /// The orders that were refused for lack of memory.
    pub violations: Vec<MemoryViolation>,
}
