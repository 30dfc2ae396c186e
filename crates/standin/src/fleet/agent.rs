//! A target with its agent, and the links between them and to the store.

use std::net::SocketAddr;

use kumquatkeel_agent::daemon::AgentDaemon;
use kumquatkeel_agent::{AgentHandle, AgentSettings, RawAgentSettings};
use kumquatkeel_types::document::Target;
use serde_json::json;

use super::{FleetError, Link, LinkMode, PEER_KEY, checked_settings, loopback};

/// One life of an agent.
struct Life {
    daemon: AgentDaemon,
    /// The links by which the life reaches its target and the store.
    links: [Link; 2],
}

/// A target's slot for an agent, which can be replaced.
pub struct AgentSlot {
    target: Target,
    address: SocketAddr,
    platform: SocketAddr,
    front: Link,
    relays: Vec<SocketAddr>,
    life: Option<Life>,
}

impl AgentSlot {
    /// Starts the agent of a target; `relays` are the entries' internal addresses.
    pub(super) async fn start(
        target: Target,
        address: SocketAddr,
        platform: SocketAddr,
        relays: Vec<SocketAddr>,
    ) -> Result<Self, FleetError> {
        let mut slot = Self {
            target,
            address,
            platform,
            front: Link::start().await?,
            relays,
            life: None,
        };
        slot.revive().await?;
        Ok(slot)
    }

    /// Returns the running agent.
    ///
    /// # Panics
    ///
    /// Panics when the agent was killed and not started again.
    pub fn handle(&self) -> &AgentHandle {
        self.life.as_ref().expect("the agent runs").daemon.agent()
    }

    /// Says whether the agent runs.
    pub const fn is_running(&self) -> bool {
        self.life.is_some()
    }

    /// Returns the target as the document describes it.
    pub const fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the address that the document names.
    pub const fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Returns the link by which other processes reach the agent.
    pub const fn front(&self) -> &Link {
        &self.front
    }

    /// Returns the agent's link to its target.
    pub fn target_link(&self) -> Option<&Link> {
        self.life.as_ref().map(|life| &life.links[0])
    }

    /// Returns the agent's link to the store.
    pub fn store_link(&self) -> Option<&Link> {
        self.life.as_ref().map(|life| &life.links[1])
    }

    /// Holds everything up that goes to or from the agent, as if its process were paused.
    pub fn pause(&self) {
        self.set_all(LinkMode::Stall);
    }

    /// Lets everything pass again.
    pub fn resume(&self) {
        self.set_all(LinkMode::Pass);
    }

    /// Cuts the agent off from everything for ever: its process is dead for all others.
    pub fn kill(&mut self) {
        self.front.set_mode(LinkMode::Cut);
        if let Some(life) = self.life.take() {
            for link in &life.links {
                link.set_mode(LinkMode::Cut);
            }
            tokio::spawn(keep_cut(life));
        }
    }

    /// Starts a new life of the agent.
    ///
    /// # Errors
    ///
    /// Fails when the agent does not start.
    pub async fn revive(&mut self) -> Result<(), FleetError> {
        let target = Link::to(self.address).await?;
        let store = Link::to(self.platform).await?;
        let settings = self.settings(target.address(), store.address())?;
        let daemon = AgentDaemon::start(settings)
            .await
            .map_err(|error| FleetError::step("start an agent", error.to_string()))?;
        let address = daemon.agent().address();
        self.front.lead_to(address);
        self.front.set_mode(LinkMode::Pass);
        let links = [target, store];
        self.life = Some(Life { daemon, links });
        Ok(())
    }

    /// Drains and stops the agent.
    pub async fn shutdown(&mut self) {
        if let Some(life) = self.life.take() {
            life.daemon.shutdown().await;
            self.front.set_mode(LinkMode::Cut);
        }
    }

    fn set_all(&self, mode: LinkMode) {
        self.front.set_mode(mode);
        for link in self.life.iter().flat_map(|life| &life.links) {
            link.set_mode(mode);
        }
    }

    fn settings(&self, target: SocketAddr, store: SocketAddr) -> Result<AgentSettings, FleetError> {
        checked_settings::<RawAgentSettings, _>(json!({
            "name": self.target.name,
            "data_centre": self.target.data_centre,
            "listen": loopback(),
            "advertise": self.front.address(),
            "peer_key": PEER_KEY,
            "kind": self.target.kind,
            "target": target,
            "accelerators": self.target.accelerators,
            "accelerator_mb": self.target.accelerator_mb,
            "fencing": self.target.fencing,
            "store": store,
            "relays": self.relays,
        }))
    }
}

/// Keeps the links of a dead agent cut until the runtime ends.
async fn keep_cut(life: Life) {
    let _life = life;
    std::future::pending::<()>().await;
}
