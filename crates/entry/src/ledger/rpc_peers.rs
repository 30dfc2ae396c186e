//! Reaches the other entries and the agents by JSON-RPC.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use jsonrpsee::http_client::HttpClient;
use kumquatkeel_core::ledger::{ClaimHolder, OpAnswer, Operation, PartitionId};
use kumquatkeel_daemon::http::rpc_client;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_daemon::rpc::{AgentApiClient, RelayApiClient};
use kumquatkeel_daemon::spread::SharedView;
use kumquatkeel_types::digest::rendezvous;
use kumquatkeel_types::message::{FenceReply, FenceRequest, MemberState, Role};
use kumquatkeel_types::{EntryName, RequestId, TargetName};
use log::debug;
use tokio::sync::watch;
use tokio::time::timeout;

use super::LedgerPeers;

/// Timeout of an operation forwarded to the owner of a partition.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a fence request to an agent.
const FENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The other entries and the agents in the daemon's view, reached by JSON-RPC.
#[derive(Debug)]
pub struct RpcPeers {
    own: EntryName,
    key: PeerKey,
    view: watch::Receiver<SharedView>,
    clients: Mutex<BTreeMap<SocketAddr, HttpClient>>,
}

impl RpcPeers {
    /// Creates the peers of the entry `own`, found through `view`.
    pub const fn new(own: EntryName, key: PeerKey, view: watch::Receiver<SharedView>) -> Self {
        Self {
            own,
            key,
            view,
            clients: Mutex::new(BTreeMap::new()),
        }
    }

    fn client(&self, peer: SocketAddr) -> Option<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&peer) {
            return Some(client.clone());
        }
        let client = rpc_client(peer, &self.key, FORWARD_TIMEOUT).ok()?;
        clients.insert(peer, client.clone());
        Some(client)
    }

    /// Returns the address of a target's agent: the reported one, or else the configured one.
    fn agent_address(&self, target: &TargetName) -> Option<SocketAddr> {
        let view = self.view.borrow();
        let reported = view.members.get(&Role::Agent(target.clone()));
        let configured = view.document.target(target).map(|t| t.agent);
        reported.map(|m| m.address).or(configured)
    }
}

#[async_trait]
impl LedgerPeers for RpcPeers {
    fn live_entries(&self) -> u32 {
        (self.view.borrow().serving_entries().count() as u32).max(1)
    }

    fn holder_state(&self, request: &RequestId) -> ClaimHolder {
        let view = self.view.borrow();
        let role = Role::Entry(request.entry.clone());
        match view.members.get(&role) {
            Some(member) if member.version.incarnation != request.life => ClaimHolder::Gone,
            Some(member) if member.state == MemberState::Gone => ClaimHolder::Gone,
            // An unknown entry may be alive beyond this view; the claim's age decides.
            Some(_) | None => ClaimHolder::Alive,
        }
    }

    fn partition_owner(&self, partition: PartitionId) -> Option<EntryName> {
        let view = self.view.borrow();
        let entries: Vec<_> = view.serving_entries().map(|(name, _)| name).collect();
        let owner = rendezvous(&partition.object_key(), entries)
            .first()
            .copied()?;
        (*owner != self.own).then(|| owner.clone())
    }

    async fn forward(&self, owner: &EntryName, operation: &Operation) -> Option<OpAnswer> {
        let role = Role::Entry(owner.clone());
        let address = self.view.borrow().members.get(&role)?.address;
        let client = self.client(address)?;
        let answer = RelayApiClient::ledger(&client, operation.clone());
        match timeout(FORWARD_TIMEOUT, answer).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(error)) => {
                debug!(target: "ledger", "ledger: forwarding to entry {owner} failed: {error}");
                None
            }
            Err(_) => {
                debug!(target: "ledger", "ledger: forwarding to entry {owner} timed out");
                None
            }
        }
    }

    async fn fence(&self, target: &TargetName, request: FenceRequest) -> Option<FenceReply> {
        let client = self.client(self.agent_address(target)?)?;
        let answer = AgentApiClient::fence(&client, request);
        match timeout(FENCE_TIMEOUT, answer).await {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(error)) => {
                debug!(target: "ledger", "ledger: fence by agent of {target} failed: {error}");
                None
            }
            Err(_) => None,
        }
    }
}
