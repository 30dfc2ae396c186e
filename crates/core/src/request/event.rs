//! What can happen to a request.

use kumquatkeel_types::message::{AttemptEvent, FenceReply};
use kumquatkeel_types::{AttemptId, Incarnation, TargetName};

/// What has happened to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum FlowEvent {
    /// The routing policy wants these targets probed first.
    ProbeWanted(Vec<TargetName>),
    /// The probes were answered or have timed out.
    Probed,
    /// The routing policy has chosen a target.
    Chosen {
        /// The target.
        target: TargetName,
        /// Its agent's life, as last heard; none before the first report.
        incarnation: Option<Incarnation>,
    },
    /// No target may take the request now.
    NoTarget,
    /// The connection for an attempt failed before any byte of it was sent.
    NotSent(AttemptId),
    /// An event of an attempt's answer.
    Attempt {
        /// The attempt to which the answer's connection belongs.
        attempt: AttemptId,
        /// The event.
        event: AttemptEvent,
    },
    /// An attempt's answer ended without its end mark, or its connection broke.
    Interrupted(AttemptId),
    /// An agent has fenced an attempt.
    Fenced {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        reply: FenceReply,
    },
    /// An agent could not be asked to fence an attempt.
    FenceFailed(AttemptId),
    /// A time that a step named has come.
    Timer,
    /// The caller has left.
    CallerLeft,
}
