//! Everything that the demo runs: stand-ins, agents and entries, on free ports of loopback.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kumquatkeel_agent::{
    Agent, AgentHandle, AgentParts, AgentSettings, Configuration, RawAgentSettings,
};
use kumquatkeel_daemon::config::{Proposal, commit_document, read_config};
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_entry::fleet::PollingFleet;
use kumquatkeel_entry::ledger::{DirectPeers, PathLedger, StoreLedger, WallClock};
use kumquatkeel_entry::{Entry, EntryHandle, EntryParts, EntrySettings, RawEntrySettings};
use kumquatkeel_platform::{HttpObjectStore, HttpOptions, ObjectStore, WriteIds};
use kumquatkeel_types::document::{Document, RawDocument, Target, TargetKind};
use kumquatkeel_types::message::Snapshot;
use kumquatkeel_types::{EntryName, Incarnation, TargetName};
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::placement::is_agent_of;
use super::{DemoError, sample_document};
use crate::engine::{Engine, EngineOptions, EngineServer};
use crate::plain::{PlainServer, PlainService};
use crate::platform::{MemoryStore, PlatformServer};

/// The key of the demo's own processes.
const PEER_KEY: &str = "demo-peer-key-00000001";
/// The entries, each with its data centre.
const ENTRIES: [(&str, &str); 2] = [("entry-amman-a", "amman-a"), ("entry-irbid-a", "irbid-a")];
/// How long a call of the plain service takes.
const PLAIN_TIME: Duration = Duration::from_millis(20);
/// How long the demo's engines load a model.
const LOAD_TIME: Duration = Duration::from_millis(500);
/// How long the demo's engines load an adapter.
const ADAPTER_TIME: Duration = Duration::from_millis(12);

/// The running demo.
pub struct Fleet {
    /// The platform's objects.
    pub store: MemoryStore,
    /// The engines by target.
    pub engines: BTreeMap<TargetName, Engine>,
    /// The plain service.
    pub plain: PlainService,
    /// The agents.
    pub agents: Vec<AgentHandle>,
    /// The entries.
    pub entries: Vec<EntryHandle>,
    /// The document in force.
    pub document: RawDocument,
    platform: PlatformServer,
    engine_servers: Vec<EngineServer>,
    plain_server: PlainServer,
    configuration: Configurations,
    orders: AtomicU64,
    stop: CancellationToken,
}

/// The channels by which the processes learn the configuration.
struct Configurations {
    entries: watch::Sender<Option<Snapshot>>,
    agents: watch::Sender<Option<Configuration>>,
}

impl Fleet {
    /// Starts the stand-ins, commits the document and starts the agents and entries.
    ///
    /// # Errors
    ///
    /// Fails with the first step that fails.
    pub async fn start() -> Result<Self, DemoError> {
        let mut document = sample_document()?;
        let store = MemoryStore::new();
        let platform = PlatformServer::start(loopback(), store.clone())?;
        let configuration = Configurations {
            entries: watch::Sender::new(None),
            agents: watch::Sender::new(None),
        };
        let plain = PlainService::new(PLAIN_TIME);
        let plain_server = PlainServer::start(loopback(), plain.clone())?;
        let mut fleet = Self {
            store,
            engines: BTreeMap::new(),
            plain,
            agents: Vec::new(),
            entries: Vec::new(),
            document: document.clone(),
            platform,
            engine_servers: Vec::new(),
            plain_server,
            configuration,
            orders: AtomicU64::new(0),
            stop: CancellationToken::new(),
        };
        for target in &mut document.targets {
            target.agent = fleet.start_target(target).await?;
        }
        fleet.document = document;
        fleet.commit().await?;
        for (name, data_centre) in ENTRIES {
            fleet.start_entry(name, data_centre).await?;
        }
        Ok(fleet)
    }

    /// Returns the address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Returns the agent of a target.
    pub(super) fn agent(&self, target: &TargetName) -> Result<&AgentHandle, DemoError> {
        let is_its = |agent: &&AgentHandle| is_agent_of(&agent.member().borrow().role, target);
        let agent = self.agents.iter().find(is_its);
        agent.ok_or_else(|| DemoError::check("every target has an agent", target.to_string()))
    }

    /// Returns the number of the next order.
    pub(super) fn next_order(&self) -> u64 {
        self.orders.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Drains and stops everything.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.shutdown().await;
        }
        self.stop.cancel();
        for agent in self.agents {
            agent.shutdown().await;
        }
        for server in self.engine_servers {
            server.stop().await;
        }
        self.plain_server.stop().await;
        self.platform.stop().await;
    }

    /// Starts a target and its agent, and returns the agent's address.
    async fn start_target(&mut self, target: &Target) -> Result<SocketAddr, DemoError> {
        let address = match target.kind {
            TargetKind::Engine => self.start_engine(target)?,
            TargetKind::Plain => self.plain_server.address(),
        };
        let settings = agent_settings(target, address, self.platform())?;
        let receiver = self.configuration.agents.subscribe();
        let parts = AgentParts::new(receiver, metrics(address)?).store(self.http_store());
        let agent = Agent::start(settings, parts)
            .await
            .map_err(|error| DemoError::step("start an agent", address, error.to_string()))?;
        let address = agent.address();
        self.agents.push(agent);
        Ok(address)
    }

    fn start_engine(&mut self, target: &Target) -> Result<SocketAddr, DemoError> {
        let options = EngineOptions::of_target(&self.document, target)
            .with_load_times(LOAD_TIME, ADAPTER_TIME);
        let engine = Engine::new(options);
        let server = EngineServer::start(loopback(), engine.clone())?;
        let address = server.address();
        self.engines.insert(target.name.clone(), engine);
        self.engine_servers.push(server);
        Ok(address)
    }

    async fn start_entry(&mut self, name: &str, data_centre: &str) -> Result<(), DemoError> {
        let platform = self.platform();
        let failed = |reason: String| DemoError::step("start an entry", platform, reason);
        let settings: EntrySettings = checked::<RawEntrySettings, _>(
            json!({
                "name": name,
                "data_centre": data_centre,
                "listen": loopback(),
                "internal": loopback(),
                "platform": platform,
                "peer_key": PEER_KEY,
                "drain_ms": 0,
            }),
            platform,
        )?;
        let receiver = self.configuration.entries.subscribe();
        let fleet = PollingFleet::new(receiver, peer_key(platform)?);
        let life = self.raise_life(&settings.name).await?;
        let mut parts = EntryParts::new(life, metrics(platform)?, Arc::new(fleet));
        parts.ledger = Arc::new(PathLedger::new(self.ledger(&settings.name)?));
        let entry = Entry::start(settings, parts)
            .await
            .map_err(|error| failed(error.to_string()))?;
        self.entries.push(entry);
        Ok(())
    }

    /// Makes an entry's ledger in the platform's store.
    fn ledger(&self, entry: &EntryName) -> Result<StoreLedger, DemoError> {
        let configuration = self.configuration.entries.subscribe();
        let key = peer_key(self.platform())?;
        let peers = DirectPeers::new(configuration, key, ENTRIES.len() as u32);
        Ok(StoreLedger::new(
            self.http_store(),
            WriteIds::new(entry, &mut rand::rng()),
            Arc::new(peers),
            WallClock::start(),
            self.stop.clone(),
        ))
    }

    /// Commits the document as an operator would, then tells every process.
    async fn commit(&self) -> Result<(), DemoError> {
        let platform = self.platform();
        let failed = |reason: String| DemoError::step("commit the document", platform, reason);
        let store = self.http_store();
        let ids = WriteIds::new("operator", &mut rand::rng());
        let proposal = Proposal {
            document: self.document.clone(),
            base: None,
        };
        commit_document(&*store, &ids, proposal)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let stored = read_config(&*store)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let snapshot = stored
            .and_then(|stored| stored.log.current().cloned())
            .ok_or_else(|| failed("the document is not there".into()))?;
        let document = Document::try_from((*snapshot.document).clone())
            .map_err(|faults| failed(faults.to_string()))?;
        self.configuration.agents.send_replace(Some(Configuration {
            revision: snapshot.revision,
            document: Arc::new(document),
        }));
        self.configuration.entries.send_replace(Some(snapshot));
        Ok(())
    }

    async fn raise_life(&self, name: &EntryName) -> Result<Incarnation, DemoError> {
        let store = self.http_store();
        let ids = WriteIds::new(name, &mut rand::rng());
        let role = kumquatkeel_types::message::Role::Entry(name.clone());
        kumquatkeel_daemon::config::raise_incarnation(&*store, &ids, &role, Incarnation(0))
            .await
            .map_err(|error| DemoError::step("raise a life", self.platform(), error.to_string()))
    }

    fn http_store(&self) -> Arc<dyn ObjectStore> {
        Arc::new(HttpObjectStore::new(
            self.platform(),
            HttpOptions::default(),
            Arc::default(),
        ))
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn metrics(peer: SocketAddr) -> Result<Metrics, DemoError> {
    Metrics::start().map_err(|error| DemoError::step("start metrics", peer, error.to_string()))
}

pub(super) fn peer_key(peer: SocketAddr) -> Result<PeerKey, DemoError> {
    PeerKey::try_from(PEER_KEY)
        .map_err(|fault| DemoError::step("read the peer key", peer, fault.to_string()))
}

fn agent_settings(
    target: &Target,
    address: SocketAddr,
    platform: SocketAddr,
) -> Result<AgentSettings, DemoError> {
    let raw = json!({
        "name": target.name,
        "data_centre": target.data_centre,
        "listen": loopback(),
        "peer_key": PEER_KEY,
        "kind": target.kind,
        "target": address,
        "accelerators": target.accelerators,
        "accelerator_mb": target.accelerator_mb,
        "fencing": target.fencing,
        "store": platform,
    });
    checked::<RawAgentSettings, _>(raw, platform)
}

/// Reads settings as a daemon reads its file.
fn checked<R, T>(raw: serde_json::Value, peer: SocketAddr) -> Result<T, DemoError>
where
    R: DeserializeOwned,
    T: TryFrom<R>,
    T::Error: std::fmt::Display,
{
    let failed = |reason: String| DemoError::step("read settings", peer, reason);
    let raw: R = serde_json::from_value(raw).map_err(|error| failed(error.to_string()))?;
    T::try_from(raw).map_err(|error| failed(error.to_string()))
}
