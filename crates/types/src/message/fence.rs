//! Fencing of attempts whose outcome an entry does not know.
//!
//! After an answer was interrupted or lost, the entry asks the agent to fence the attempt. The
//! reply says whether the attempt ran, and a late start is ruled out.

use serde::{Deserialize, Serialize};

use crate::{AttemptId, Incarnation};

/// Asks an agent to ensure that an attempt never starts after the reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FenceRequest {
    /// The attempt to fence.
    pub attempt: AttemptId,
    /// The incarnation of the agent to which the attempt was sent.
    pub incarnation: Incarnation,
}

/// The state of a fenced attempt, as the agent knows it.
///
/// After any reply but `WrongIncarnation`, an attempt that has not started never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FenceReply {
    /// The attempt was not run and never will be.
    NotRun,
    /// The attempt is running.
    Running,
    /// The attempt ran, and the target answered with this status and body.
    Answered {
        /// The HTTP status that the target returned.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body, in UTF-8.
        body: String,
    },
    /// The attempt may have run, and the agent does not know its outcome.
    Unknown,
    /// The agent is in another incarnation and has no records of the one named in the request.
    WrongIncarnation {
        /// The agent's present incarnation.
        incarnation: Incarnation,
    },
}
