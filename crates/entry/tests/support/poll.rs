//! A fleet source that polls every agent directly.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use futures::future::join_all;
use jsonrpsee::http_client::HttpClient;
use kumquatkeel_daemon::http::rpc_client;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_daemon::rpc::AgentApiClient;
use kumquatkeel_entry::fleet::{FleetSource, FleetUpdate};
use kumquatkeel_types::message::{Member, Snapshot};
use log::debug;
use tokio::sync::{Mutex, watch};

/// Interval between two rounds of status requests.
const PERIOD: Duration = Duration::from_secs(1);
/// Time allowed for an agent's status.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Takes configurations from a channel and requests the status of each of their agents every second.
#[derive(Debug)]
pub(crate) struct PollingFleet {
    config: Mutex<watch::Receiver<Option<Snapshot>>>,
    clients: Mutex<BTreeMap<SocketAddr, HttpClient>>,
    key: PeerKey,
}

impl PollingFleet {
    /// Creates a source that takes configurations from `config`.
    pub(crate) fn new(config: watch::Receiver<Option<Snapshot>>, key: PeerKey) -> Self {
        Self {
            config: Mutex::new(config),
            clients: Mutex::new(BTreeMap::new()),
            key,
        }
    }

    async fn status(&self, agent: SocketAddr) -> Option<Member> {
        let client = self.client(agent).await?;
        match client.status().await {
            Ok(member) => Some(member),
            Err(error) => {
                debug!(target: "fleet", "fleet: status request to agent {agent} failed: {error}");
                None
            }
        }
    }

    async fn client(&self, agent: SocketAddr) -> Option<HttpClient> {
        let mut clients = self.clients.lock().await;
        if let Some(client) = clients.get(&agent) {
            return Some(client.clone());
        }
        let client = rpc_client(agent, &self.key, TIMEOUT).ok()?;
        clients.insert(agent, client.clone());
        Some(client)
    }
}

#[async_trait]
impl FleetSource for PollingFleet {
    async fn next(&self) -> Vec<FleetUpdate> {
        let mut config = self.config.lock().await;
        let snapshot = config.borrow_and_update().clone();
        let Some(snapshot) = snapshot else {
            let _ = tokio::time::timeout(PERIOD, config.changed()).await;
            return Vec::new();
        };
        let agents = snapshot.document.targets.iter().map(|t| t.agent);
        let members = join_all(agents.map(|agent| self.status(agent))).await;
        let changed = tokio::time::timeout(PERIOD, config.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            tokio::time::sleep(PERIOD).await;
        }
        let members = members.into_iter().flatten().map(FleetUpdate::Member);
        std::iter::once(FleetUpdate::Config(snapshot))
            .chain(members)
            .collect()
    }
}
