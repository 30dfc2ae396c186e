//! What to do next for a request.

use std::time::Duration;

use kumquatkeel_types::message::{Dispatch, FenceRequest, FinishReason};
use kumquatkeel_types::{ErrorBody, ErrorCode, Outcome, RequestId, TargetName};

use crate::routing::RouteProgress;

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FlowAnswer {
    /// All tokens of a completion have been passed on.
    Completed {
        /// Why the completion ended.
        reason: FinishReason,
        /// Its tokens.
        tokens: u32,
    },
    /// The answer of a plain service.
    Plain {
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body, UTF-8.
        body: String,
    },
}

/// Why there is no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowFailure {
    /// What became of the request.
    pub outcome: Outcome,
    /// The code for the caller.
    pub code: ErrorCode,
    /// A sentence for people.
    pub message: String,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl FlowFailure {
    /// Makes the body that the caller is sent.
    pub fn into_body(self, request: RequestId) -> ErrorBody {
        ErrorBody {
            outcome: self.outcome,
            code: self.code,
            message: self.message,
            request: Some(request),
            retry_after_ms: self.retry_after.map(|t| t.as_millis() as u64),
        }
    }
}

/// What to do next for a request.
///
/// An attempt's connection is kept only over `Await` and `Emit`; every other step drops it, by
/// which the agent learns that the attempt is cancelled.
#[derive(Debug, Clone, PartialEq)]
pub enum FlowStep {
    /// Ask the routing policy for a target.
    Route(RouteProgress),
    /// Ask these targets for their load.
    Probe(Vec<TargetName>),
    /// Send an attempt.
    Dispatch {
        /// The target.
        target: TargetName,
        /// The message to its agent.
        dispatch: Box<Dispatch>,
    },
    /// Wait for the attempt's next event, at most until [`RequestFlow::due`].
    ///
    /// [`RequestFlow::due`]: super::RequestFlow::due
    Await,
    /// Wait until the flow's due time, with no attempt's connection open.
    Backoff,
    /// Pass a token on, then wait as for `Await`.
    Emit {
        /// The token's index in the whole answer.
        index: u32,
        /// The text.
        text: String,
    },
    /// Ask the target's agent to fence an attempt.
    Fence {
        /// The target.
        target: TargetName,
        /// The message to its agent.
        request: FenceRequest,
    },
    /// Tell the caller that the answer is whole.
    Finish(FlowAnswer),
    /// Tell the caller that there is no whole answer.
    Fail(FlowFailure),
    /// Nobody waits for an answer any more.
    Stop,
    /// The event changes nothing.
    Ignore,
}
