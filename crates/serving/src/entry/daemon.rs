//! The entry's process: its listeners, background loops and graceful stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use kumquatkeel_core::serving::{
    AccountBounds, DrainPhase, DrainPlan, LocalityMode, Target, entry_interval, planner_interval,
};
use rand::RngExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::exchange::millis;
use super::handler;
use super::state::Shared;
use crate::config_relay::{ConfigFollower, ConfigHub, FollowerSettings};
use crate::feed::{EVENT_CAPACITY, FeedEvent, follow_list};
use crate::gossip::{Datagram, EntryHeartbeat, MAX_DEMANDS};
use crate::locality::Locality;
use crate::net::{ServeOptions, serve_connection, serve_listener};
use crate::origin_record::OriginKeeper;
use crate::platform::{Dialect, ObjectFeed, OriginStore, VerdictStore, VersionStore};
use crate::signals::{ProcessSignal, Signals};
use crate::start::{StartError, bind_gossip, start_metrics};
use crate::version_record::record_versions;

/// Interval between two checks of which heartbeats to the agents are due.
const HEARTBEAT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two sweeps of idle connections, lapsed targets and stalled targets.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two checks of the drain phase.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Connection limits until the first configuration is in force.
const DEFAULT_LIMITS: ServeOptions = ServeOptions {
    header_bytes: 16 * 1024,
    idle: Duration::from_secs(15),
};

/// The settings of an entry, fixed at start.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The instance's name.
    pub instance: Arc<str>,
    /// Where the instance runs.
    pub locality: Locality,
    /// Who decides whether requests leave their data centre.
    pub locality_mode: LocalityMode,
    /// The address that callers connect to.
    pub frontend: SocketAddr,
    /// The address for readiness checks.
    pub readiness: SocketAddr,
    /// The address for datagrams; agents use the same port.
    pub gossip: SocketAddr,
    /// The address that metrics are served at; `None` serves none.
    pub metrics: Option<SocketAddr>,
    /// The longest wait of one watch call to the store, and the longest time without a confirmation of
    /// the configuration.
    pub watch_wait: Duration,
    /// The time from a stop signal until the process must have exited.
    pub grace: Duration,
    /// Resends allowed per request within `retry_window`, as a ratio over all entries.
    pub retry_ratio: f64,
    /// Resends allowed within `retry_window` on top of the ratio, over all entries.
    pub retry_slack: f64,
    /// The sliding window of the retry budget.
    pub retry_window: Duration,
    /// What may be spent beyond the limits of accounts.
    pub account_bounds: AccountBounds,
}

impl EntrySettings {
    /// Returns the datagram address of a target's agent, which runs on the same host.
    pub(super) fn agent_of(&self, target: &Target) -> SocketAddr {
        SocketAddr::new(target.address.ip(), self.gossip.port())
    }
}

/// An entry whose addresses are bound.
pub struct Entry {
    shared: Arc<Shared>,
    frontend: TcpListener,
}

impl Entry {
    /// Binds the entry's addresses and starts to serve readiness checks and metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub async fn start(
        settings: EntrySettings,
        dialect: Arc<dyn Dialect>,
    ) -> Result<Self, StartError> {
        let instruments = start_metrics(settings.metrics).await?;
        let (gossip, _) = bind_gossip(settings.gossip).await?;
        let frontend = TcpListener::bind(settings.frontend).await;
        let frontend = frontend.map_err(StartError::at(
            "bind the frontend address",
            settings.frontend,
        ))?;
        let readiness = TcpListener::bind(settings.readiness).await;
        let readiness = readiness.map_err(StartError::at(
            "bind the readiness address",
            settings.readiness,
        ))?;
        let shared = Arc::new(Shared::new(settings, dialect, instruments, gossip));
        let ready = shared.clone();
        tokio::spawn(serve_listener(readiness, move |request, _| {
            is_ready(&ready, request)
        }));
        Ok(Self { shared, frontend })
    }

    /// Returns the bound address for callers; the system chooses the port if the setting is 0.
    ///
    /// # Errors
    ///
    /// Returns an error when the system can't report the socket's address.
    pub fn frontend(&self) -> io::Result<SocketAddr> {
        self.frontend.local_addr()
    }

    /// Finds the software versions that may have begun a stream in the record of a store, and keeps that record
    /// where no agent does. Without it, streams of unknown origin are refused.
    #[must_use]
    pub fn keep_versions(self, store: Arc<dyn VersionStore>) -> Self {
        self.shared.versions.set_store(store);
        self
    }

    /// Finds the origins of streams that no process knows in a store, and keeps them there where no agent does.
    #[must_use]
    pub fn keep_origins(self, store: Arc<dyn OriginStore>) -> Self {
        self.shared.origin_lookup.set_store(store);
        self
    }

    /// Has requests that tell suspects apart sent as trials, which are claimed in a store. Without it, every
    /// request with a quarantined part is rejected until the quarantine ends.
    #[must_use]
    pub fn keep_verdicts(self, store: Arc<dyn VerdictStore>) -> Self {
        // A store that was set before stays.
        let _ = self.shared.verdict_store.set(store);
        self
    }

    /// Serves callers until a stop signal, then drains and returns.
    pub async fn run(self, feed: Arc<dyn ObjectFeed>, mut signals: Signals) {
        let Self { shared, frontend } = self;
        let wait = shared.settings.watch_wait;
        let (sender, events) = mpsc::channel(EVENT_CAPACITY);
        let list = shared.list.clone();
        tokio::spawn(follow_list(feed.clone(), list, sender.clone()));
        let config = FollowerSettings {
            own: shared.settings.gossip,
            patience: wait,
            watch_wait: wait,
        };
        let hosts = shared.agent_hosts.subscribe();
        let instruments = shared.instruments.clone();
        let follower =
            ConfigFollower::new(config, feed, hosts, ConfigHub::new(), sender, instruments);
        tokio::spawn(follower.run());
        tokio::spawn(apply_feed_events(shared.clone(), events));
        tokio::spawn(receive_datagrams(shared.clone()));
        tokio::spawn(heartbeat_loop(shared.clone()));
        tokio::spawn(sweep_loop(shared.clone()));
        if let Some(store) = shared.versions.store() {
            let listed = shared.listed_versions();
            let recorded = shared.recorded_versions.clone();
            tokio::spawn(record_versions(
                store.clone(),
                listed,
                recorded,
                shared.clock,
            ));
        }
        if let Some(store) = shared.origin_lookup.store() {
            let prefix = format!("{:016x}", shared.lock().stamp.incarnation);
            let keeper = OriginKeeper::start(store.clone(), prefix, shared.clock);
            // Nothing else sets it.
            let _ = shared.origin_keeper.set(keeper);
        }
        let acceptor = Acceptor::start(shared.clone(), frontend);
        while signals.next().await == ProcessSignal::Reload {
            log::info!("reload signal ignored; the entry has nothing to reload");
        }
        drain(&shared, acceptor).await;
        log_unanswered(&shared);
        log::info!(instance:% = shared.settings.instance; "stopped");
    }
}

async fn drain(shared: &Shared, mut acceptor: Acceptor) {
    let started = Instant::now();
    shared.draining.send_replace(Some(started));
    shared.notify();
    log::info!(open = shared.lock().open; "stop signal received; draining");
    let plan = DrainPlan::new(shared.settings.grace);
    loop {
        let open = shared.lock().open;
        if !plan.accepts(started.elapsed(), open) && acceptor.stop().await {
            // Connections that waited in the listener's queue have been accepted last.
            continue;
        }
        match plan.phase(started.elapsed(), open) {
            DrainPhase::Serving => {}
            DrainPhase::Closing => {
                acceptor.closing.send_replace(true);
            }
            DrainPhase::Exit => return,
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Logs the requests that the exit cuts off, and what each of them waited for.
fn log_unanswered(shared: &Shared) {
    for request in shared.open_requests.list() {
        let ((stage, waited), age) = (request.stage(), request.arrival.elapsed());
        shared.instruments.record_request("cut_off", age);
        log::warn!(
            request:% = request.attempt, stage:serde, waited_ms = millis(waited), age_ms = millis(age),
            stages_ms:serde = request.stage_times();
            "request cut off by the exit"
        );
    }
}

fn is_ready(shared: &Shared, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    let state = shared.lock();
    *response.status_mut() = if !shared.dialect.is_readiness(request.uri().path()) {
        StatusCode::NOT_FOUND
    } else if state.active.is_some() && shared.draining.borrow().is_none() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}

async fn apply_feed_events(shared: Arc<Shared>, mut events: mpsc::Receiver<FeedEvent>) {
    while let Some(event) = events.recv().await {
        shared.apply_feed_event(event);
    }
}

async fn receive_datagrams(shared: Arc<Shared>) {
    loop {
        let (from, datagram) = shared.gossip.receive().await;
        match datagram {
            Datagram::Agent(heartbeat) => shared.handle_agent_heartbeat(from, heartbeat),
            Datagram::Count(reply) => shared.handle_backlog_reply(&reply),
            Datagram::Origin(record) => shared.handle_origin(record),
            Datagram::Quarantine(notice) => shared.handle_quarantine_notice(from, notice),
            Datagram::PermitReply(reply) => shared.handle_permit_reply(reply),
            Datagram::LimitNotice(record) => shared.handle_limit_notice(&record),
            Datagram::Leaving(incarnation) => shared.handle_leaving(&incarnation),
            Datagram::List(notice) => shared.list.record_notice(notice),
            Datagram::AdmitReply(reply) => shared.handle_admit_reply(reply),
            Datagram::AccountReply(reply) => shared.handle_account_reply(&reply),
            Datagram::Entry(_)
            | Datagram::Alive(_)
            | Datagram::Want(_)
            | Datagram::Load(_)
            | Datagram::Note(_)
            | Datagram::Query(_)
            | Datagram::Began(_)
            | Datagram::FindOrigin(_)
            | Datagram::Crash(_)
            | Datagram::Permit(_)
            | Datagram::Limit(_)
            | Datagram::Admit(_)
            | Datagram::AdmitEnd(_)
            | Datagram::Sound(_)
            | Datagram::Account(_)
            | Datagram::IssuerSilent(_)
            | Datagram::Probe
            | Datagram::ProbeReply => {
                log::debug!(peer:% = from; "ignoring a datagram meant for an agent");
            }
        }
    }
}

async fn heartbeat_loop(shared: Arc<Shared>) {
    loop {
        send_heartbeats(&shared);
        shared.send_crash_reports();
        shared.send_verdicts();
        let jitter = rand::rng().random_range(0.9..1.1);
        tokio::time::sleep(HEARTBEAT_POLL_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Sends this entry's state to the agents to which a heartbeat is due.
fn send_heartbeats(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.lock();
    let newest = state.objects.table.newest();
    let engines = newest.filter(|target| state.engine_spec(&target.service).is_some());
    let targets: Vec<Arc<Target>> = engines.cloned().collect();
    let entries = state.entries();
    for target in &targets {
        let agent = shared.settings.agent_of(target);
        let planner = state.is_planner(agent, now);
        let remote = shared.is_remote(&target.data_centre);
        let idle = remote && !state.has_news(&target.id);
        let interval = if planner {
            planner_interval(entries)
        } else {
            entry_interval(targets.len(), idle)
        };
        if !state.is_heartbeat_due(agent, interval, now) {
            continue;
        }
        let heartbeat = EntryHeartbeat {
            stamp: state.stamp.advance(),
            target: target.id.clone(),
            backlog: state.own_backlog(&target.id),
            adapters: state.take_used_adapters(&target.id),
            remote,
            demand: if planner {
                state.demand.highest_rates(MAX_DEMANDS, now)
            } else {
                Vec::new()
            },
        };
        state.record_heartbeat(agent, now);
        shared.gossip.send(agent, &Datagram::Entry(heartbeat));
        let incarnation = target.incarnation();
        if state.objects.table.has_stated_leaving(&incarnation) {
            (shared.gossip).send(agent, &Datagram::Leaving(incarnation));
        }
    }
}

async fn sweep_loop(shared: Arc<Shared>) {
    let mut tick = interval(SWEEP_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let now = shared.now();
        let mut state = shared.lock();
        for id in state.objects.table.expire(now) {
            log::info!(target_id:% = id; "lapsed target removed; it was not listed again in time");
        }
        let ended_limits = state.prune_targets(now);
        state.prune_pools();
        state.accounts.holder.prune(now);
        state.remember_agent_hosts(now);
        drop(state);
        for target in &ended_limits {
            shared.record_limit_change(target);
        }
        shared.publish_versions();
        shared.probe_silent_agents();
        shared.update_stalled();
    }
}

/// Accepts callers' connections until it is stopped.
struct Acceptor {
    /// Set to have idle connections closed.
    closing: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    /// The accepting task; `None` once it has ended.
    task: Option<JoinHandle<()>>,
}

impl Acceptor {
    fn start(shared: Arc<Shared>, listener: TcpListener) -> Self {
        let (closing, stopping) = (watch::Sender::new(false), watch::Sender::new(false));
        let accepting = accept_loop(shared, listener, closing.subscribe(), stopping.subscribe());
        Self {
            task: Some(tokio::spawn(accepting)),
            closing,
            stopping,
        }
    }

    /// Accepts the connections that wait in the listener's queue and closes the listener; returns whether
    /// it was open.
    async fn stop(&mut self) -> bool {
        self.stopping.send_replace(true);
        self.closing.send_replace(true);
        let Some(task) = self.task.take() else {
            return false;
        };
        if let Err(error) = task.await {
            log::error!(step = "accept", error:%; "the accepting task ended");
        }
        true
    }
}

async fn accept_loop(
    shared: Arc<Shared>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
    mut stopping: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_caller(&shared, stream, &closing),
            Err(error) => {
                log::warn!(step = "accept", error:%; "accepting a connection failed");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    // The runtime may not know yet of connections in the queue, so the system is asked for them.
    if let Ok(listener) = listener.into_std() {
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream.set_nonblocking(true).map(|()| stream);
            if let Ok(stream) = stream.and_then(TcpStream::from_std) {
                spawn_caller(&shared, stream, &closing);
            }
        }
    }
}

/// Counts a connection as open, before the process may see that there is none left, and serves it.
fn spawn_caller(shared: &Arc<Shared>, stream: TcpStream, closing: &watch::Receiver<bool>) {
    shared.lock().open += 1;
    tokio::spawn(serve_caller(shared.clone(), stream, closing.clone()));
}

async fn serve_caller(shared: Arc<Shared>, stream: TcpStream, closing: watch::Receiver<bool>) {
    let options = {
        let state = shared.lock();
        state
            .active
            .as_ref()
            .map_or(DEFAULT_LIMITS, |active| ServeOptions {
                header_bytes: active.config.limits.header_bytes,
                idle: active.config.limits.idle_timeout,
            })
    };
    let service = {
        let shared = shared.clone();
        service_fn(move |request| handler::handle(shared.clone(), request))
    };
    serve_connection(stream, options, service, closing).await;
    shared.lock().open -= 1;
}
