//! Errors of the agent.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use kumquatkeel_daemon::http::HttpError;
use kumquatkeel_types::message::NotRunReason;

/// Says why the agent could not start.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("agent: {step} at {peer}: {reason}")]
pub struct AgentError {
    /// The step.
    pub step: &'static str,
    /// The peer or the agent's own address.
    pub peer: SocketAddr,
    /// The cause.
    pub reason: String,
}

/// Says why a target's answer is not whole.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at {peer}: {reason}")]
pub struct TargetError {
    /// The step.
    pub step: &'static str,
    /// The target's address.
    pub peer: SocketAddr,
    /// Why the request was certainly not run, if that is known.
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
