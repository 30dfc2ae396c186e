//! The entry's listeners and loops.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use kumquatkeel_core::serving::{Backlog, DrainPhase, DrainPlan, Target};
use rand::RngExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::handler;
use super::state::Shared;
use crate::feed::{FeedEvent, follow_all};
use crate::gossip::{Datagram, EntryHeartbeat};
use crate::net::{ServeOptions, serve_connection, serve_listener};
use crate::platform::{Dialect, ObjectFeed, ReadMode};
use crate::signals::{ProcessSignal, Signals};
use crate::start::{StartError, bind_gossip, start_metrics};

/// Shortest pause between two beats to the agents.
const BEAT: Duration = Duration::from_millis(200);
/// Pause that each agent adds, so that a large fleet is told less often.
const BEAT_PER_AGENT: Duration = Duration::from_millis(8);
/// Pause between two beats to an agent in another region with nothing to tell.
const REMOTE_IDLE_BEAT: Duration = Duration::from_millis(1_200);
/// Pause between two sweeps of connections, lapsed targets and targets that stand still.
const SWEEP: Duration = Duration::from_millis(250);
/// Pause between two checks of a graceful stop.
const DRAIN_CHECK: Duration = Duration::from_millis(100);
/// Limits before the first configuration.
const BOOT_LIMITS: ServeOptions = ServeOptions {
    header_bytes: 16 * 1024,
    idle: Duration::from_secs(15),
};

/// What an entry is told at start.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The instance's name.
    pub instance: Arc<str>,
    /// Where it stands.
    pub data_centre: Arc<str>,
    /// The region of each data centre.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// The address for callers.
    pub frontend: SocketAddr,
    /// The address for readiness checks.
    pub readiness: SocketAddr,
    /// The address for datagrams; agents use the same port.
    pub gossip: SocketAddr,
    /// The address for metrics.
    pub metrics: Option<SocketAddr>,
    /// How long a watch of the store waits.
    pub watch_wait: Duration,
    /// The time from a stop signal to the end.
    pub grace: Duration,
    /// Resends allowed for each request, over all entries.
    pub retry_ratio: f64,
    /// Resends allowed besides, over all entries.
    pub retry_slack: f64,
    /// The window of both.
    pub retry_window: Duration,
}

impl EntrySettings {
    /// Returns the address of the agent beside a target.
    pub(super) fn agent_of(&self, target: &Target) -> SocketAddr {
        SocketAddr::new(target.address.ip(), self.gossip.port())
    }
}

/// An entry.
pub struct Entry {
    shared: Arc<Shared>,
    frontend: TcpListener,
}

impl Entry {
    /// Binds the entry's addresses.
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
            "bind the callers' address",
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

    /// Returns the address for callers, whose port the system may have chosen.
    ///
    /// # Errors
    ///
    /// Returns an error when the system does not tell it.
    pub fn frontend(&self) -> io::Result<SocketAddr> {
        self.frontend.local_addr()
    }

    /// Runs until the platform stops the process.
    pub async fn run(self, feed: Arc<dyn ObjectFeed>, mut signals: Signals) {
        let Self { shared, frontend } = self;
        let wait = shared.settings.watch_wait;
        let events = follow_all(&feed, ReadMode::Linearizable, wait);
        tokio::spawn(learn(shared.clone(), events));
        tokio::spawn(hear(shared.clone()));
        tokio::spawn(beat(shared.clone()));
        tokio::spawn(sweep(shared.clone()));
        let (closing, closed) = watch::channel(false);
        tokio::spawn(accept(shared.clone(), frontend, closed));
        while signals.next().await == ProcessSignal::Reload {
            log::info!("reload: nothing of the entry's changes");
        }
        drain(&shared, &closing).await;
        log::info!(instance:% = shared.settings.instance; "stopped");
    }
}

async fn drain(shared: &Shared, closing: &watch::Sender<bool>) {
    let started = Instant::now();
    shared.draining.send_replace(Some(started));
    shared.notify();
    log::info!(open = shared.lock().open; "stop asked for; draining");
    let plan = DrainPlan::new(shared.settings.grace);
    loop {
        let open = shared.lock().open;
        match plan.phase(started.elapsed(), open) {
            DrainPhase::Serving => {}
            DrainPhase::Closing => {
                closing.send_replace(true);
            }
            DrainPhase::Exit => return,
        }
        tokio::time::sleep(DRAIN_CHECK).await;
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

async fn learn(shared: Arc<Shared>, mut events: mpsc::Receiver<FeedEvent>) {
    while let Some(event) = events.recv().await {
        shared.take_in(event);
    }
}

async fn hear(shared: Arc<Shared>) {
    loop {
        let (from, datagram) = shared.gossip.receive().await;
        match datagram {
            Datagram::Agent(beat) => shared.hear_agent(from, beat),
            Datagram::Count(count) => shared.hear_count(&count),
            Datagram::Entry(_)
            | Datagram::Alive(_)
            | Datagram::Want(_)
            | Datagram::Load(_)
            | Datagram::Note(_)
            | Datagram::Query(_) => {
                log::debug!(peer:% = from; "datagram for an agent");
            }
        }
    }
}

async fn beat(shared: Arc<Shared>) {
    loop {
        let agents = send_beats(&shared);
        let pause = BEAT.max(BEAT_PER_AGENT * agents);
        let jitter = rand::rng().random_range(0.9..1.1);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

/// Sends this entry's state to all agents; returns their number.
fn send_beats(shared: &Shared) -> u32 {
    let now = shared.now();
    let mut state = shared.lock();
    let demand = state.demand.rates(now);
    let targets: Vec<Arc<Target>> = state.objects.table.newest().cloned().collect();
    let mut agents = 0;
    for target in &targets {
        if state.engine_spec(&target.service).is_none() {
            continue;
        }
        agents += 1;
        let agent = shared.settings.agent_of(target);
        let planner = state.is_planner(agent, now);
        let beat = EntryHeartbeat {
            stamp: state.stamp.advance(),
            target: target.id.clone(),
            backlog: state.own_work(&target.id),
            adapters: state.take_adapters(&target.id),
            remote: shared.is_remote(&target.data_centre),
            demand: if planner { demand.clone() } else { Vec::new() },
        };
        let idle = beat.backlog == Backlog::default() && beat.adapters.is_empty() && !planner;
        if beat.remote && idle && !state.is_due(agent, REMOTE_IDLE_BEAT, now) {
            continue;
        }
        state.told(agent, now);
        shared.gossip.send(agent, &Datagram::Entry(beat));
    }
    agents
}

async fn sweep(shared: Arc<Shared>) {
    let mut tick = interval(SWEEP);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let now = shared.now();
        let mut state = shared.lock();
        for id in state.objects.table.expire(now) {
            log::info!(target_id:% = id; "lapsed target did not return");
        }
        state.forget_gone();
        state.prune_pools();
        drop(state);
        shared.find_stalled();
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener, closing: watch::Receiver<bool>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve(shared.clone(), stream, closing.clone());
                tokio::spawn(serving);
            }
            Err(error) => {
                log::warn!(step = "accept", error:%; "listener failed");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, closing: watch::Receiver<bool>) {
    let options = {
        let mut state = shared.lock();
        state.open += 1;
        state
            .active
            .as_ref()
            .map_or(BOOT_LIMITS, |active| ServeOptions {
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
