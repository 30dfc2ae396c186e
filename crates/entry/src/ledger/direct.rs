//! Peers of a ledger in which every entry writes for itself.

use std::time::Duration;

use async_trait::async_trait;
use kumquatkeel_core::ledger::{ClaimHolder, OpAnswer, Operation, PartitionId};
use kumquatkeel_daemon::http::rpc_client;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_daemon::rpc::AgentApiClient;
use kumquatkeel_types::message::{FenceReply, FenceRequest, Snapshot};
use kumquatkeel_types::{EntryName, RequestId, TargetName};
use log::debug;
use tokio::sync::watch;

use super::LedgerPeers;

/// Longest wait for an agent's answer to a fence.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks agents directly by the configuration; no entry owns a partition, for small sites.
#[derive(Debug)]
pub struct DirectPeers {
    config: watch::Receiver<Option<Snapshot>>,
    key: PeerKey,
    writers: u32,
}

impl DirectPeers {
    /// Makes the peers of one of `writers` entries that follows `config`.
    pub const fn new(
        config: watch::Receiver<Option<Snapshot>>,
        key: PeerKey,
        writers: u32,
    ) -> Self {
        Self {
            config,
            key,
            writers,
        }
    }

    fn agent(&self, target: &TargetName) -> Option<std::net::SocketAddr> {
        let config = self.config.borrow();
        let document = &config.as_ref()?.document;
        let target = document.targets.iter().find(|t| t.name == *target)?;
        Some(target.agent)
    }
}

#[async_trait]
impl LedgerPeers for DirectPeers {
    fn writers(&self) -> u32 {
        self.writers
    }

    fn holder(&self, _request: &RequestId) -> ClaimHolder {
        ClaimHolder::Alive
    }

    fn owner(&self, _partition: PartitionId) -> Option<EntryName> {
        None
    }

    async fn forward(&self, _owner: &EntryName, _operation: &Operation) -> Option<OpAnswer> {
        None
    }

    async fn fence(&self, target: &TargetName, request: FenceRequest) -> Option<FenceReply> {
        let agent = self.agent(target)?;
        let client = rpc_client(agent, &self.key, FENCE_TIMEOUT).ok()?;
        match client.fence(request).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                debug!(target: "ledger", "ledger: agent {agent} gives no answer: {error}");
                None
            }
        }
    }
}
