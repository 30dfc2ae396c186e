//! The outputs of a request's state machine.

use std::time::Duration;

use kumquatkeel_types::message::{Dispatch, FenceRequest, FinishReason};
use kumquatkeel_types::{ErrorBody, ErrorCode, Outcome, RequestId, TargetName};

use crate::routing::RouteProgress;

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FlowAnswer {
    /// The answer of a completion, whose tokens have all been passed on.
    Completed {
        /// The engine's finish reason.
        reason: FinishReason,
        /// The number of tokens.
        tokens: u32,
    },
    /// The answer of a plain service.
    Plain {
        /// The HTTP status code.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body, as UTF-8 text.
        body: String,
    },
}

/// The failure of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowFailure {
    /// Whether the request was not run or may have run.
    pub outcome: Outcome,
    /// The error code for the caller.
    pub code: ErrorCode,
    /// A message for people; not meant to be parsed.
    pub message: String,
    /// The delay after which the caller may retry; `None` if none is given.
    pub retry_after: Option<Duration>,
}

impl FlowFailure {
    /// Converts the failure into the error body that is sent to the caller.
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

/// What the entry does next for a request.
///
/// An attempt's connection stays open only over `Await`, `Emit` and `Ignore`. Every other step
/// closes it, which tells the agent that the attempt is cancelled.
#[derive(Debug, Clone, PartialEq)]
pub enum FlowStep {
    /// Ask the routing policy for a target.
    Route(RouteProgress),
    /// Probe the load of these targets.
    Probe(Vec<TargetName>),
    /// Send an attempt to a target.
    Dispatch {
        /// The target.
        target: TargetName,
        /// The message to the target's agent.
        dispatch: Box<Dispatch>,
    },
    /// Wait for the attempt's next event, until [`RequestFlow::due`] at the latest.
    ///
    /// [`RequestFlow::due`]: super::RequestFlow::due
    Await,
    /// Wait until [`RequestFlow::due`](super::RequestFlow::due) with no connection open.
    Backoff,
    /// Pass a token on to the caller, then wait as for `Await`.
    Emit {
        /// The token's index in the complete answer.
        index: u32,
        /// The token's text.
        text: String,
    },
    /// Ask the target's agent to fence an attempt.
    Fence {
        /// The target.
        target: TargetName,
        /// The message to the target's agent.
        request: FenceRequest,
    },
    /// Send the caller the complete answer and end the request.
    Finish(FlowAnswer),
    /// Send the caller the failure and end the request.
    Fail(FlowFailure),
    /// End the request without an answer, because the caller has disconnected.
    Stop,
    /// Keep waiting; the event changes nothing.
    Ignore,
}
