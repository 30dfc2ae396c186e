//! The answer of a plain call and the end of a started attempt.

use std::sync::Arc;

use kumquatkeel_types::message::{FenceReply, NotRunReason};

/// The complete answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The body, as UTF-8 text.
    pub body: String,
}

impl PlainAnswer {
    /// Returns the bytes that count against the limit of stored answers.
    pub(super) const fn bytes(&self) -> usize {
        self.content_type.len() + self.body.len()
    }

    /// Converts the answer into the reply to a fence request.
    pub(super) fn fence_reply(&self) -> FenceReply {
        FenceReply::Answered {
            status: self.status,
            content_type: self.content_type.clone(),
            body: self.body.clone(),
        }
    }
}

/// The end of a started attempt, as the agent reports it to the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The plain service sent its complete answer.
    Answered(Arc<PlainAnswer>),
    /// The completion's stream ended with a finish reason.
    Finished,
    /// The attempt may have run and its result is unknown.
    Unknown,
    /// No byte was sent to the target, or the target has certainly not run the attempt.
    NotSent(NotRunReason),
}
