//! The attempt that a request has in progress.

use kumquatkeel_types::message::FenceRequest;
use kumquatkeel_types::{AttemptId, Incarnation, TargetName};

/// The progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// The attempt was sent; the agent has not replied.
    Sent,
    /// The agent has accepted the attempt.
    Accepted,
    /// The answer was interrupted; the agent is asked to fence the attempt.
    Fencing,
}

/// How far the attempt in progress is when its request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptProgress {
    /// It was certainly not sent.
    Unsent,
    /// It may have been sent.
    Sent,
}

/// An attempt at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) target: TargetName,
    pub(super) incarnation: Option<Incarnation>,
    pub(super) state: AttemptState,
    pub(super) received_token: bool,
}

impl Attempt {
    pub(super) const fn new(
        id: AttemptId,
        target: TargetName,
        incarnation: Option<Incarnation>,
    ) -> Self {
        Self {
            id,
            target,
            incarnation,
            state: AttemptState::Sent,
            received_token: false,
        }
    }

    /// Returns whether a refusal from this incarnation of the agent proves that the attempt was not
    /// run.
    ///
    /// An agent of another incarnation can vouch only for the connection on which it replies, and
    /// only before it has accepted the attempt there.
    pub(super) fn proves_not_run(&self, incarnation: Incarnation, wrong_incarnation: bool) -> bool {
        if self.received_token {
            return false;
        }
        match self.state {
            AttemptState::Sent => wrong_incarnation || self.matches(incarnation),
            AttemptState::Accepted => self.incarnation == Some(incarnation),
            AttemptState::Fencing => false,
        }
    }

    /// Returns the request that fences the attempt; `None` if the agent's incarnation is unknown.
    pub(super) fn fence_request(&self) -> Option<FenceRequest> {
        Some(FenceRequest {
            attempt: self.id.clone(),
            incarnation: self.incarnation?,
        })
    }

    fn matches(&self, incarnation: Incarnation) -> bool {
        self.incarnation.is_none_or(|known| known == incarnation)
    }
}
