//! Errors of the demo.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use kumquatkeel_types::NameError;
use kumquatkeel_types::document::Fault;

use crate::fleet::FleetError;

/// Why the demo failed.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// The sample document can't be read.
    #[display("read the sample document: {_0}")]
    Document(#[error(source)] Fault),
    /// A name of the sample is wrong.
    #[display("read the sample: {_0}")]
    Name(#[error(source)] NameError),
    /// The fleet could not be started.
    #[display("{_0}")]
    Fleet(#[error(source)] FleetError),
    /// A step failed.
    #[display("{step} at {peer}: {reason}")]
    #[from(skip)]
    Step {
        /// The step.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// Something that must hold does not.
    #[display("check {check}: {reason}")]
    #[from(skip)]
    Check {
        /// What was checked.
        check: &'static str,
        /// What was seen.
        reason: String,
    },
}

impl DemoError {
    /// Makes an error of a step at a peer.
    pub fn step(step: &'static str, peer: SocketAddr, reason: impl Into<String>) -> Self {
        Self::Step {
            step,
            peer,
            reason: reason.into(),
        }
    }

    /// Makes an error of a check.
    pub fn check(check: &'static str, reason: impl Into<String>) -> Self {
        Self::Check {
            check,
            reason: reason.into(),
        }
    }
}
