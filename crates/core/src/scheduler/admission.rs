//! What the gate decides.

use std::sync::Arc;

use kumquatkeel_types::AttemptId;
use kumquatkeel_types::message::NotRunReason;

use super::PlainAnswer;

/// What becomes of an attempt that reached the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The attempt runs from now on.
    Start,
    /// The attempt waits; a later [`SchedulerStep`] tells its end of waiting.
    Queued,
    /// A call with the same idempotency key runs; its answer is this attempt's too.
    Joined,
    /// A call with the same idempotency key has run; this is its answer.
    Stored(Arc<PlainAnswer>),
    /// The attempt, or a call with its key, has begun before; its outcome can't be told.
    Unknown,
    /// The attempt repeats one that is here already.
    Repeated,
    /// The idempotency key was used for another call.
    KeyReused,
    /// The attempt was not run and never will be.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

/// What the shell does next for an attempt that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerStep {
    /// The attempt runs from now on.
    Start(AttemptId),
    /// The attempt was not run and never will be.
    NotRun {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: NotRunReason,
    },
    /// The call that the attempt joined was answered.
    Answer {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: Arc<PlainAnswer>,
    },
    /// The call that the attempt joined ended without a known outcome.
    Unknown(AttemptId),
}

/// What the shell does when a caller has left.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CancelStep {
    /// The attempt waited and will never run.
    NotRun,
    /// The attempt runs: cancel it at the target, then report its end.
    CancelTarget,
    /// The call runs on for its idempotency key, or there is nothing to cancel.
    Nothing,
}
