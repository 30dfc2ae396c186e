//! Errors of starting and steering a fleet.

use derive_more::{Display, Error, From};

use crate::StandInError;

/// Why a fleet failed.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// A stand-in could not be started.
    #[display("{_0}")]
    StandIn(#[error(source)] StandInError),
    /// A step failed.
    #[display("{step}: {reason}")]
    #[from(skip)]
    Step {
        /// The step.
        step: &'static str,
        /// What went wrong.
        reason: String,
    },
}

impl FleetError {
    /// Makes an error of a step.
    pub fn step(step: &'static str, reason: impl Into<String>) -> Self {
        Self::Step {
            step,
            reason: reason.into(),
        }
    }
}
