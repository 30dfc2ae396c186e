//! The whole entry daemon: its parts wired to the platform and to the other processes.

mod life;

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

use self::life::{announce, first_report, start_life};
use crate::control::{LeaseManager, LeaseManagerOptions, PlacementLoop};
use crate::ledger::{RequestLedger, RpcPeers, StoreLedger, WallClock};
use crate::operator::StoreDesk;
use crate::relay::{HubFleetSource, RelayService};
use crate::{Entry, EntryError, EntryHandle, EntryParts, EntrySettings};

/// Longest wait for outcomes of calls to reach the store when the daemon stops.
const FLUSH_LIMIT: Duration = Duration::from_secs(5);
/// The name of the lease on placement.
const PLACEMENT_LEASE: &str = "placement";

/// A running entry daemon; dropping it stops it at once.
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
    /// Starts the daemon against the platform named in its settings.
    ///
    /// When the store is out, the entry starts in a provisional life and serves the newest
    /// configuration that its neighbours have.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener can't start.
    pub async fn start(settings: EntrySettings) -> Result<Self, EntryError> {
        let stop = CancellationToken::new();
        let platform = Platform::of(&settings);
        let listener = TcpListener::bind(settings.internal).await?;
        let life = start_life(&*platform.store, &platform.ids, &settings.name).await;
        let address = settings.advertise.unwrap_or(listener.local_addr()?);
        let own = first_report(&settings, life, address);
        let mut parts = EntryParts::new(life, Metrics::start()?, Arc::new(crate::fleet::NoUpdates));
        let hub = Arc::new(Hub::new(own, rand::rng().next_u64(), parts.clock));
        parts.fleet = Arc::new(HubFleetSource::new(hub.clone()));
        parts.listener = Some(listener);
        let ledger = platform.ledger(&settings, &hub, &stop);
        parts.methods = methods(&hub, &ledger, &parts);
        parts.ledger = Arc::new(RequestLedger::new(ledger.clone()));
        let options = LeaseManagerOptions {
            name: PLACEMENT_LEASE.into(),
            holder: settings.name.clone(),
            incarnation: life,
            times: LeaseOptions::default(),
        };
        let key = settings.peer_key.clone();
        let spread = platform.spread(&settings, &hub, &stop);
        let entry = Entry::start(settings, parts).await?;
        entry.state().connect_desk(platform.desk());
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
        tokio::spawn(announce(hub.clone(), entry.state().clone(), stop.clone()));
        Ok(Self {
            entry,
            hub,
            spread,
            lease_manager,
            ledger,
            stop,
        })
    }

    /// Returns the running entry.
    pub const fn entry(&self) -> &EntryHandle {
        &self.entry
    }

    /// Tells the others that the entry leaves, drains it, then stops everything.
    pub async fn shutdown(self) {
        self.hub.set_state(MemberState::Draining);
        self.entry.shutdown().await;
        if timeout(FLUSH_LIMIT, self.ledger.flush()).await.is_err() {
            let pending = self.ledger.pending();
            warn!(target: "ledger", "ledger: {pending} outcomes are left to be settled by others");
        }
        self.hub.set_state(MemberState::Gone);
        self.spread.linger().await;
        self.lease_manager.stop().await;
        self.stop.cancel();
        self.spread.stop().await;
    }
}

/// The platform as the daemon's parts reach it.
struct Platform {
    store: Arc<dyn ObjectStore>,
    instances: Arc<HttpInstanceList>,
    ids: Arc<WriteIdGenerator>,
    name: String,
}

impl Platform {
    fn of(settings: &EntrySettings) -> Self {
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

    /// Makes the ids of a part that owns its own.
    fn ids_of(&self, part: &str) -> WriteIdGenerator {
        WriteIdGenerator::new(format!("{}.{part}", self.name), &mut rand::rng())
    }

    fn desk(&self) -> Arc<StoreDesk> {
        Arc::new(StoreDesk::new(self.store.clone(), self.ids_of("desk")))
    }

    fn ledger(&self, settings: &EntrySettings, hub: &Hub, stop: &CancellationToken) -> StoreLedger {
        let key = settings.peer_key.clone();
        let peers = Arc::new(RpcPeers::new(settings.name.clone(), key, hub.view()));
        let ids = self.ids_of("ledger");
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
