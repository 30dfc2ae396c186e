//! Settling of attempts whose outcome an entry does not know.

use serde::{Deserialize, Serialize};

use crate::{AttemptId, Incarnation};

/// Asks an agent to make sure that an attempt never starts from now on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FenceRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The agent's life to which the attempt was sent.
    pub incarnation: Incarnation,
}

/// What the agent knows of the attempt; from now on it can't start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FenceReply {
    /// The attempt was not run and never will be.
    NotRun,
    /// The attempt is running.
    Running,
    /// The attempt ran and the target answered with this status and body.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body, UTF-8.
        body: String,
    },
    /// The attempt began to run and its outcome is not known.
    Unknown,
    /// The agent is in another life and can't say what an earlier one did.
    WrongIncarnation {
        /// The agent's life.
        incarnation: Incarnation,
    },
}
