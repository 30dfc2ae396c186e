//! The entry's listeners and loops.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use kumquatkeel_core::serving::{DrainPhase, DrainPlan, Route, RouteMatch, Target};
use rand::RngExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

use super::answer::{AnswerBody, not_run, plain};
use super::attempt::Outgoing;
use super::exchange::Exchange;
use super::state::{Active, Shared};
use crate::feed::{FeedEvent, follow};
use crate::gossip::{Datagram, EntryBeat, Gossip, Stamp};
use crate::metrics::Instruments;
use crate::net::{ServeOptions, serve_connection, small_server};
use crate::port::{Dialect, FeedKind, ObjectFeed, ReadMode, RequestFault};
use crate::shutdown::{ProcessSignal, Signals};

/// Shortest pause between two beats to the agents.
const BEAT: Duration = Duration::from_millis(200);
/// Pause that each agent adds, so that a large fleet is told less often.
const BEAT_PER_AGENT: Duration = Duration::from_millis(8);
/// Pause between two sweeps of connections and lapsed targets.
const SWEEP: Duration = Duration::from_millis(500);
/// Pause between two checks of a graceful stop.
const DRAIN_CHECK: Duration = Duration::from_millis(100);
/// When a caller should return to an entry that has no configuration yet.
const BOOT_RETRY: Duration = Duration::from_millis(500);
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
    gossip: Arc<Gossip>,
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
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let instruments = Instruments::start()?;
        if let Some(address) = settings.metrics {
            instruments.serve(address).await?;
        }
        let gossip = Arc::new(Gossip::bind(settings.gossip).await?);
        let frontend = TcpListener::bind(settings.frontend).await?;
        let readiness = TcpListener::bind(settings.readiness).await?;
        let shared = Arc::new(Shared::new(settings, dialect, instruments));
        let ready = shared.clone();
        tokio::spawn(small_server(readiness, move |request, _| is_ready(&ready, request)));
        Ok(Self {
            shared,
            gossip,
            frontend,
        })
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
        let Self {
            shared,
            gossip,
            frontend,
        } = self;
        let (sender, events) = mpsc::channel(16);
        for kind in [FeedKind::Config, FeedKind::Targets] {
            tokio::spawn(follow(feed.clone(), kind, ReadMode::Linearizable, sender.clone()));
        }
        tokio::spawn(learn(shared.clone(), events));
        tokio::spawn(hear(shared.clone(), gossip.clone()));
        tokio::spawn(beat(shared.clone(), gossip.clone()));
        tokio::spawn(sweep(shared.clone()));
        let (closing, closed) = watch::channel(false);
        tokio::spawn(accept(shared.clone(), gossip, frontend, closed));
        loop {
            match signals.next().await {
                ProcessSignal::Reload => log::info!("reload: nothing of the entry's changes"),
                ProcessSignal::Stop => break,
            }
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
        match event {
            FeedEvent::Failed(_) => {
                let now = shared.now();
                shared.lock().table.store_failed(now);
            }
            FeedEvent::Snapshot(items) => shared.take_in(items, true),
            FeedEvent::Changes(items) => shared.take_in(items, false),
        }
    }
}

async fn hear(shared: Arc<Shared>, gossip: Arc<Gossip>) {
    loop {
        let (from, datagram) = gossip.receive().await;
        match datagram {
            Datagram::Agent(beat) => shared.hear_agent(from, beat),
            Datagram::Entry(_) | Datagram::Want(_) | Datagram::Load(_) => {
                log::debug!(peer:% = from; "datagram for an agent");
            }
        }
    }
}

async fn beat(shared: Arc<Shared>, gossip: Arc<Gossip>) {
    let mut stamp = Stamp {
        incarnation: rand::random(),
        count: 0,
    };
    loop {
        let agents = send_beats(&shared, &gossip, &mut stamp);
        let pause = BEAT.max(BEAT_PER_AGENT * agents);
        let jitter = rand::rng().random_range(0.9..1.1);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

/// Sends this entry's state to all agents; returns their number.
fn send_beats(shared: &Shared, gossip: &Gossip, stamp: &mut Stamp) -> u32 {
    let now = shared.now();
    let mut state = shared.lock();
    let demand = state.demand.rates(now);
    let targets: Vec<Arc<Target>> = state.table.all().cloned().collect();
    let mut agents = 0;
    for target in &targets {
        if state.service(&target.service).is_none_or(|s| s.engine.is_none()) {
            continue;
        }
        agents += 1;
        let agent = shared.settings.agent_of(target);
        let planner = state.is_planner(agent, now);
        let beat = EntryBeat {
            stamp: stamp.next(),
            backlog: state.own_work(&target.id),
            adapters: state.take_adapters(&target.id),
            remote: shared.is_remote(&target.data_centre),
            demand: if planner { demand.clone() } else { Vec::new() },
        };
        gossip.send(agent, &Datagram::Entry(beat));
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
        for id in state.table.expire(now) {
            log::info!(target_id:% = id; "lapsed target did not return");
        }
        state.forget_gone();
        state.prune_pools();
    }
}

async fn accept(
    shared: Arc<Shared>,
    gossip: Arc<Gossip>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve(shared.clone(), gossip.clone(), stream, closing.clone());
                tokio::spawn(serving);
            }
            Err(error) => {
                log::warn!(step = "accept", error:%; "listener failed");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(
    shared: Arc<Shared>,
    gossip: Arc<Gossip>,
    stream: TcpStream,
    closing: watch::Receiver<bool>,
) {
    let options = {
        let mut state = shared.lock();
        state.open += 1;
        state.active.as_ref().map_or(BOOT_LIMITS, |active| ServeOptions {
            header_bytes: active.config.limits.header_bytes,
            idle: active.config.limits.idle_timeout,
        })
    };
    let service = {
        let shared = shared.clone();
        service_fn(move |request| handle(shared.clone(), gossip.clone(), request))
    };
    serve_connection(stream, options, service, closing).await;
    shared.lock().open -= 1;
}

async fn handle(
    shared: Arc<Shared>,
    gossip: Arc<Gossip>,
    request: Request<Incoming>,
) -> io::Result<Response<AnswerBody>> {
    let mut response = respond(&shared, gossip, request).await?;
    if shared.draining.borrow().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// A request that a route allows.
struct Admitted {
    route: Arc<Route>,
    service: Arc<str>,
    active: Arc<Active>,
}

async fn respond(
    shared: &Arc<Shared>,
    gossip: Arc<Gossip>,
    request: Request<Incoming>,
) -> io::Result<Response<AnswerBody>> {
    let arrival = Instant::now();
    let Admitted {
        route,
        service,
        active,
    } = match admit(shared, &request) {
        Ok(admitted) => admitted,
        Err(response) => return Ok(response),
    };
    let caller = match shared.dialect.read_request(request.headers()) {
        Ok(caller) => caller,
        Err(fault) => return Ok(bad_request(&fault)),
    };
    let (parts, body) = request.into_parts();
    let limit = active.config.limits.body_bytes;
    let too_large = parts.headers.get(CONTENT_LENGTH).is_some_and(|length| {
        let length = length.to_str().ok().and_then(|l| l.parse::<usize>().ok());
        length.is_some_and(|l| l > limit)
    });
    if too_large {
        return Ok(plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"));
    }
    let patience = caller.patience.unwrap_or(route.deadline).min(route.deadline);
    let body = Limited::new(body, limit).collect();
    let body = match timeout_at(arrival + patience, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Ok(plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"));
        }
        Ok(Err(error)) => return Err(io::Error::other(error)),
        Err(_) => return Ok(plain(StatusCode::REQUEST_TIMEOUT, "the body came too slowly\n")),
    };
    let uri = parts.uri.path_and_query().map_or_else(Uri::default, |p| Uri::from(p.clone()));
    let outgoing = Outgoing {
        attempt: caller.attempt.clone(),
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
    };
    let (route, version) = ((route, service), active.config.version);
    let exchange =
        Exchange::new(shared.clone(), gossip, route, caller, outgoing, (arrival, version));
    exchange.run().await
}

fn admit(
    shared: &Shared,
    request: &Request<Incoming>,
) -> Result<Admitted, Response<AnswerBody>> {
    let active = shared.lock().active.clone();
    let Some(active) = active else {
        log::info!("refused: no configuration yet");
        return Err(not_run("not configured yet\n", BOOT_RETRY));
    };
    let host = (request.uri().host())
        .or_else(|| request.headers().get(HOST).and_then(|h| h.to_str().ok()));
    let Some(host) = host else {
        return Err(plain(StatusCode::BAD_REQUEST, "no host\n"));
    };
    match active.routes.find(host, request.uri().path()) {
        RouteMatch::Found(route) => {
            let Some(service) = draw_service(&route) else {
                return Err(not_run("the route has no service\n", BOOT_RETRY));
            };
            Ok(Admitted {
                route,
                service,
                active,
            })
        }
        RouteMatch::Unknown => {
            let version = active.config.version;
            log::info!(config = version, host, path = request.uri().path(); "no route");
            Err(plain(StatusCode::NOT_FOUND, "no route\n"))
        }
    }
}

/// Draws a service of a route by weight.
fn draw_service(route: &Route) -> Option<Arc<str>> {
    if let [only] = route.shares.as_slice() {
        return Some(only.service.clone());
    }
    let total: f64 = route.shares.iter().map(|s| s.weight).sum();
    if total <= 0.0 {
        return None;
    }
    let mut draw = rand::rng().random_range(0.0..total);
    let found = route.shares.iter().find(|share| {
        draw -= share.weight;
        draw < 0.0
    });
    found.or(route.shares.last()).map(|s| s.service.clone())
}

fn bad_request(fault: &RequestFault) -> Response<AnswerBody> {
    log::info!(fault:%; "bad request");
    plain(StatusCode::BAD_REQUEST, "unreadable request\n")
}
