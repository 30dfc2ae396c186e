//! Starts and stops an entry: its listeners and its background tasks.

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
use log::{info, warn};
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::TICK_INTERVAL;
use crate::api::{ApiContext, start_api};
use crate::call::{CallLedger, NoLedger};
use crate::demand::SharedDemand;
use crate::fleet::{FleetSource, apply_fleet_updates};
use crate::request_metrics::EntryMetrics;
use crate::settings::EntrySettings;
use crate::shares::{ShareService, renew_shares};
use crate::state::EntryState;

/// Interval at which rate shares are renewed and service limits recomputed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the end of a stop in which callers may take their last output.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Longest time that callers' connections stay open after the drain.
const CLOSE_TIME: Duration = Duration::from_secs(2);

/// Errors that keep an entry from starting.
#[derive(Debug, Display, Error, From)]
pub enum EntryError {
    /// The callers' API did not start.
    Api(crate::api::ApiError),
    /// The metrics could not be set up.
    Metrics(MetricsError),
    /// The store could not assign an incarnation to the entry.
    #[display("claim an incarnation in the store: {_0}")]
    Store(kumquatkeel_platform::StoreError),
    /// Two peer RPC methods have the same name.
    #[display("register the peer RPC methods: {_0}")]
    Methods(jsonrpsee::core::RegisterMethodError),
    /// The internal listener, which serves peer processes, did not start.
    #[display("start the internal listener: {_0}")]
    Internal(std::io::Error),
}

/// The components that an entry is started with, besides its settings.
#[derive(Debug)]
pub struct EntryParts {
    /// The entry's incarnation, which is part of its request ids.
    pub incarnation: Incarnation,
    /// The monotonic clock that all decisions use.
    pub clock: Clock,
    /// The registry of the entry's metrics.
    pub metrics: Metrics,
    /// The source of configurations and member reports.
    #[debug(skip)]
    pub fleet: Arc<dyn FleetSource>,
    /// The ledger that keeps calls with an idempotency key from running more than once.
    #[debug(skip)]
    pub ledger: Arc<dyn CallLedger>,
    /// The demand counters per model.
    pub demand: SharedDemand,
    /// JSON-RPC methods for peer processes, besides those of the entry itself.
    #[debug(skip)]
    pub methods: Methods,
    /// The internal listener; if it is `None`, the address `internal` of the settings is bound.
    pub listener: Option<TcpListener>,
    /// Additional HTTP routes of the internal listener.
    #[debug(skip)]
    pub routes: Arc<dyn Routes>,
}

impl EntryParts {
    /// Creates components without a ledger, additional methods or additional routes.
    pub fn new(incarnation: Incarnation, metrics: Metrics, fleet: Arc<dyn FleetSource>) -> Self {
        let clock = Clock::start();
        Self {
            incarnation,
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

/// Starts entries; see [`Entry::start`].
#[derive(Debug)]
pub struct Entry;

/// A handle to a running entry.
///
/// Dropping it stops the entry without draining; see [`EntryHandle::shutdown`].
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
    /// Starts an entry in the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be started or a peer RPC method can't be registered.
    pub async fn start(
        settings: EntrySettings,
        parts: EntryParts,
    ) -> Result<EntryHandle, EntryError> {
        let listen = settings.internal;
        let key = settings.peer_key.clone();
        let metrics = EntryMetrics::new(&parts.metrics);
        let ledger = parts.ledger;
        let mut state = EntryState::new(settings, parts.incarnation, ledger, metrics, parts.clock);
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
        info!(target: "entry", "entry: listening for callers on {callers} and for peer processes on {own}");
        Ok(handle)
    }
}

impl EntryHandle {
    /// Returns the address of the callers' API.
    pub fn address(&self) -> SocketAddr {
        self.api.local_addr()
    }

    /// Returns the address for peer processes.
    pub const fn internal(&self) -> SocketAddr {
        self.internal.address()
    }

    /// Returns the state that the entry's modules share.
    pub const fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// Stops admitting requests, and returns when the requests in progress have ended.
    ///
    /// The call takes at least the drain time of the settings. Meanwhile new requests, which the
    /// load balancer still sends, are answered as not run. Requests in progress end by the stop time
    /// of the settings.
    pub async fn drain(&self) {
        info!(target: "entry", "entry: draining; no new requests are admitted");
        self.state.stop_admission();
        self.state.tasks.close();
        let linger = tokio::time::sleep(self.state.settings.drain_time);
        let limit = self.state.settings.stop_time + ANSWER_TIME;
        let (ended, ()) = tokio::join!(timeout(limit, self.state.tasks.wait()), linger);
        if ended.is_err() {
            let open = self.state.tasks.len();
            warn!(target: "entry", "entry: drained; {open} requests or records are still open");
            return;
        }
        info!(target: "entry", "entry: drained; no request is in progress");
    }

    /// Drains the entry, then stops it.
    pub async fn shutdown(self) {
        self.drain().await;
        self.stop.cancel();
        self.loops.close();
        match timeout(CLOSE_TIME, self.api.close()).await {
            Ok(Ok(())) => {}
            Ok(Err(reason)) => {
                info!(target: "entry", "entry: the callers' API stopped with an error: {reason}");
            }
            Err(_) => warn!(target: "entry", "entry: callers have not read their answers"),
        }
        self.internal.stop().await;
        self.loops.wait().await;
    }
}

/// Refuses queued requests whose latest start has passed, until the entry stops.
async fn tick(state: Arc<EntryState>, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        state.admission.tick();
    }
}

/// Renews rate shares and recomputes service limits, until the entry stops.
async fn refresh(state: Arc<EntryState>, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(REFRESH_INTERVAL);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        renew_shares(&state).await;
        state.refresh_services();
    }
}
