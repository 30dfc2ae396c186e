//! The other processes as the ledger sees them.

use std::sync::{Arc, OnceLock, Weak};

use async_trait::async_trait;
use kumquatkeel_core::ledger::{ClaimHolder, OpAnswer, Operation, PartitionId};
use kumquatkeel_daemon::rpc::AgentApiClient;
use kumquatkeel_types::message::{FenceReply, FenceRequest};
use kumquatkeel_types::{EntryName, Incarnation, RequestId, TargetName};
use log::debug;

use crate::EntryState;
use crate::ledger::LedgerPeers;
use crate::path::address_of;

/// Finds peers in the entry's view of the fleet.
pub(super) struct FleetPeers {
    name: EntryName,
    life: Incarnation,
    state: OnceLock<Weak<EntryState>>,
}

impl FleetPeers {
    pub(super) const fn new(name: EntryName, life: Incarnation) -> Self {
        Self {
            name,
            life,
            state: OnceLock::new(),
        }
    }

    /// Connects the peers to the entry's view, once it is there.
    pub(super) fn connect(&self, state: &Arc<EntryState>) {
        let _ = self.state.set(Arc::downgrade(state));
    }

    fn state(&self) -> Option<Arc<EntryState>> {
        self.state.get()?.upgrade()
    }
}

#[async_trait]
impl LedgerPeers for FleetPeers {
    fn writers(&self) -> u32 {
        let entries = self.state().map_or(1, |s| s.live_entries());
        entries.max(1) as u32
    }

    fn holder(&self, request: &RequestId) -> ClaimHolder {
        let is_self_before = request.entry == self.name && request.life < self.life;
        if is_self_before {
            ClaimHolder::Gone
        } else {
            ClaimHolder::Alive
        }
    }

    fn owner(&self, _partition: PartitionId) -> Option<EntryName> {
        None
    }

    async fn forward(&self, _owner: &EntryName, _operation: &Operation) -> Option<OpAnswer> {
        None
    }

    async fn fence(&self, target: &TargetName, request: FenceRequest) -> Option<FenceReply> {
        let state = self.state()?;
        let client = state.agent(address_of(&state, target)?)?;
        match client.fence(request).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                debug!(target: "ledger", "ledger: fence at {target} failed: {error}");
                None
            }
        }
    }
}
