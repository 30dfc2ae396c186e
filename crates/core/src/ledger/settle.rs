//! Resolution of a claim that another attempt holds.

use std::time::Duration;

use kumquatkeel_types::message::{FenceReply, FenceRequest};

use super::{CallOutcome, Claim, WallTime};

/// Age from which a claim is fenced even if the entry that holds it is alive.
const MAX_CLAIM_AGE: Duration = Duration::from_mins(1);

/// Delay before the caller asks again for a running call.
const RUNNING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// State of the entry that holds a claim, which tells whether it can still send the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimHolder {
    /// The entry is alive in the incarnation that made the claim, or its state is not known.
    Alive,
    /// The entry is gone, or has another incarnation.
    Gone,
}

/// The next step for a call whose claim is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeldStep {
    /// Tell the caller that the call is running and to ask again after this time.
    Running(Duration),
    /// Ask the agent to fence the attempt, then pass its reply to [`resolve_fence`].
    Fence(FenceRequest),
    /// Record this outcome for the attempt.
    Settle(CallOutcome),
    /// Tell the caller that the outcome can't be determined at present.
    Unknown,
}

/// Returns the next step for a call that is held by `claim`.
pub fn resolve_held(claim: &Claim, holder: ClaimHolder, now: WallTime) -> HeldStep {
    if holder == ClaimHolder::Alive && now.since(claim.since) < MAX_CLAIM_AGE {
        return HeldStep::Running(RUNNING_RETRY_AFTER);
    }
    HeldStep::Fence(FenceRequest {
        attempt: claim.attempt.clone(),
        incarnation: claim.incarnation,
    })
}

/// Returns the next step after a fence; `reply` is `None` when the agent could not be reached.
///
/// Only a reply of the agent, from the incarnation named in the claim, proves that the attempt was
/// not run.
pub fn resolve_fence(reply: Option<FenceReply>) -> HeldStep {
    match reply {
        Some(FenceReply::NotRun) => HeldStep::Settle(CallOutcome::NotRun),
        Some(FenceReply::Running) => HeldStep::Running(RUNNING_RETRY_AFTER),
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
