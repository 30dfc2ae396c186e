//! `measure`: measures decisions and costs.

use crate::cli::PolicyArgs;
use crate::error::CommandError;

/// Prints attainment and moves of each policy.
pub(super) fn policy(_args: &PolicyArgs) -> Result<(), CommandError> {
    Err(CommandError::Run {
        step: "measure policy",
        reason: "is not wired yet".into(),
    })
}

/// Prints the costs of each role at several sizes.
pub(super) fn slopes(_json: bool) -> Result<(), CommandError> {
    Err(CommandError::Run {
        step: "measure slopes",
        reason: "is not wired yet".into(),
    })
}
