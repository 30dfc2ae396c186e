//! One running entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Debug, Display, Error, From};
use dropshot::HttpServer;
use jsonrpsee::Methods;
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_daemon::metrics::{Metrics, MetricsError};
use kumquatkeel_daemon::rpc::EntryApiServer;
use kumquatkeel_daemon::server::{NoRoutes, PeerServer, Routes};
use kumquatkeel_types::Incarnation;
use log::info;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::TICK_INTERVAL;
use crate::api::{ApiContext, start_api};
use crate::call::{CallLedger, NoLedger};
use crate::demand::SharedDemand;
use crate::fleet::{FleetSource, apply_fleet_updates};
use crate::measure::EntryMetrics;
use crate::settings::EntrySettings;
use crate::shares::{ShareService, renew_shares};
use crate::state::EntryState;

/// How often limits are taken over from the members.
const REFRESH: Duration = Duration::from_secs(1);

/// Says why an entry did not start.
#[derive(Debug, Display, Error, From)]
pub enum EntryError {
    /// The callers' API did not start.
    Api(crate::api::ApiError),
    /// The metrics could not be set up.
    Metrics(MetricsError),
    /// The store does not give the entry a life.
    #[display("start a life: {_0}")]
    Life(kumquatkeel_platform::StoreError),
    /// Two methods for the system's own processes have one name.
    #[display("register the methods: {_0}")]
    Methods(jsonrpsee::core::RegisterMethodError),
    /// The listener for the system's own processes did not start.
    #[display("start the internal listener: {_0}")]
    Internal(std::io::Error),
}

/// What an entry is made of besides its settings.
#[derive(Debug)]
pub struct EntryParts {
    /// The entry's life.
    pub life: Incarnation,
    /// The clock of all decisions.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Metrics,
    /// Brings news of the fleet.
    #[debug(skip)]
    pub fleet: Arc<dyn FleetSource>,
    /// Keeps calls from running more than once.
    #[debug(skip)]
    pub ledger: Arc<dyn CallLedger>,
    /// Counts the demand for each model.
    pub demand: SharedDemand,
    /// JSON-RPC methods for the system's own processes.
    #[debug(skip)]
    pub methods: Methods,
    /// The listener for the system's own processes; bound by the settings when there is none.
    pub listener: Option<TcpListener>,
    /// Routes for the system's own processes and operators.
    #[debug(skip)]
    pub routes: Arc<dyn Routes>,
}

impl EntryParts {
    /// Makes the parts of an entry without ledger, methods and routes of its own.
    pub fn new(life: Incarnation, metrics: Metrics, fleet: Arc<dyn FleetSource>) -> Self {
        let clock = Clock::start();
        Self {
            life,
            demand: SharedDemand::new(clock),
            clock,
            metrics,
            fleet,
            ledger: Arc::new(NoLedger),
            methods: Methods::new(),
            listener: None,
            routes: Arc::new(NoRoutes),
        }
    }
}

/// An entry that can be started.
#[derive(Debug)]
pub struct Entry;

/// A running entry; dropping it stops it at once.
#[derive(Debug)]
pub struct EntryHandle {
    state: Arc<EntryState>,
    #[debug(skip)]
    api: HttpServer<ApiContext>,
    internal: PeerServer,
    stop: CancellationToken,
    loops: TaskTracker,
}

impl Entry {
    /// Starts an entry in the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener can't be started.
    pub async fn start(
        settings: EntrySettings,
        parts: EntryParts,
    ) -> Result<EntryHandle, EntryError> {
        let listen = settings.internal;
        let key = settings.peer_key.clone();
        let metrics = EntryMetrics::new(&parts.metrics);
        let ledger = parts.ledger;
        let mut state = EntryState::new(settings, parts.life, ledger, metrics, parts.clock);
        state.demand = parts.demand;
        let state = Arc::new(state);
        let listener = match parts.listener {
            Some(listener) => listener,
            None => TcpListener::bind(listen).await?,
        };
        let mut methods = parts.methods;
        methods.merge(ShareService(state.clone()).into_rpc())?;
        let internal = PeerServer::start_on(listener, key, parts.metrics, methods, parts.routes)?;
        let api = start_api(state.clone())?;
        let stop = CancellationToken::new();
        let loops = TaskTracker::new();
        loops.spawn(apply_fleet_updates(
            state.clone(),
            parts.fleet,
            stop.clone(),
        ));
        loops.spawn(tick(state.clone(), stop.clone()));
        loops.spawn(refresh(state.clone(), stop.clone()));
        let handle = EntryHandle {
            state,
            api,
            internal,
            stop,
            loops,
        };
        let (callers, own) = (handle.address(), handle.internal());
        info!(target: "entry", "entry: callers at {callers}, own processes at {own}");
        Ok(handle)
    }
}

impl EntryHandle {
    /// Returns the address of the callers' API.
    pub fn address(&self) -> SocketAddr {
        self.api.local_addr()
    }

    /// Returns the address for the system's own processes.
    pub const fn internal(&self) -> SocketAddr {
        self.internal.address()
    }

    /// Returns the entry's state.
    pub const fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// Takes no new work from now on, and returns when the work in progress has ended.
    ///
    /// New requests are answered as not run at least for the settings' drain time, for the
    /// balancer still sends some.
    pub async fn drain(&self) {
        info!(target: "entry", "entry: draining begins");
        self.state.stop_admission();
        self.state.tasks.close();
        let linger = tokio::time::sleep(self.state.settings.drain_time);
        tokio::join!(linger, self.state.tasks.wait());
        info!(target: "entry", "entry: no request is in progress");
    }

    /// Drains the entry, then stops it.
    pub async fn shutdown(self) {
        self.drain().await;
        self.stop.cancel();
        self.loops.close();
        if let Err(reason) = self.api.close().await {
            info!(target: "entry", "entry: the callers' API ended with {reason}");
        }
        self.internal.stop().await;
        self.loops.wait().await;
    }
}

async fn tick(state: Arc<EntryState>, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        state.admission.tick();
    }
}

async fn refresh(state: Arc<EntryState>, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(REFRESH);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        renew_shares(&state).await;
        state.refresh_services();
    }
}
