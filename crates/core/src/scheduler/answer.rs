//! How an attempt that started came to its end.

use std::sync::Arc;

use kumquatkeel_types::message::{FenceReply, NotRunReason};

/// A plain service's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The body, UTF-8.
    pub body: String,
}

impl PlainAnswer {
    /// Returns the bytes that the answer holds in memory.
    pub(super) const fn bytes(&self) -> usize {
        self.content_type.len() + self.body.len()
    }

    /// Returns the answer as the reply to a fence request.
    pub(super) fn fence_reply(&self) -> FenceReply {
        FenceReply::Answered {
            status: self.status,
            content_type: self.content_type.clone(),
            body: self.body.clone(),
        }
    }
}

/// The end of an attempt, as the shell saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// A plain service answered whole.
    Answered(Arc<PlainAnswer>),
    /// A completion ended with its finish mark.
    Finished,
    /// The attempt began to run and its outcome is not known.
    Unknown,
    /// No byte was sent to the target.
    NotSent(NotRunReason),
}
