//! What the ledger holds of one call.

use kumquatkeel_types::{AttemptId, Incarnation, TargetName};
use serde::{Deserialize, Serialize};

use super::{LedgerKey, WallTime};

/// Largest body that is kept for repeats of a call, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;

/// Largest content type that is kept, in bytes.
const MAX_TYPE_BYTES: usize = 256;

/// A call that wants to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The call's key.
    pub key: LedgerKey,
    /// The digest of the request, so that the key can't be used for another one.
    pub digest: u64,
    /// The attempt under which it would run.
    pub attempt: AttemptId,
    /// The target to which it would be sent.
    pub target: TargetName,
    /// The life of the target's agent; the attempt is sent to no other.
    pub incarnation: Incarnation,
}

/// The right to run a call once, as one attempt on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt, which names the entry and its life.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetName,
    /// The life of the target's agent.
    pub incarnation: Incarnation,
    /// When the claim was made.
    pub since: WallTime,
}

/// What became of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The target answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body; none when it was larger than [`MAX_BODY_BYTES`] or there was no room.
        body: Option<String>,
    },
    /// The attempt was not run and never will be; the call may be claimed again.
    NotRun,
    /// The attempt may have run; the call is never run again.
    Unknown,
}

impl CallOutcome {
    /// Makes the outcome of an answer; a body over the limit is not kept.
    pub fn answered(status: u16, content_type: impl Into<String>, body: impl Into<String>) -> Self {
        let body = body.into();
        let mut content_type = content_type.into();
        let kept = body.len() <= MAX_BODY_BYTES && content_type.len() <= MAX_TYPE_BYTES;
        if !kept {
            content_type.clear();
        }
        Self::Answered {
            status,
            content_type,
            body: kept.then_some(body),
        }
    }

    /// Returns the outcome without a body, for a partition that has no room for it.
    pub(super) fn without_body(self) -> Self {
        match self {
            Self::Answered { status, .. } => Self::Answered {
                status,
                content_type: String::new(),
                body: None,
            },
            other => other,
        }
    }

    /// Says whether this may take the place of an outcome that stands.
    ///
    /// Unknown gives way to what the attempt's own entry or agent learns later. What was told as
    /// answered or not run never changes.
    pub(super) const fn improves(&self, standing: Option<&Self>) -> bool {
        match standing {
            None => true,
            Some(Self::Unknown) => !matches!(self, Self::Unknown),
            Some(Self::Answered { .. } | Self::NotRun) => false,
        }
    }
}

/// The ledger's record of one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// The call's key.
    pub key: LedgerKey,
    /// The digest of the request.
    pub digest: u64,
    /// When the key was first seen.
    pub since: WallTime,
    /// The latest claim.
    pub claim: Claim,
    /// The outcome of the latest claim.
    pub outcome: Option<CallOutcome>,
}
