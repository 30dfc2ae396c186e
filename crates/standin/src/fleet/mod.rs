//! The daemons in one process on loopback, between stand-ins, with links that can fail.
//!
//! Every connection between two processes passes a [`Link`]; cutting all links of a daemon is its
//! death for all others, and stalling them a pause of its process.

mod agent;
mod entry;
mod error;
mod link;
mod pace;
mod placement;

pub use agent::AgentSlot;
pub use entry::EntrySlot;
pub use error::FleetError;
pub use link::{Link, LinkMode};
pub use pace::pace_clock;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use kumquatkeel_daemon::config::{CommitOutcome, Proposal, commit_document};
use kumquatkeel_platform::WriteIdGenerator;
use kumquatkeel_types::document::{RawDocument, Target, TargetKind};
use kumquatkeel_types::{DataCentreName, EntryName, Revision, TargetName};
use serde::de::DeserializeOwned;

use crate::engine::{Engine, EngineOptions, EngineServer};
use crate::plain::{PlainServer, PlainService};
use crate::platform::{MemoryStore, PlatformServer};

/// The key of the system's own processes.
pub const PEER_KEY: &str = "demo-peer-key-00000001";
/// How long a call of a plain service takes.
const PLAIN_TIME: Duration = Duration::from_millis(20);
/// How long an engine loads a model.
const LOAD_TIME: Duration = Duration::from_millis(500);
/// How long an engine loads an adapter.
const ADAPTER_TIME: Duration = Duration::from_millis(12);

/// An entry to be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryPlan {
    /// Its name.
    pub name: EntryName,
    /// Where it stands.
    pub data_centre: DataCentreName,
}

/// What a fleet consists of.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The document; the agents' addresses are filled in.
    pub document: RawDocument,
    /// The entries.
    pub entries: Vec<EntryPlan>,
}

/// The running fleet.
pub struct Fleet {
    /// The platform's objects.
    pub store: MemoryStore,
    /// The engines by target.
    pub engines: BTreeMap<TargetName, Engine>,
    /// The plain services by target.
    pub plains: BTreeMap<TargetName, PlainService>,
    /// The agents by target.
    pub agents: BTreeMap<TargetName, AgentSlot>,
    /// The entries.
    pub entries: Vec<EntrySlot>,
    /// The document in force.
    pub document: RawDocument,
    platform: PlatformServer,
    engine_servers: Vec<EngineServer>,
    plain_servers: Vec<PlainServer>,
    orders: u64,
}

impl Fleet {
    /// Starts the stand-ins, the agents and the entries, and commits the document.
    ///
    /// # Errors
    ///
    /// Fails with the first step that fails.
    pub async fn start(plan: FleetPlan) -> Result<Self, FleetError> {
        let store = MemoryStore::new();
        let platform = PlatformServer::start(loopback(), store.clone())?;
        let mut fleet = Self {
            store,
            engines: BTreeMap::new(),
            plains: BTreeMap::new(),
            agents: BTreeMap::new(),
            entries: Vec::new(),
            document: plan.document,
            platform,
            engine_servers: Vec::new(),
            plain_servers: Vec::new(),
            orders: 0,
        };
        let mut fronts = Vec::new();
        for _ in &plan.entries {
            fronts.push(Link::start().await?);
        }
        let relays: Vec<_> = fronts.iter().map(Link::address).collect();
        for target in fleet.document.targets.clone() {
            fleet.start_target(target, relays.clone()).await?;
        }
        for target in &mut fleet.document.targets {
            target.agent = fleet.agents[&target.name].address();
        }
        fleet.commit(fleet.document.clone(), None).await?;
        for (number, entry) in plan.entries.iter().enumerate() {
            let platform = fleet.platform();
            let (name, centre) = (&entry.name, &entry.data_centre);
            let slot = EntrySlot::start(number, name, centre, platform, &fronts);
            fleet.entries.push(slot.await?);
        }
        Ok(fleet)
    }

    /// Returns the address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Commits a document as an operator would who started from revision `base`.
    ///
    /// # Errors
    ///
    /// Fails when the document is not accepted.
    pub async fn commit(
        &self,
        document: RawDocument,
        base: Option<Revision>,
    ) -> Result<CommitOutcome, FleetError> {
        let ids = WriteIdGenerator::new("operator", &mut rand::rng());
        commit_document(&self.store, &ids, Proposal { document, base })
            .await
            .map_err(|error| FleetError::step("commit the document", error.to_string()))
    }

    /// Returns how often calls with a key took effect at all plain services.
    pub fn executions(&self, key: &str) -> usize {
        self.plains
            .values()
            .map(|service| service.executions(key))
            .sum()
    }

    /// Drains and stops everything.
    pub async fn stop(mut self) {
        for entry in self.entries {
            entry.shutdown().await;
        }
        for agent in self.agents.values_mut() {
            agent.shutdown().await;
        }
        for server in self.engine_servers {
            server.stop().await;
        }
        for server in self.plain_servers {
            server.stop().await;
        }
        self.store.set_outage(true);
        self.platform.stop().await;
    }

    async fn start_target(
        &mut self,
        target: Target,
        relays: Vec<SocketAddr>,
    ) -> Result<(), FleetError> {
        let address = match target.kind {
            TargetKind::Engine => self.start_engine(&target)?,
            TargetKind::Plain => self.start_plain(&target)?,
        };
        let name = target.name.clone();
        let slot = AgentSlot::start(target, address, self.platform(), relays).await?;
        self.agents.insert(name, slot);
        Ok(())
    }

    fn start_engine(&mut self, target: &Target) -> Result<SocketAddr, FleetError> {
        let options = EngineOptions::of_target(&self.document, target)
            .with_load_times(LOAD_TIME, ADAPTER_TIME);
        let engine = Engine::new(options);
        let server = EngineServer::start(loopback(), engine.clone())?;
        let address = server.address();
        self.engines.insert(target.name.clone(), engine);
        self.engine_servers.push(server);
        Ok(address)
    }

    fn start_plain(&mut self, target: &Target) -> Result<SocketAddr, FleetError> {
        let service = if target.dedupes {
            PlainService::deduping(PLAIN_TIME)
        } else {
            PlainService::new(PLAIN_TIME)
        };
        let server = PlainServer::start(loopback(), service.clone())?;
        let address = server.address();
        self.plains.insert(target.name.clone(), service);
        self.plain_servers.push(server);
        Ok(address)
    }
}

/// Returns a free port of loopback.
fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Reads settings as a daemon reads its file.
fn checked_settings<R, T>(raw: serde_json::Value) -> Result<T, FleetError>
where
    R: DeserializeOwned,
    T: TryFrom<R>,
    T::Error: std::fmt::Display,
{
    let failed = |reason: String| FleetError::step("read settings", reason);
    let raw: R = serde_json::from_value(raw).map_err(|error| failed(error.to_string()))?;
    T::try_from(raw).map_err(|error| failed(error.to_string()))
}
