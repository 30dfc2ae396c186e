//! Control of a running agent by other parts of the daemon.

use std::sync::Arc;

use derive_more::Debug;

use crate::shared::Shared;

/// A handle by which other parts of the daemon control a running agent.
#[derive(Debug, Clone)]
pub struct AgentControl(#[debug(skip)] pub(crate) Arc<Shared>);

impl AgentControl {
    /// Stops sending orders and refuses new work, because a later incarnation holds the target.
    ///
    /// Does nothing if the agent has already stepped down.
    pub fn step_down(&self, reason: impl AsRef<str>) {
        if !self.0.core().superseded {
            self.0.step_down(reason);
        }
    }
}
