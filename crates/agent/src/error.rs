//! Errors of the agent.

use std::net::SocketAddr;

use derive_more::{Display, Error};

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
    /// Whether no byte of the request was sent.
    pub unsent: bool,
    /// The cause.
    pub reason: String,
}

impl From<kumquatkeel_daemon::http::HttpError> for TargetError {
    fn from(error: kumquatkeel_daemon::http::HttpError) -> Self {
        Self {
            step: error.step,
            peer: error.peer,
            unsent: error.unsent,
            reason: error.reason,
        }
    }
}
