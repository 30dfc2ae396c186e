//! The attempt that a request has in progress.

use kumquatkeel_types::message::FenceRequest;
use kumquatkeel_types::{AttemptId, Incarnation, TargetName};

/// How far an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// It is sent; the agent has not answered.
    Sent,
    /// The agent has accepted it.
    Accepted,
    /// Its answer was cut, and its agent is asked what became of it.
    Fencing,
}

/// One attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) target: TargetName,
    pub(super) incarnation: Option<Incarnation>,
    pub(super) state: AttemptState,
    pub(super) progress: bool,
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
            progress: false,
        }
    }

    /// Says whether a refusal from this life of the agent proves that the attempt did not run.
    ///
    /// An agent in another life can only speak for the connection on which it answers, before it
    /// has accepted anything on it.
    pub(super) fn is_proof(&self, incarnation: Incarnation, wrong_life: bool) -> bool {
        if self.progress {
            return false;
        }
        match self.state {
            AttemptState::Sent => wrong_life || self.is_of(incarnation),
            AttemptState::Accepted => self.incarnation == Some(incarnation),
            AttemptState::Fencing => false,
        }
    }

    /// Returns the message that fences the attempt, if the agent's life is known.
    pub(super) fn fence(&self) -> Option<FenceRequest> {
        Some(FenceRequest {
            attempt: self.id.clone(),
            incarnation: self.incarnation?,
        })
    }

    fn is_of(&self, incarnation: Incarnation) -> bool {
        self.incarnation.is_none_or(|known| known == incarnation)
    }
}
