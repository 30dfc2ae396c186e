//! The ledger's record of a call: its claim and its outcome.

use kumquatkeel_types::{AttemptId, Incarnation, TargetName};
use serde::{Deserialize, Serialize};

use super::{LedgerKey, WallTime};

/// Largest response body that is recorded for replay to retries of a call, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;

/// Largest content type that is recorded, in bytes.
const MAX_CONTENT_TYPE_BYTES: usize = 256;

/// A call for which a claim is requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Key of the call.
    pub key: LedgerKey,
    /// Digest of the request, to detect reuse of the key for another request.
    pub digest: u64,
    /// The attempt that sends the call if the claim is granted.
    pub attempt: AttemptId,
    /// The target to which that attempt sends it.
    pub target: TargetName,
    /// Incarnation of the target's agent; the attempt is sent to no other.
    pub incarnation: Incarnation,
}

/// The exclusive right to run a call, as one attempt on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt; its request identifies the entry and the entry's incarnation.
    pub attempt: AttemptId,
    /// The target to which the attempt is sent.
    pub target: TargetName,
    /// Incarnation of the target's agent.
    pub incarnation: Incarnation,
    /// When the claim was granted, by the clock of the process that applied it.
    pub since: WallTime,
}

/// Outcome of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The target responded.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Content type of the body; empty when the body is not kept.
        content_type: String,
        /// The body; `None` when it exceeded [`MAX_BODY_BYTES`], its content type was too long, or
        /// the partition had no room.
        body: Option<String>,
    },
    /// The attempt was not executed and never will be; the call may be claimed again.
    NotRun,
    /// The attempt may have been executed; the call is never run again.
    Unknown,
}

impl CallOutcome {
    /// Creates the outcome of a response; a body over the limit is not kept.
    pub fn answered(status: u16, content_type: impl Into<String>, body: impl Into<String>) -> Self {
        let body = body.into();
        let mut content_type = content_type.into();
        let kept = body.len() <= MAX_BODY_BYTES && content_type.len() <= MAX_CONTENT_TYPE_BYTES;
        if !kept {
            content_type.clear();
        }
        Self::Answered {
            status,
            content_type,
            body: kept.then_some(body),
        }
    }

    /// Returns the outcome without its body, for a partition that has no room for it.
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

    /// Returns whether this outcome may replace the one recorded so far.
    ///
    /// `Unknown` is replaced by what the attempt's own entry or agent learns later. `Answered` and
    /// `NotRun` are final once they have been reported.
    pub(super) const fn may_replace(&self, current: Option<&Self>) -> bool {
        match current {
            None => true,
            Some(Self::Unknown) => !matches!(self, Self::Unknown),
            Some(Self::Answered { .. } | Self::NotRun) => false,
        }
    }
}

/// Record of one call, kept under its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// Key of the call.
    pub key: LedgerKey,
    /// Digest of the request.
    pub digest: u64,
    /// When the key was first claimed.
    pub since: WallTime,
    /// The latest claim.
    pub claim: Claim,
    /// Outcome of the latest claim; `None` while it is not known.
    pub outcome: Option<CallOutcome>,
}
