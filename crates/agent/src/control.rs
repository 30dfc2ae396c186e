//! What other parts of the daemon may tell a running agent.

use std::sync::Arc;

use derive_more::Debug;

use crate::shared::Shared;

/// A handle by which other parts of the daemon reach a running agent.
#[derive(Debug, Clone)]
pub struct AgentControl(#[debug(skip)] pub(crate) Arc<Shared>);

impl AgentControl {
    /// Gives no more orders and takes no new work, because a later life holds the target.
    ///
    /// A second call changes nothing.
    pub fn give_way(&self, reason: impl AsRef<str>) {
        if !self.0.decisions().superseded {
            self.0.yield_target(reason);
        }
    }
}
