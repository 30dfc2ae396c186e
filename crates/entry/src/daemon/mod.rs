//! The whole entry daemon: its parts wired to the platform and to the other processes.

mod peers;

use std::sync::Arc;

use kumquatkeel_daemon::config::{follow_store, raise_incarnation};
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_platform::{CallCounts, HttpObjectStore, HttpOptions, ObjectStore, WriteIds};
use kumquatkeel_types::Incarnation;
use kumquatkeel_types::message::{Role, Snapshot};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use self::peers::FleetPeers;
use crate::fleet::{FleetSource, PollingFleet};
use crate::ledger::{PathLedger, StoreLedger, WallClock};
use crate::operator::StoreDesk;
use crate::{Entry, EntryError, EntryHandle, EntryParts, EntrySettings};

/// A running entry daemon; dropping it stops it at once.
#[derive(Debug)]
pub struct EntryDaemon {
    entry: EntryHandle,
    stop: CancellationToken,
}

impl EntryDaemon {
    /// Starts the daemon against the platform named in its settings.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not give the entry a life, or a listener can't start.
    pub async fn start(settings: EntrySettings) -> Result<Self, EntryError> {
        Self::start_with(settings, |fleet| fleet).await
    }

    /// Starts the daemon with a source of news that `wrap` makes of its own.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not give the entry a life, or a listener can't start.
    pub async fn start_with(
        settings: EntrySettings,
        wrap: impl FnOnce(Arc<dyn FleetSource>) -> Arc<dyn FleetSource>,
    ) -> Result<Self, EntryError> {
        let counts = Arc::new(CallCounts::default());
        let http = HttpObjectStore::new(settings.platform, HttpOptions::default(), counts);
        let store: Arc<dyn ObjectStore> = Arc::new(http);
        let name = settings.name.clone();
        let ids = WriteIds::new(&name, &mut rand::rng());
        let role = Role::Entry(name);
        let life = raise_incarnation(&*store, &ids, &role, Incarnation::default()).await?;
        let stop = CancellationToken::new();
        let (sender, snapshots) = watch::channel(None::<Snapshot>);
        tokio::spawn(follow_store(store.clone(), sender, stop.clone()));
        let metrics = Metrics::start()?;
        let polling = PollingFleet::new(snapshots, settings.peer_key.clone());
        let fleet = wrap(Arc::new(polling));
        let peers = Arc::new(FleetPeers::new(settings.name.clone(), life));
        let wall = WallClock::start();
        let desk_ids = WriteIds::new(format!("{}.desk", settings.name), &mut rand::rng());
        let desk = Arc::new(StoreDesk::new(store.clone(), desk_ids));
        let ledger = StoreLedger::new(store, ids, peers.clone(), wall, stop.clone());
        let mut parts = EntryParts::new(life, metrics, fleet);
        parts.ledger = Arc::new(PathLedger::new(ledger));
        let entry = Entry::start(settings, parts).await?;
        peers.connect(entry.state());
        entry.state().connect_desk(desk);
        Ok(Self { entry, stop })
    }

    /// Returns the running entry.
    pub const fn entry(&self) -> &EntryHandle {
        &self.entry
    }

    /// Drains the entry, then stops everything.
    pub async fn shutdown(self) {
        self.entry.shutdown().await;
        self.stop.cancel();
    }
}
