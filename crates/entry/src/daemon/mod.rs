//! The entry daemon: wires the entry to the platform's store and to the other processes.

mod membership;

use std::sync::Arc;
use std::time::Duration;

use derive_more::Debug;
use jsonrpsee::Methods;
use kumquatkeel_core::lease::LeaseOptions;
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_daemon::rpc::RelayApiServer;
use kumquatkeel_daemon::spread::{Hub, RpcTransport, SpreadClient, SpreadOptions};
use kumquatkeel_platform::{
    CallCounts, HttpInstanceList, HttpObjectStore, HttpOptions, ObjectStore, WriteIdGenerator,
};
use kumquatkeel_types::message::MemberState;
use log::warn;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use self::membership::{announce_serving, claim_incarnation, initial_report};
use crate::control::{LeaseManager, LeaseManagerOptions, PlacementLoop};
use crate::ledger::{RequestLedger, RpcPeers, StoreLedger, WallClock};
use crate::operator::StoreCommitter;
use crate::relay::{HubFleetSource, RelayService};
use crate::{Entry, EntryError, EntryHandle, EntryParts, EntrySettings};

/// Time allowed at shutdown for writing call outcomes to the store.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Name of the lease whose holder plans placement.
const PLACEMENT_LEASE: &str = "placement";

/// A running entry daemon.
///
/// Dropping it stops the entry without draining; see [`EntryDaemon::shutdown`].
#[derive(Debug)]
pub struct EntryDaemon {
    entry: EntryHandle,
    hub: Arc<Hub>,
    spread: SpreadClient,
    lease_manager: Arc<LeaseManager>,
    #[debug(skip)]
    ledger: StoreLedger,
    stop: CancellationToken,
}

impl EntryDaemon {
    /// Starts the daemon with the platform named in its settings.
    ///
    /// If the store is unavailable, the entry starts with a provisional incarnation and serves the
    /// newest configuration that its peers have.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener or the metrics can't be started.
    pub async fn start(settings: EntrySettings) -> Result<Self, EntryError> {
        let stop = CancellationToken::new();
        let platform = PlatformClients::from_settings(&settings);
        let listener = TcpListener::bind(settings.internal).await?;
        let incarnation = claim_incarnation(&*platform.store, &platform.ids, &settings.name).await;
        let address = settings.advertise.unwrap_or(listener.local_addr()?);
        let report = initial_report(&settings, incarnation, address);
        let mut parts = EntryParts::new(
            incarnation,
            Metrics::start()?,
            Arc::new(crate::fleet::NoUpdates),
        );
        let hub = Arc::new(Hub::new(report, rand::rng().next_u64(), parts.clock));
        parts.fleet = Arc::new(HubFleetSource::new(hub.clone()));
        parts.listener = Some(listener);
        let ledger = platform.ledger(&settings, &hub, &stop);
        parts.methods = methods(&hub, &ledger, &parts);
        parts.ledger = Arc::new(RequestLedger::new(ledger.clone()));
        let options = LeaseManagerOptions {
            name: PLACEMENT_LEASE.into(),
            holder: settings.name.clone(),
            incarnation,
            times: LeaseOptions::default(),
        };
        let key = settings.peer_key.clone();
        let spread = platform.spread(&settings, &hub, &stop);
        let entry = Entry::start(settings, parts).await?;
        entry.state().set_committer(platform.committer());
        let lease_manager = LeaseManager::start(
            options,
            platform.store.clone(),
            platform.ids.clone(),
            hub.view(),
            stop.clone(),
        );
        let lease_manager = Arc::new(lease_manager);
        let placement = PlacementLoop::new(hub.view(), lease_manager.clone(), key);
        tokio::spawn(placement.run(stop.clone()));
        tokio::spawn(announce_serving(
            hub.clone(),
            entry.state().clone(),
            stop.clone(),
        ));
        Ok(Self {
            entry,
            hub,
            spread,
            lease_manager,
            ledger,
            stop,
        })
    }

    /// Returns the handle to the daemon's entry.
    pub const fn entry(&self) -> &EntryHandle {
        &self.entry
    }

    /// Reports the entry as draining, drains it, writes pending outcomes, then stops all tasks.
    pub async fn shutdown(self) {
        self.hub.set_state(MemberState::Draining);
        self.entry.shutdown().await;
        if timeout(FLUSH_TIMEOUT, self.ledger.flush()).await.is_err() {
            let pending = self.ledger.pending();
            warn!(target: "ledger", "ledger: {pending} call outcomes not flushed in time; other entries resolve them");
        }
        self.hub.set_state(MemberState::Gone);
        self.spread.linger().await;
        self.lease_manager.stop().await;
        self.stop.cancel();
        self.spread.stop().await;
    }
}

/// Clients of the platform, with the generators of write ids.
struct PlatformClients {
    store: Arc<dyn ObjectStore>,
    instances: Arc<HttpInstanceList>,
    ids: Arc<WriteIdGenerator>,
    name: String,
}

impl PlatformClients {
    fn from_settings(settings: &EntrySettings) -> Self {
        let counts = Arc::new(CallCounts::default());
        let options = HttpOptions::default();
        let store = HttpObjectStore::new(settings.platform, options, counts.clone());
        Self {
            store: Arc::new(store),
            instances: Arc::new(HttpInstanceList::new(settings.platform, options, counts)),
            ids: Arc::new(WriteIdGenerator::new(&settings.name, &mut rand::rng())),
            name: settings.name.to_string(),
        }
    }

    /// Creates the write ids of a component that does not share those of the daemon.
    fn write_ids(&self, part: &str) -> WriteIdGenerator {
        WriteIdGenerator::new(format!("{}.{part}", self.name), &mut rand::rng())
    }

    fn committer(&self) -> Arc<StoreCommitter> {
        Arc::new(StoreCommitter::new(
            self.store.clone(),
            self.write_ids("desk"),
        ))
    }

    fn ledger(&self, settings: &EntrySettings, hub: &Hub, stop: &CancellationToken) -> StoreLedger {
        let key = settings.peer_key.clone();
        let peers = Arc::new(RpcPeers::new(settings.name.clone(), key, hub.view()));
        let ids = self.write_ids("ledger");
        StoreLedger::new(
            self.store.clone(),
            ids,
            peers,
            WallClock::start(),
            stop.clone(),
        )
    }

    fn spread(
        &self,
        settings: &EntrySettings,
        hub: &Arc<Hub>,
        stop: &CancellationToken,
    ) -> SpreadClient {
        let options = SpreadOptions {
            seeds: settings.entries.clone(),
            transport: Arc::new(RpcTransport::new(settings.peer_key.clone())),
            store: self.store.clone(),
            instances: Some(self.instances.clone()),
            ids: self.ids.clone(),
        };
        SpreadClient::start(hub.clone(), options, stop.clone())
    }
}

fn methods(hub: &Arc<Hub>, ledger: &StoreLedger, parts: &EntryParts) -> Methods {
    let relay = RelayService::new(hub.clone(), ledger.clone(), parts.demand.clone());
    relay.into_rpc().into()
}
