//! The whole agent daemon: the agent wired to the platform's store and to the entries.
<<<<<<< HEAD
//!
//! With entries named in the settings, configuration and members come and go through them; without
//! any, the configuration is followed in the store.
=======
>>>>>>> main

use std::sync::Arc;

use kumquatkeel_daemon::clock::Clock;
<<<<<<< HEAD
use kumquatkeel_daemon::config::follow_store;
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_daemon::spread::{Hub, RpcTransport, SharedView, SpreadClient, SpreadOptions};
use kumquatkeel_platform::{CallCounts, HttpObjectStore, HttpOptions, ObjectStore, WriteIds};
use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::{Member, Snapshot};
use log::{error, warn};
=======
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_daemon::spread::{Hub, RpcTransport, SharedView, SpreadClient, SpreadOptions};
use kumquatkeel_platform::{CallCounts, HttpObjectStore, HttpOptions, ObjectStore, WriteIds};
use kumquatkeel_types::message::{Member, MemberState};
use log::error;
use rand::Rng;
>>>>>>> main
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{Agent, AgentError, AgentHandle, AgentParts, AgentSettings, Configuration, ViewHints};

/// A running agent daemon; dropping it leaves its tasks to the runtime.
#[derive(Debug)]
pub struct AgentDaemon {
    agent: AgentHandle,
<<<<<<< HEAD
=======
    hub: Arc<Hub>,
>>>>>>> main
    spread: Option<SpreadClient>,
    stop: CancellationToken,
}

impl AgentDaemon {
    /// Starts the daemon against the store and the entries named in its settings.
    ///
    /// # Errors
    ///
    /// Returns an error when the metrics or the listener can't start.
    pub async fn start(settings: AgentSettings) -> Result<Self, AgentError> {
        let stop = CancellationToken::new();
        let (sender, configuration) = watch::channel(None);
        let (views, view) = watch::channel(SharedView::empty());
        let metrics = Metrics::start().map_err(|error| AgentError {
            step: "set up metrics",
            peer: settings.listen,
            reason: error.to_string(),
        })?;
<<<<<<< HEAD
        let hints = ViewHints::new(settings.name.clone(), view);
        let mut parts = AgentParts::new(configuration, metrics).hints(hints);
        let store = settings.store.map(store_at);
        parts.store.clone_from(&store);
        let agent = Agent::start(settings.clone(), parts).await?;
        let spread = match store {
            Some(store) if settings.relays.is_empty() => {
                let (snapshots, received) = watch::channel(None);
                tokio::spawn(follow_store(store, snapshots, stop.clone()));
                tokio::spawn(check_snapshots(received, sender, stop.clone()));
                None
            }
            Some(store) => {
                let hub = hub_of(&agent);
                let options = spread_options(&settings, store);
                let spread = SpreadClient::start(hub.clone(), options, stop.clone());
                let follow = follow_view(hub.view(), views, sender);
                tokio::spawn(stop.clone().run_until_cancelled_owned(follow));
                let report = report_member(hub, agent.member());
                tokio::spawn(stop.clone().run_until_cancelled_owned(report));
                Some(spread)
            }
            None => None,
        };
        Ok(Self {
            agent,
=======
        let store = settings.store.map(store_at);
        let mut parts = AgentParts::new(configuration, metrics);
        if let Some(store) = &store {
            parts = parts.store(store.clone());
        }
        let agent = Agent::start(settings.clone(), parts).await?;
        let own = agent.member().borrow().clone();
        let hub = Arc::new(Hub::new(own, rand::rng().next_u64(), Clock::start()));
        tokio::spawn(follow_view(hub.view(), sender, stop.clone()));
        tokio::spawn(report(agent.member(), hub.clone(), stop.clone()));
        let spread = store.map(|store| spread(&settings, store, &hub, &stop));
        Ok(Self {
            agent,
            hub,
>>>>>>> main
            spread,
            stop,
        })
    }

    /// Returns the running agent.
    pub const fn agent(&self) -> &AgentHandle {
        &self.agent
    }

<<<<<<< HEAD
    /// Drains the agent and tells the other processes, then stops everything.
=======
    /// Tells the others that the agent leaves, drains it, then stops everything.
>>>>>>> main
    pub async fn shutdown(self) {
        self.hub.set_state(MemberState::Draining);
        self.agent.shutdown().await;
        self.hub.set_state(MemberState::Gone);
        self.stop.cancel();
<<<<<<< HEAD
        if let Some(spread) = self.spread {
            spread.stop().await;
        }
    }
}

fn hub_of(agent: &AgentHandle) -> Arc<Hub> {
    let own = agent.member().borrow().clone();
    Arc::new(Hub::new(own, rand::random(), Clock::start()))
}

fn spread_options(settings: &AgentSettings, store: Arc<dyn ObjectStore>) -> SpreadOptions {
    SpreadOptions {
        seeds: settings.relays.clone(),
        transport: Arc::new(RpcTransport::new(settings.peer_key.clone())),
        store,
        instances: None,
        ids: Arc::new(WriteIds::new(&settings.name, &mut rand::rng())),
    }
}

/// Hands the spread's news to the agent.
async fn follow_view(
    mut view: watch::Receiver<SharedView>,
    views: watch::Sender<SharedView>,
    configurations: watch::Sender<Option<Configuration>>,
) {
    loop {
        let news = view.borrow_and_update().clone();
        if news.superseded {
            error!(target: "agent", "agent: a later life has this agent's name");
        }
        let known = configurations.borrow().as_ref().map(|c| c.revision);
        if news.is_ready() && known < Some(news.revision) {
            let revision = news.revision;
            let document = news.document.clone();
            configurations.send_replace(Some(Configuration { revision, document }));
        }
        views.send_replace(news);
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Hands the agent's reports to the spread.
async fn report_member(hub: Arc<Hub>, mut member: watch::Receiver<Member>) {
    loop {
        let report = member.borrow_and_update().clone();
        hub.take_report(&report);
        if member.changed().await.is_err() {
            return;
        }
=======
        if let Some(spread) = &self.spread {
            spread.stop().await;
        }
>>>>>>> main
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
        ids: Arc::new(WriteIds::new(&settings.name, &mut rand::rng())),
    };
    SpreadClient::start(hub.clone(), options, stop.clone())
}

/// Hands each configuration of the spread to the agent.
async fn follow_view(
    mut view: watch::Receiver<SharedView>,
    configurations: watch::Sender<Option<Configuration>>,
    stop: CancellationToken,
) {
    loop {
        let (revision, document, superseded) = {
            let view = view.borrow_and_update();
            (view.revision, view.document.clone(), view.superseded)
        };
        if superseded {
            error!(target: "agent", "agent: a later life has this name");
        }
        let known = configurations
            .borrow()
            .as_ref()
            .map(|c| c.revision)
            .unwrap_or_default();
        if revision > known {
            configurations.send_replace(Some(Configuration { revision, document }));
        }
        if !matches!(stop.run_until_cancelled(view.changed()).await, Some(Ok(()))) {
            return;
        }
    }
}

/// Hands the agent's report of itself to the spread.
async fn report(mut member: watch::Receiver<Member>, hub: Arc<Hub>, stop: CancellationToken) {
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
