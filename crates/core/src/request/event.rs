//! The inputs of a request's state machine.

use kumquatkeel_types::message::{AttemptEvent, FenceReply};
use kumquatkeel_types::{AttemptId, Incarnation, TargetName};

/// An input of [`RequestFlow::handle`](super::RequestFlow::handle).
#[derive(Debug, Clone, PartialEq)]
pub enum FlowEvent {
    /// The routing policy asks for a probe of these targets before it chooses one.
    ProbeWanted(Vec<TargetName>),
    /// All probes were answered or have timed out.
    Probed,
    /// The routing policy has chosen a target.
    Chosen {
        /// The target.
        target: TargetName,
        /// The incarnation that the target's agent last reported; `None` before the first report.
        incarnation: Option<Incarnation>,
    },
    /// The routing policy found no target that may take the request.
    NoTarget,
    /// The connection failed before any byte of the attempt was sent.
    NotSent(AttemptId),
    /// The agent sent an event of an attempt's answer.
    Attempt {
        /// The attempt for which the connection was opened.
        attempt: AttemptId,
        /// The event.
        event: AttemptEvent,
    },
    /// An attempt's answer ended without its last event, or its connection broke.
    Interrupted(AttemptId),
    /// The agent has replied to a fence request.
    Fenced {
        /// The attempt.
        attempt: AttemptId,
        /// The state of the attempt at its agent.
        reply: FenceReply,
    },
    /// The fence request for an attempt failed or timed out.
    FenceFailed(AttemptId),
    /// The time of [`RequestFlow::due`](super::RequestFlow::due) has come.
    Timer,
    /// The caller has disconnected.
    CallerLeft,
}
