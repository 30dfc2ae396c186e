//! The decisions of the scheduler.

use std::sync::Arc;

use kumquatkeel_types::AttemptId;
use kumquatkeel_types::message::NotRunReason;

use super::PlainAnswer;

/// The decision on an attempt that has reached the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The attempt holds a slot; the agent sends it to the target.
    Start,
    /// The attempt waits for a slot; a later [`SchedulerStep`] starts or refuses it.
    Queued,
    /// A call with the same idempotency key waits or runs; a later [`SchedulerStep`] passes on its
    /// result.
    Joined,
    /// A call with the same idempotency key has been answered; this is the stored answer.
    Stored(Arc<PlainAnswer>),
    /// The attempt, or a call with its idempotency key, may have run before; its result is unknown.
    Unknown,
    /// The same attempt waits or runs already.
    Repeated,
    /// The idempotency key was used before for a call with another content.
    KeyReused,
    /// The attempt was not run and never will be.
    NotRun {
        /// The reason of the refusal.
        reason: NotRunReason,
        /// The delay after which a retry may succeed, in milliseconds; `None` if it is not known.
        retry_after_ms: Option<u64>,
    },
}

/// What the agent does next for an attempt that was queued or joined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerStep {
    /// The attempt holds a slot; send it to the target.
    Start(AttemptId),
    /// The attempt was not run and never will be.
    NotRun {
        /// The attempt.
        attempt: AttemptId,
        /// The reason of the refusal.
        reason: NotRunReason,
    },
    /// The call that the attempt joined was answered.
    Answer {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: Arc<PlainAnswer>,
    },
    /// The call that the attempt joined ended with an unknown result.
    Unknown(AttemptId),
}

/// What the agent does for an attempt whose caller has disconnected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CancelStep {
    /// The attempt was waiting and will never run.
    NotRun,
    /// The attempt runs: cancel it at the target, then report its end with
    /// [`AttemptScheduler::finish`](super::AttemptScheduler::finish).
    CancelTarget,
    /// There is nothing to cancel, or the call has an idempotency key and runs on.
    Nothing,
}
