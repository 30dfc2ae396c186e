//! The agent daemon: an agent connected to the platform's store and to the entries.

use std::sync::Arc;

use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_daemon::spread::{Hub, RpcTransport, SharedView, SpreadClient, SpreadOptions};
use kumquatkeel_platform::{
    CallCounts, HttpObjectStore, HttpOptions, ObjectStore, WriteIdGenerator,
};
use kumquatkeel_types::message::{Member, MemberState};
use rand::Rng;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    Agent, AgentControl, AgentError, AgentHandle, AgentParts, AgentSettings, Configuration,
    ViewHints,
};

/// A running agent daemon; dropping it leaves its tasks to the runtime.
#[derive(Debug)]
pub struct AgentDaemon {
    agent: AgentHandle,
    hub: Arc<Hub>,
    spread: Option<SpreadClient>,
    stop: CancellationToken,
}

impl AgentDaemon {
    /// Starts the daemon against the store named in its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics or the listener can't be started.
    pub async fn start(settings: AgentSettings) -> Result<Self, AgentError> {
        let stop = CancellationToken::new();
        let (sender, configuration) = watch::channel(None);
        let metrics = Metrics::start().map_err(|error| AgentError {
            step: "set up metrics",
            peer: settings.listen,
            reason: error.to_string(),
        })?;
        let store = settings.store.map(store_at);
        let views = watch::Sender::new(SharedView::empty());
        let hints = ViewHints::new(settings.name.clone(), views.subscribe());
        let mut parts = AgentParts::new(configuration, metrics).hints(hints);
        if let Some(store) = &store {
            parts = parts.store(store.clone());
        }
        let agent = Agent::start(settings.clone(), parts).await?;
        let own = agent.member().borrow().clone();
        let hub = Arc::new(Hub::new(own, rand::rng().next_u64(), Clock::start()));
        tokio::spawn(follow_view(
            hub.view(),
            agent.control(),
            views,
            sender,
            stop.clone(),
        ));
        tokio::spawn(forward_member(agent.member(), hub.clone(), stop.clone()));
        let spread = store.map(|store| spread(&settings, store, &hub, &stop));
        Ok(Self {
            agent,
            hub,
            spread,
            stop,
        })
    }

    /// Returns the running agent.
    pub const fn agent(&self) -> &AgentHandle {
        &self.agent
    }

    /// Announces that the agent is draining, drains it, then stops all tasks.
    pub async fn shutdown(self) {
        self.hub.set_state(MemberState::Draining);
        self.agent.shutdown().await;
        self.hub.set_state(MemberState::Gone);
        if let Some(spread) = &self.spread {
            spread.linger().await;
        }
        self.stop.cancel();
        if let Some(spread) = &self.spread {
            spread.stop().await;
        }
    }
}

fn store_at(address: std::net::SocketAddr) -> Arc<dyn ObjectStore> {
    let counts = Arc::new(CallCounts::default());
    Arc::new(HttpObjectStore::new(
        address,
        HttpOptions::default(),
        counts,
    ))
}

fn spread(
    settings: &AgentSettings,
    store: Arc<dyn ObjectStore>,
    hub: &Arc<Hub>,
    stop: &CancellationToken,
) -> SpreadClient {
    let options = SpreadOptions {
        seeds: settings.relays.clone(),
        transport: Arc::new(RpcTransport::new(settings.peer_key.clone())),
        store,
        instances: None,
        ids: Arc::new(WriteIdGenerator::new(&settings.name, &mut rand::rng())),
    };
    SpreadClient::start(hub.clone(), options, stop.clone())
}

/// Applies each new view of the other processes to the agent: step-down, configuration and hints.
async fn follow_view(
    mut view: watch::Receiver<SharedView>,
    agent: AgentControl,
    views: watch::Sender<SharedView>,
    configurations: watch::Sender<Option<Configuration>>,
    stop: CancellationToken,
) {
    loop {
        let latest = view.borrow_and_update().clone();
        if latest.superseded {
            agent.step_down("other processes know a later incarnation");
        }
        let known = configurations
            .borrow()
            .as_ref()
            .map(|c| c.revision)
            .unwrap_or_default();
        if latest.revision > known {
            let revision = latest.revision;
            let document = latest.document.clone();
            configurations.send_replace(Some(Configuration { revision, document }));
        }
        views.send_replace(latest);
        if !matches!(stop.run_until_cancelled(view.changed()).await, Some(Ok(()))) {
            return;
        }
    }
}

/// Passes each change of the agent's member record to the hub, which spreads it.
async fn forward_member(
    mut member: watch::Receiver<Member>,
    hub: Arc<Hub>,
    stop: CancellationToken,
) {
    loop {
        let own = member.borrow_and_update().clone();
        hub.take_report(&own);
        if !matches!(
            stop.run_until_cancelled(member.changed()).await,
            Some(Ok(()))
        ) {
            return;
        }
    }
}
