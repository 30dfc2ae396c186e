//! The other processes, reached by JSON-RPC.

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

/// Longest time for the owner of a partition to answer.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for an agent to answer a fence.
const FENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The other processes as a daemon's view has them, reached by JSON-RPC.
#[derive(Debug)]
pub struct RpcPeers {
    own: EntryName,
    key: PeerKey,
    view: watch::Receiver<SharedView>,
    clients: Mutex<BTreeMap<SocketAddr, HttpClient>>,
}

impl RpcPeers {
    /// Makes the peers of the entry `own`.
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

    /// Returns the address of a target's agent: that of its report, else that of the document.
    fn agent_address(&self, target: &TargetName) -> Option<SocketAddr> {
        let view = self.view.borrow();
        let reported = view.members.get(&Role::Agent(target.clone()));
        let configured = view.document.target(target).map(|t| t.agent);
        reported.map(|m| m.address).or(configured)
    }
}

#[async_trait]
impl LedgerPeers for RpcPeers {
    fn writers(&self) -> u32 {
        (self.view.borrow().serving_entries().count() as u32).max(1)
    }

    fn holder(&self, request: &RequestId) -> ClaimHolder {
        let view = self.view.borrow();
        let role = Role::Entry(request.entry.clone());
        match view.members.get(&role) {
            Some(member) if member.version.incarnation != request.life => ClaimHolder::Gone,
            Some(member) if member.state == MemberState::Gone => ClaimHolder::Gone,
            // An entry that is not known may be alive elsewhere; the claim's age decides.
            Some(_) | None => ClaimHolder::Alive,
        }
    }

    fn owner(&self, partition: PartitionId) -> Option<EntryName> {
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
                debug!(target: "ledger", "ledger: entry {owner} does not answer: {error}");
                None
            }
            Err(_) => {
                debug!(target: "ledger", "ledger: entry {owner} does not answer in time");
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
                debug!(target: "ledger", "ledger: agent of {target} does not answer: {error}");
                None
            }
            Err(_) => None,
        }
    }
}
