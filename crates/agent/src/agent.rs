//! Starts, drains and stops an agent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::Debug;
use kumquatkeel_core::memory::{MemoryTracker, OrderValidator};
use kumquatkeel_core::scheduler::AttemptScheduler;
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_daemon::http::PeerClient;
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_daemon::rpc::AgentApiServer;
use kumquatkeel_daemon::server::PeerServer;
use kumquatkeel_platform::ObjectStore;
use kumquatkeel_types::Incarnation;
use kumquatkeel_types::document::TargetKind;
use kumquatkeel_types::message::Member;
use log::{info, warn};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::agent_core::AgentCore;
use crate::api::Api;
use crate::attempt::AttemptRoutes;
use crate::background::{poll_engine, retry_takeover, tick_scheduler};
use crate::engine::EngineClient;
use crate::plain::PlainClient;
use crate::record::{RecordStore, Takeover};
use crate::shared::{Shared, starting_member};
use crate::telemetry::Telemetry;
use crate::{AgentControl, AgentError, AgentSettings, Configuration, NoHints, PeerHints};

/// Longest time that the start waits for the store to take the target over.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time to wait for connections and tasks to end after the drain.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// The dependencies of an agent besides its settings.
#[derive(Debug, Clone)]
pub struct AgentParts {
    /// The platform's object store.
    ///
    /// Without one, the agent sends no orders until those of an earlier incarnation can no longer
    /// be executed.
    #[debug(skip)]
    pub store: Option<Arc<dyn ObjectStore>>,
    /// The current configuration; `None` until the first one arrives.
    pub configuration: watch::Receiver<Option<Configuration>>,
    /// The metrics registry that the agent's listener exposes.
    pub metrics: Metrics,
    /// Suggests other targets for work that the agent refuses.
    #[debug(skip)]
    pub hints: Arc<dyn PeerHints>,
}

impl AgentParts {
    /// Creates parts without a store and without hints.
    pub fn new(configuration: watch::Receiver<Option<Configuration>>, metrics: Metrics) -> Self {
        Self {
            store: None,
            configuration,
            metrics,
            hints: Arc::new(NoHints),
        }
    }

    /// Sets the platform's object store.
    #[must_use]
    pub fn store(mut self, store: Arc<dyn ObjectStore>) -> Self {
        self.store = Some(store);
        self
    }

    /// Sets the source of hints to other targets.
    #[must_use]
    pub fn hints(mut self, hints: impl PeerHints + 'static) -> Self {
        self.hints = Arc::new(hints);
        self
    }
}

/// The agent of one target; see [`Agent::start`].
#[derive(Debug)]
pub struct Agent;

/// A handle to a running agent.
#[derive(Debug)]
pub struct AgentHandle {
    #[debug(skip)]
    shared: Arc<Shared>,
    server: PeerServer,
}

impl Agent {
    /// Takes the target over from an earlier incarnation and starts serving.
    ///
    /// If the store is unavailable, the agent serves at once but sends no orders until those that
    /// an earlier incarnation may have sent can no longer be executed.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn start(
        settings: AgentSettings,
        parts: AgentParts,
    ) -> Result<AgentHandle, AgentError> {
        let clock = Clock::start();
        let shared = Arc::new(Shared::start(settings, parts.clone(), clock).await);
        let server = listen(&shared, parts.metrics).await?;
        let address = server.address();
        let advertised = shared.settings.advertise.unwrap_or(address);
        shared
            .member
            .send_modify(|member| member.address = advertised);
        shared.telemetry.observe(&shared);
        shared.spawn_loops();
        shared.publish();
        let name = &shared.settings.name;
        let incarnation = shared.incarnation;
        info!(target: "agent", "agent: incarnation {incarnation} of {name} serves on {address}");
        Ok(AgentHandle { shared, server })
    }
}

impl AgentHandle {
    /// Returns the address that the agent listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the agent's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Returns a handle by which other parts of the daemon control the agent.
    pub fn control(&self) -> AgentControl {
        AgentControl(self.shared.clone())
    }

    /// Returns a receiver of the agent's member record.
    pub fn member(&self) -> watch::Receiver<Member> {
        self.shared.member.subscribe()
    }

    /// Refuses new work and waits until nothing runs any more.
    ///
    /// Waiting attempts are answered as not run, with a hint to another target. Running attempts
    /// continue to their end, at most for the drain limit. Returns whether all have ended.
    pub async fn drain(&self) -> bool {
        let shared = &self.shared;
        shared.update(AgentCore::drain);
        let limit = Instant::now() + shared.settings.limits.drain;
        loop {
            let changed = shared.changed.notified();
            let load = shared.core().scheduler.load();
            if load.running == 0 {
                info!(target: "agent", "agent: drain of {} complete", shared.settings.name);
                return true;
            }
            if timeout_at(limit, changed).await.is_err() {
                let running = load.running;
                warn!(target: "agent", "agent: drain limit reached, {running} attempts run");
                return false;
            }
        }
    }

    /// Drains the agent, then closes the listener and stops all tasks.
    pub async fn shutdown(self) {
        self.drain().await;
        self.shared.stop.cancel();
        self.shared.tasks.close();
        let limit = Instant::now() + STOP_TIMEOUT;
        let stopped = async {
            self.server.stop().await;
            self.shared.tasks.wait().await;
        };
        if timeout_at(limit, stopped).await.is_err() {
            warn!(target: "agent", "agent: tasks still run after {STOP_TIMEOUT:?}");
        }
    }
}

impl Shared {
    /// Takes the target over and creates the shared state.
    async fn start(settings: AgentSettings, parts: AgentParts, clock: Clock) -> Self {
        let lease = settings.limits.order_lease;
        let name = settings.name.clone();
        let record = parts
            .store
            .map(|store| RecordStore::new(store, name.clone(), lease, clock));
        let proposed = proposed_incarnation();
        let takeover = take_over(record.as_ref(), proposed).await;
        let incarnation = takeover.as_ref().map_or(proposed, |t| t.incarnation);
        let memory = initial_memory(&settings, incarnation, takeover, clock);
        let scheduler = AttemptScheduler::new(settings.scheduler_limits(), incarnation);
        let mut core = AgentCore::new(scheduler, memory, OrderValidator::new(name, incarnation));
        if settings.kind == TargetKind::Plain {
            core.open_plain(settings.slots, clock.now());
        }
        let http = PeerClient::new();
        let (target, bytes) = (settings.target, settings.limits.answer_bytes);
        let member = starting_member(&settings, incarnation);
        Self {
            incarnation,
            clock,
            core: Mutex::new(core),
            changed: Notify::new(),
            member: watch::Sender::new(member),
            configuration: parts.configuration,
            engine: EngineClient::new(http.clone(), target, bytes),
            plain: PlainClient::new(http, target, bytes),
            record,
            hints: parts.hints,
            telemetry: Telemetry::new(&parts.metrics),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            settings,
        }
    }

    fn spawn_loops(self: &Arc<Self>) {
        self.tasks.spawn(tick_scheduler(self.clone()));
        if self.settings.kind == TargetKind::Engine {
            self.tasks.spawn(poll_engine(self.clone()));
        }
        if self.record.as_ref().is_some_and(|r| !r.holds_target()) {
            self.tasks.spawn(retry_takeover(self.clone()));
        }
    }
}

/// Returns the memory tracker of a new incarnation.
///
/// It holds the predecessor's open intents. If the target is not taken over yet, those are not
/// known and orders are quarantined.
fn initial_memory(
    settings: &AgentSettings,
    incarnation: Incarnation,
    takeover: Option<Takeover>,
    clock: Clock,
) -> MemoryTracker {
    let now = clock.now();
    let mut memory = MemoryTracker::new(settings.memory_settings(incarnation), now);
    match takeover {
        Some(takeover) => memory.recover_intents(takeover.intents, now),
        None => memory.quarantine(now),
    }
    memory
}

async fn take_over(record: Option<&RecordStore>, proposed: Incarnation) -> Option<Takeover> {
    let record = record?;
    match timeout(TAKEOVER_TIMEOUT, record.take_over(proposed)).await {
        Ok(Ok(takeover)) => Some(takeover),
        Ok(Err(error)) => {
            warn!(target: "agent", "agent: the target is not taken over yet: {error}");
            None
        }
        Err(_) => {
            warn!(target: "agent", "agent: the target is not taken over yet: the store timed out");
            None
        }
    }
}

async fn listen(shared: &Arc<Shared>, metrics: Metrics) -> Result<PeerServer, AgentError> {
    let listen = shared.settings.listen;
    let key = shared.settings.peer_key.clone();
    let routes = Arc::new(AttemptRoutes(shared.clone()));
    let methods = Api(shared.clone()).into_rpc();
    let server = PeerServer::start(listen, key, metrics, methods, routes).await;
    server.map_err(|error| AgentError {
        step: "listen",
        peer: listen,
        reason: error.to_string(),
    })
}

/// Proposes an incarnation: the wall clock in milliseconds, which differs between starts even
/// without the store.
///
/// If the clock was set back, the takeover raises it above the incarnation in the store.
fn proposed_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(1, |d| d.as_millis() as u64))
}
