//! What to do about a call that another attempt holds.

use std::time::Duration;

use kumquatkeel_types::message::{FenceReply, FenceRequest};

use super::{CallOutcome, Claim, WallTime};

/// Age from which a claim of a living entry is looked into, too.
const CLAIM_PATIENCE: Duration = Duration::from_mins(1);

/// When to ask again for a call that runs.
const RUNNING_RETRY: Duration = Duration::from_millis(500);

/// Whether the entry that holds a claim can still send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimHolder {
    /// The entry is alive in the life that made the claim, or nothing else is known.
    Alive,
    /// The entry is gone, or is in another life.
    Gone,
}

/// What to do about a held call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeldStep {
    /// Tell the caller to ask again after this time.
    Running(Duration),
    /// Ask the agent to fence the attempt, and settle by its answer.
    Fence(FenceRequest),
    /// Record the outcome.
    Settle(CallOutcome),
    /// Nothing can be known now; tell the caller so.
    Unknown,
}

/// Says what to do about a call that `claim` holds.
pub fn resolve_held(claim: &Claim, holder: ClaimHolder, now: WallTime) -> HeldStep {
    if holder == ClaimHolder::Alive && now.since(claim.since) < CLAIM_PATIENCE {
        return HeldStep::Running(RUNNING_RETRY);
    }
    HeldStep::Fence(FenceRequest {
        attempt: claim.attempt.clone(),
        incarnation: claim.incarnation,
    })
}

/// Says what the agent's answer to a fence means; `None` when the agent could not be reached.
///
/// Only the agent's word, from the life that the claim names, says that the attempt was not run.
pub fn resolve_fence(reply: Option<FenceReply>) -> HeldStep {
    match reply {
        Some(FenceReply::NotRun) => HeldStep::Settle(CallOutcome::NotRun),
        Some(FenceReply::Running) => HeldStep::Running(RUNNING_RETRY),
        Some(FenceReply::Answered {
            status,
            content_type,
            body,
        }) => HeldStep::Settle(CallOutcome::answered(status, content_type, body)),
        Some(FenceReply::Unknown | FenceReply::WrongIncarnation { .. }) => {
            HeldStep::Settle(CallOutcome::Unknown)
        }
        None => HeldStep::Unknown,
    }
}
