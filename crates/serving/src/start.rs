//! Errors at the start of a daemon.

use std::fmt::Display;
use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Says which step of a daemon's start failed, and at which address.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("start: {step} at {address}: {reason}")]
pub struct StartError {
    /// The step.
    pub step: &'static str,
    /// The address that the step is about.
    pub address: SocketAddr,
    /// The cause.
    pub reason: String,
}

impl StartError {
    /// Returns a function that turns a cause into an error of a step.
    pub fn at<E: Display>(step: &'static str, address: SocketAddr) -> impl FnOnce(E) -> Self {
        move |cause| Self {
            step,
            address,
            reason: cause.to_string(),
        }
    }
}
