//! What the parts of an entry share.

mod operators;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use jsonrpsee::http_client::HttpClient;
use kumquatkeel_core::admission::{Refusal, ServiceLimits, Ticket};
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
};
use log::warn;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::AdmissionQueues;
use crate::api::answer::not_run;
use crate::call::CallLedger;
use crate::demand::SharedDemand;
use crate::measure::EntryMetrics;
use crate::operator::OperatorDesk;
use crate::path::AGENT_TIMEOUT;
use crate::settings::EntrySettings;
use crate::shares::ShareTable;

/// The routing decisions and their generator; no router before the first configuration.
#[derive(Debug)]
pub(crate) struct RoutingState {
    pub(crate) router: Option<Router>,
    pub(crate) rng: Pcg64,
}

/// A service's retry budget and the generator of its waits.
#[derive(Debug)]
pub(crate) struct Retries {
    pub(crate) budget: RetryBudget,
    pub(crate) rng: Pcg64,
}

impl Retries {
    /// Returns what a request's flow borrows.
    pub(crate) fn context(&mut self) -> FlowContext<'_> {
        FlowContext {
            budget: &mut self.budget,
            backoff: Backoff::default(),
            rng: &mut self.rng,
        }
    }
}

/// One service's share of the entry's state.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) retries: Mutex<Retries>,
    burn: Mutex<BurnMeter>,
}

/// The state of one entry.
pub struct EntryState {
    /// The settings.
    pub settings: EntrySettings,
    /// The clock of all decisions.
    pub clock: Clock,
    /// The gates of the services.
    pub admission: Arc<AdmissionQueues>,
    pub(crate) life: Incarnation,
    pub(crate) client: PeerClient,
    pub(crate) ledger: Arc<dyn CallLedger>,
    pub(crate) metrics: EntryMetrics,
    pub(crate) demand: SharedDemand,
    pub(crate) shares: ShareTable,
    pub(crate) drain: CancellationToken,
    pub(crate) tasks: TaskTracker,
    routing: Mutex<RoutingState>,
    services: Mutex<BTreeMap<ServiceName, Arc<ServiceState>>>,
    agents: Mutex<BTreeMap<SocketAddr, HttpClient>>,
    members: Mutex<BTreeMap<Role, Member>>,
    desk: OnceLock<Arc<dyn OperatorDesk>>,
    numbers: AtomicU64,
}

impl EntryState {
    pub(crate) fn new(
        settings: EntrySettings,
        life: Incarnation,
        ledger: Arc<dyn CallLedger>,
        metrics: EntryMetrics,
        clock: Clock,
    ) -> Self {
        Self {
            settings,
            clock,
            admission: Arc::new(AdmissionQueues::new(clock)),
            life,
            client: PeerClient::new(),
            ledger,
            metrics,
            demand: SharedDemand::new(clock),
            shares: ShareTable::default(),
            drain: CancellationToken::new(),
            tasks: TaskTracker::new(),
            routing: Mutex::new(RoutingState {
                router: None,
                rng: Pcg64::from_rng(&mut rand::rng()),
            }),
            services: Mutex::new(BTreeMap::new()),
            agents: Mutex::new(BTreeMap::new()),
            members: Mutex::new(BTreeMap::new()),
            desk: OnceLock::new(),
            numbers: AtomicU64::new(0),
        }
    }

    /// Returns the revision of the configuration in force here.
    pub fn revision(&self) -> Option<Revision> {
        let routing = self.routing();
        routing.router.as_ref().map(|r| r.view().revision())
    }

    /// Returns the configuration in force here.
    pub fn document(&self) -> Option<Arc<Document>> {
        let routing = self.routing();
        routing.router.as_ref().map(|r| r.view().document().clone())
    }

    /// Returns how many targets take new work, as far as this entry has heard.
    pub fn serving_targets(&self) -> usize {
        let routing = self.routing();
        let agents = routing
            .router
            .as_ref()
            .map_or(&[][..], |r| r.view().agents());
        let serving = agents.iter().filter(|a| a.state == MemberState::Serving);
        serving.count()
    }

    /// Takes over a newer configuration.
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
            warn!(target: "routing", "routing: {error}");
        }
        drop(routing);
        self.refresh_services();
    }

    /// Takes in a process's report of itself.
    pub fn apply_member(&self, member: Member) {
        self.keep_member(&member);
        let now = self.clock.now();
        let mut routing = self.routing();
        if let Some(router) = &mut routing.router {
            router.view_mut().apply_member(member, now);
        }
    }

    /// Takes over limits that follow from the configuration and the members.
    pub fn refresh_services(&self) {
        let now = self.clock.now();
        let mut routing = self.routing();
        let Some(router) = &mut routing.router else {
            return;
        };
        if let Err(error) = router.refresh(now) {
            warn!(target: "routing", "routing: {error}");
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

    /// Returns the number of live entries, this one included.
    pub fn live_entries(&self) -> usize {
        let routing = self.routing();
        routing
            .router
            .as_ref()
            .map_or(1, |r| r.view().live_entries())
    }

    /// Returns the other entries that serve, each with its address for the system's own messages.
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

    /// Takes no new requests from now on.
    pub fn stop_admission(&self) {
        self.drain.cancel();
        self.admission.drain();
    }

    /// Says whether the entry takes no new work.
    pub fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    pub(crate) fn record_burn(&self, service: &Service, good: bool) {
        let state = self.service(service);
        lock(&state.burn).record(self.clock.now(), good);
    }

    pub(crate) fn service(&self, service: &Service) -> Arc<ServiceState> {
        let mut services = lock(&self.services);
        if let Some(state) = services.get(&service.name) {
            return state.clone();
        }
        let state = Arc::new(ServiceState {
            retries: Mutex::new(Retries {
                budget: RetryBudget::new(service.retry_share),
                rng: Pcg64::from_rng(&mut rand::rng()),
            }),
            burn: Mutex::new(BurnMeter::new()),
        });
        services.insert(service.name.clone(), state.clone());
        state
    }

    /// Counts a request that was refused at its gate, and makes the body of the refusal.
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

    pub(crate) fn next_request(&self) -> RequestId {
        RequestId {
            entry: self.settings.name.clone(),
            life: self.life,
            number: self.numbers.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    pub(crate) fn routing(&self) -> MutexGuard<'_, RoutingState> {
        lock(&self.routing)
    }

    /// Returns the RPC client of an agent.
    pub(crate) fn rpc_client_for(&self, address: SocketAddr) -> Option<HttpClient> {
        let mut agents = lock(&self.agents);
        if let Some(client) = agents.get(&address) {
            return Some(client.clone());
        }
        match rpc_client(address, &self.settings.peer_key, AGENT_TIMEOUT) {
            Ok(client) => {
                agents.insert(address, client.clone());
                Some(client)
            }
            Err(error) => {
                warn!(target: "path", "path: {error}");
                None
            }
        }
    }
}

impl std::fmt::Debug for EntryState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryState")
            .field("name", &self.settings.name)
            .field("life", &self.life)
            .field("revision", &self.revision())
            .finish_non_exhaustive()
    }
}

/// Locks a mutex whose data stay whole if a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Makes the ticket of a request at its gate.
pub(crate) const fn ticket_of(request: &RequestId) -> Ticket {
    Ticket(request.number)
}
