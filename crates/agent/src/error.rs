//! Errors of the agent.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use kumquatkeel_daemon::http::HttpError;
use kumquatkeel_types::message::NotRunReason;

/// An error that prevents the agent from starting.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("agent: {step} at {peer}: {reason}")]
pub struct AgentError {
    /// The step of the start that failed.
    pub step: &'static str,
    /// The address of the peer, or of the agent's own listener.
    pub peer: SocketAddr,
    /// The cause.
    pub reason: String,
}

/// A call to a target that gave no complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at {peer}: {reason}")]
pub struct TargetError {
    /// The kind of call, such as `complete` or `order`.
    pub step: &'static str,
    /// The target's address.
    pub peer: SocketAddr,
    /// Why the request has certainly not run; `None` if it may have run.
    pub not_run: Option<NotRunReason>,
    /// The cause.
    pub reason: String,
}

impl From<HttpError> for TargetError {
    fn from(error: HttpError) -> Self {
        Self {
            step: error.step,
            peer: error.peer,
            not_run: error.unsent.then_some(NotRunReason::TargetUnreachable),
            reason: error.reason,
        }
    }
}
