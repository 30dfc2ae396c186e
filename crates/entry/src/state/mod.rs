//! The state shared by the modules of one entry: routing, admission, retries, members and clients.

mod operators;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use kumquatkeel_core::admission::{Arrival, Refusal, ServiceLimits, Ticket};
use kumquatkeel_core::burn::BurnMeter;
use kumquatkeel_core::request::FlowContext;
use kumquatkeel_core::retry::{Backoff, RetryBudget};
use kumquatkeel_core::routing::{FleetView, Router, ViewStep};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_daemon::http::{PeerClient, rpc_client};
use kumquatkeel_types::document::{Document, Service};
use kumquatkeel_types::message::{Member, MemberState, Role};
use kumquatkeel_types::{
    EntryName, ErrorBody, ErrorCode, Incarnation, Outcome, RequestId, Revision, ServiceName,
    Timestamp,
};
use log::warn;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::{AdmissionPermit, AdmissionQueues};
use crate::api::responses::not_run;
use crate::call::CallLedger;
use crate::demand::SharedDemand;
use crate::operator::DocumentCommitter;
use crate::path::{AGENT_TIMEOUT, TimeLimit};
use crate::request_metrics::EntryMetrics;
use crate::settings::EntrySettings;
use crate::shares::ShareTable;

/// Retry delay of a request that waited for admission until it had to end.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The router and the random number generator of its choices.
#[derive(Debug)]
pub(crate) struct RoutingState {
    /// `None` until the entry has its first configuration.
    pub(crate) router: Option<Router>,
    pub(crate) rng: Pcg64,
}

/// A service's retry budget and the random number generator of its backoff.
#[derive(Debug)]
pub(crate) struct RetryState {
    pub(crate) budget: RetryBudget,
    pub(crate) rng: Pcg64,
}

impl RetryState {
    /// Lends the retry budget, backoff and generator to a request's flow.
    pub(crate) fn context(&mut self) -> FlowContext<'_> {
        FlowContext {
            budget: &mut self.budget,
            backoff: Backoff::default(),
            rng: &mut self.rng,
        }
    }
}

/// The state that an entry keeps for one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) retries: Mutex<RetryState>,
    burn: Mutex<BurnMeter>,
}

/// The state of one entry, shared by its handlers and background tasks.
pub struct EntryState {
    /// The validated settings.
    pub settings: EntrySettings,
    /// The monotonic clock that all decisions use.
    pub clock: Clock,
    /// The admission controllers of the services, with their queues.
    pub admission: Arc<AdmissionQueues>,
    pub(crate) incarnation: Incarnation,
    pub(crate) client: PeerClient,
    pub(crate) ledger: Arc<dyn CallLedger>,
    pub(crate) metrics: EntryMetrics,
    pub(crate) demand: SharedDemand,
    pub(crate) shares: ShareTable,
    /// Cancelled when the entry stops admitting requests.
    pub(crate) drain: CancellationToken,
    /// The time by which all answers are given; `None` until the entry stops admitting requests.
    pub(crate) stop_end: watch::Sender<Option<Instant>>,
    /// The requests in progress, from their arrival on, and what they leave to be recorded.
    pub(crate) tasks: TaskTracker,
    routing: Mutex<RoutingState>,
    services: Mutex<BTreeMap<ServiceName, Arc<ServiceState>>>,
    rpc_clients: Mutex<BTreeMap<SocketAddr, HttpClient>>,
    members: Mutex<BTreeMap<Role, Member>>,
    committer: OnceLock<Arc<dyn DocumentCommitter>>,
    last_request: AtomicU64,
}

impl EntryState {
    pub(crate) fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        ledger: Arc<dyn CallLedger>,
        metrics: EntryMetrics,
        clock: Clock,
    ) -> Self {
        Self {
            settings,
            clock,
            admission: Arc::new(AdmissionQueues::new(clock)),
            incarnation,
            client: PeerClient::new(),
            ledger,
            metrics,
            demand: SharedDemand::new(clock),
            shares: ShareTable::default(),
            drain: CancellationToken::new(),
            stop_end: watch::Sender::new(None),
            tasks: TaskTracker::new(),
            routing: Mutex::new(RoutingState {
                router: None,
                rng: Pcg64::from_rng(&mut rand::rng()),
            }),
            services: Mutex::new(BTreeMap::new()),
            rpc_clients: Mutex::new(BTreeMap::new()),
            members: Mutex::new(BTreeMap::new()),
            committer: OnceLock::new(),
            last_request: AtomicU64::new(0),
        }
    }

    /// Returns the revision of this entry's active configuration, or `None` before the first one.
    pub fn revision(&self) -> Option<Revision> {
        let routing = self.routing();
        routing.router.as_ref().map(|r| r.view().revision())
    }

    /// Returns this entry's active configuration, or `None` before the first one.
    pub fn document(&self) -> Option<Arc<Document>> {
        let routing = self.routing();
        routing.router.as_ref().map(|r| r.view().document().clone())
    }

    /// Returns the number of targets whose agents report that they serve.
    pub fn serving_targets(&self) -> usize {
        let routing = self.routing();
        let agents = routing
            .router
            .as_ref()
            .map_or(&[][..], |r| r.view().agents());
        let serving = agents.iter().filter(|a| a.state == MemberState::Serving);
        serving.count()
    }

    /// Activates a configuration if it is newer than the active one.
    pub fn apply_document(&self, revision: Revision, document: Arc<Document>) {
        let now = self.clock.now();
        let mut routing = self.routing();
        let refreshed = if let Some(router) = &mut routing.router {
            if router.view_mut().apply_document(revision, document) != ViewStep::Applied {
                return;
            }
            router.refresh(now)
        } else {
            let home = self.settings.data_centre.clone();
            let view = FleetView::new(home, revision, document);
            Router::new(view, now).map(|router| routing.router = Some(router))
        };
        if let Err(error) = refreshed {
            warn!(target: "routing", "routing: could not refresh the router: {error}");
        }
        drop(routing);
        self.refresh_services();
    }

    /// Applies a process's report of itself to the member table and to routing.
    pub fn apply_member(&self, member: Member) {
        self.store_member(&member);
        let now = self.clock.now();
        let mut routing = self.routing();
        if let Some(router) = &mut routing.router {
            router.view_mut().apply_member(member, now);
        }
    }

    /// Recomputes the limits of all services from the configuration and the members.
    ///
    /// This also refreshes the router and ejects targets whose latency is an outlier.
    pub fn refresh_services(&self) {
        let now = self.clock.now();
        let mut routing = self.routing();
        let Some(router) = &mut routing.router else {
            return;
        };
        if let Err(error) = router.refresh(now) {
            warn!(target: "routing", "routing: could not refresh the router: {error}");
        }
        router.ejector_mut().sweep(now);
        let view = router.view();
        let document = view.document().clone();
        let entries = view.live_entries();
        let slots: Vec<_> = (document.services.iter())
            .map(|service| view.slots_of(&service.name))
            .collect();
        drop(routing);
        for (service, slots) in document.services.iter().zip(slots) {
            let limits = ServiceLimits {
                queue: service.queue as usize,
                rate: self.shares.rate(service, entries, now),
            };
            self.admission.set_service(&service.name, limits, slots);
            let state = self.service(service);
            lock(&state.retries).budget.set_share(service.retry_share);
        }
    }

    /// Returns the number of live entries, including this one.
    pub fn live_entries(&self) -> usize {
        let routing = self.routing();
        routing
            .router
            .as_ref()
            .map_or(1, |r| r.view().live_entries())
    }

    /// Returns the other entries that report that they serve, each with its address for peer RPC.
    pub(crate) fn serving_entries(&self) -> BTreeMap<EntryName, SocketAddr> {
        let members = lock(&self.members);
        let serving = members.values().filter(|m| m.state == MemberState::Serving);
        serving
            .filter_map(|member| match &member.role {
                Role::Entry(name) => Some((name.clone(), member.address)),
                Role::Agent(_) => None,
            })
            .collect()
    }

    /// Waits until the request may run; `deadline` is the end of that wait too.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the request may not run; it has not run then.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        service: &ServiceName,
        arrival: Arrival,
        deadline: Timestamp,
    ) -> Result<AdmissionPermit, Refusal> {
        let limit = TimeLimit::new(self.clone(), deadline);
        let admitted = limit.bound(self.admission.admit(service, arrival)).await;
        admitted.unwrap_or_else(|code| {
            let retry_after = RETRY_DELAY;
            Err(Refusal { code, retry_after })
        })
    }

    /// Stops admitting requests, and ends those in progress after the stop time of the settings.
    pub fn stop_admission(&self) {
        self.drain.cancel();
        self.admission.drain();
        let end = Instant::now() + self.settings.stop_time;
        self.stop_end
            .send_modify(|known| *known = known.or(Some(end)));
    }

    /// Returns whether the entry has stopped admitting requests.
    pub fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    /// Counts a finished request for the burn rate of its service; `good` is whether it met the
    /// service's limits.
    pub(crate) fn record_burn(&self, service: &Service, good: bool) {
        let state = self.service(service);
        lock(&state.burn).record(self.clock.now(), good);
    }

    /// Returns the state of a service, which is created on first use.
    pub(crate) fn service(&self, service: &Service) -> Arc<ServiceState> {
        let mut services = lock(&self.services);
        if let Some(state) = services.get(&service.name) {
            return state.clone();
        }
        let state = Arc::new(ServiceState {
            retries: Mutex::new(RetryState {
                budget: RetryBudget::new(service.retry_share),
                rng: Pcg64::from_rng(&mut rand::rng()),
            }),
            burn: Mutex::new(BurnMeter::new()),
        });
        services.insert(service.name.clone(), state.clone());
        state
    }

    /// Counts a request that admission refused, and builds its error body.
    pub(crate) fn refuse(&self, service: &Service, refusal: Refusal) -> ErrorBody {
        self.record_burn(service, false);
        self.metrics.count_request(&service.name, Outcome::NotRun);
        let message = match refusal.code {
            ErrorCode::Draining => "this entry is stopping",
            ErrorCode::Deadline => "the request can't start in time",
            ErrorCode::Overloaded => "the service's limit is reached",
            _ => "the service can't be reached",
        };
        not_run(refusal.code, message, refusal.retry_after)
    }

    /// Assigns the id of a new request.
    pub(crate) fn next_request(&self) -> RequestId {
        RequestId {
            entry: self.settings.name.clone(),
            life: self.incarnation,
            number: self.last_request.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Locks the routing state.
    pub(crate) fn routing(&self) -> MutexGuard<'_, RoutingState> {
        lock(&self.routing)
    }

    /// Returns the cached RPC client for an agent or entry, or `None` if it can't be created.
    pub(crate) fn rpc_client_for(&self, address: SocketAddr) -> Option<HttpClient> {
        let mut clients = lock(&self.rpc_clients);
        if let Some(client) = clients.get(&address) {
            return Some(client.clone());
        }
        match rpc_client(address, &self.settings.peer_key, AGENT_TIMEOUT) {
            Ok(client) => {
                clients.insert(address, client.clone());
                Some(client)
            }
            Err(error) => {
                warn!(target: "path", "path: could not create an RPC client: {error}");
                None
            }
        }
    }
}

impl std::fmt::Debug for EntryState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryState")
            .field("name", &self.settings.name)
            .field("incarnation", &self.incarnation)
            .field("revision", &self.revision())
            .finish_non_exhaustive()
    }
}

/// Locks a mutex and ignores poisoning: its data stay consistent if a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the ticket that identifies a request in the admission queue.
pub(crate) const fn ticket_of(request: &RequestId) -> Ticket {
    Ticket(request.number)
}
