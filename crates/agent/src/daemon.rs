//! The whole agent daemon: the agent wired to the platform's store.

use std::sync::Arc;

use kumquatkeel_daemon::config::follow_store;
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_platform::{CallCounts, HttpObjectStore, HttpOptions, ObjectStore};
use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::Snapshot;
use log::warn;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{Agent, AgentError, AgentHandle, AgentParts, AgentSettings, Configuration};

/// A running agent daemon; dropping it leaves its tasks to the runtime.
#[derive(Debug)]
pub struct AgentDaemon {
    agent: AgentHandle,
    stop: CancellationToken,
}

impl AgentDaemon {
    /// Starts the daemon against the store named in its settings.
    ///
    /// # Errors
    ///
    /// Returns an error when the metrics or the listener can't start.
    pub async fn start(settings: AgentSettings) -> Result<Self, AgentError> {
        let stop = CancellationToken::new();
        let (sender, configuration) = watch::channel(None);
        let metrics = Metrics::start().map_err(|error| AgentError {
            step: "set up metrics",
            peer: settings.listen,
            reason: error.to_string(),
        })?;
        let mut parts = AgentParts::new(configuration, metrics);
        if let Some(address) = settings.store {
            let store = store_at(address);
            let (snapshots, received) = watch::channel(None);
            tokio::spawn(follow_store(store.clone(), snapshots, stop.clone()));
            tokio::spawn(check_snapshots(received, sender, stop.clone()));
            parts = parts.store(store);
        }
        let agent = Agent::start(settings, parts).await?;
        Ok(Self { agent, stop })
    }

    /// Returns the running agent.
    pub const fn agent(&self) -> &AgentHandle {
        &self.agent
    }

    /// Drains the agent, then stops everything.
    pub async fn shutdown(self) {
        self.agent.shutdown().await;
        self.stop.cancel();
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

/// Turns stored snapshots into checked configurations.
async fn check_snapshots(
    mut snapshots: watch::Receiver<Option<Snapshot>>,
    configurations: watch::Sender<Option<Configuration>>,
    stop: CancellationToken,
) {
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        if let Some(snapshot) = snapshot {
            let revision = snapshot.revision;
            match Document::try_from((*snapshot.document).clone()) {
                Ok(document) => {
                    let document = Arc::new(document);
                    configurations.send_replace(Some(Configuration { revision, document }));
                }
                Err(faults) => {
                    warn!(target: "agent", "agent: revision {revision} has faults: {faults}");
                }
            }
        }
        let changed = stop.run_until_cancelled(snapshots.changed()).await;
        if !matches!(changed, Some(Ok(()))) {
            return;
        }
    }
}
