//! Reads the configuration from the upstream that the decision code selects.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kumquatkeel_core::serving::{
    ConfigUpstream, MAX_CONFIRMATION_AGE, ServingConfig, UpstreamStep,
};
use kumquatkeel_daemon::clock::Clock;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use super::frame::{Hello, Update};
use super::hub::{ConfigHub, HeldConfig};
use crate::feed::{FeedEvent, FollowOptions, FollowStep, Follower, ReceiverGone};
use crate::metrics::Instruments;
use crate::net::set_socket_options;
use crate::platform::{FeedItem, FeedKind, ObjectFeed, ReadMode};

/// Longest time to connect to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for an agent's first update, which an agent with a configuration sends at once, and
/// longest pause within it.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time between two calls while the store fails, in waits of a watch call.
const MAX_BACKOFF_SHARE: f64 = 0.8;
/// Longest wait for the first list of targets, which names the agents.
const HOSTS_TIMEOUT: Duration = Duration::from_millis(300);

/// The place of a process among the followers.
#[derive(Debug, Clone)]
pub(crate) struct FollowerSettings {
    /// The process's own address; agents accept followers at the same port.
    pub(crate) own: SocketAddr,
    /// How long after the last confirmation the process reads the store itself.
    pub(crate) patience: Duration,
    /// Longest wait of one watch call to the store.
    pub(crate) watch_wait: Duration,
}

/// Sends each newer configuration as a feed event and to the followers of this process.
pub(crate) struct ConfigFollower {
    settings: FollowerSettings,
    upstream: ConfigUpstream,
    /// The hosts of the region's agents.
    hosts: watch::Receiver<Vec<IpAddr>>,
    store: Follower,
    /// The events of `store`, which pass through the hub.
    stored: mpsc::Receiver<FeedEvent>,
    /// Whether the last step was a call to the store.
    calls_store: bool,
    hub: ConfigHub,
    events: mpsc::Sender<FeedEvent>,
    instruments: Instruments,
    clock: Clock,
}

impl ConfigFollower {
    pub(crate) fn new(
        settings: FollowerSettings,
        feed: Arc<dyn ObjectFeed>,
        hosts: watch::Receiver<Vec<IpAddr>>,
        hub: ConfigHub,
        events: mpsc::Sender<FeedEvent>,
        instruments: Instruments,
    ) -> Self {
        let clock = Clock::start();
        let options = FollowOptions {
            kind: FeedKind::Config,
            mode: ReadMode::Linearizable,
            wait: settings.watch_wait,
        };
        let max_backoff = settings.watch_wait.mul_f64(MAX_BACKOFF_SHARE);
        let (sender, stored) = mpsc::channel(1);
        Self {
            upstream: ConfigUpstream::new(settings.patience, clock.now()),
            settings,
            hosts,
            store: Follower::new(feed, options, sender).with_max_backoff(max_backoff),
            stored,
            calls_store: false,
            hub,
            events,
            instruments,
            clock,
        }
    }

    /// Follows the configuration until the receiver of the events is dropped.
    pub(crate) async fn run(mut self) {
        // Without a list of targets in time, the store is read.
        let _ = timeout(
            HOSTS_TIMEOUT,
            self.hosts.wait_for(|hosts| !hosts.is_empty()),
        )
        .await;
        while self.step().await.is_ok() {}
    }

    async fn step(&mut self) -> Result<(), ReceiverGone> {
        self.update_hosts();
        let was_detached = self.upstream.is_detached();
        let step = self.upstream.next_step(self.clock.now());
        if self.upstream.is_detached() && !was_detached {
            let failures = self.upstream.failures();
            log::warn!(failures; "no agent serves the configuration; watching the store");
        }
        match step {
            UpstreamStep::WatchStore | UpstreamStep::ReadStore => self.call_store().await,
            UpstreamStep::Pause(pause) => {
                sleep(pause).await;
                Ok(())
            }
            UpstreamStep::Follow(host) => {
                let agent = SocketAddr::new(host, self.settings.own.port());
                self.calls_store = false;
                if let Err(error) = self.follow(agent).await? {
                    // A fault that lasts is logged once, however often agents are tried.
                    if self.upstream.failures() == 0 {
                        log::info!(agent:%, error:%; "configuration upstream lost");
                    } else {
                        log::debug!(agent:%, error:%; "configuration upstream failed again");
                    }
                    self.upstream.record_failure();
                }
                Ok(())
            }
        }
    }

    /// Passes the known agents on to the decision; returns whether the preferred upstream changed.
    fn update_hosts(&mut self) -> bool {
        let hosts = self.hosts.borrow_and_update().clone();
        let changed = self.upstream.set_hosts(self.settings.own.ip(), hosts);
        if changed {
            let agent = self.upstream.preferred();
            log::info!(agent:?; "configuration upstream changed");
        }
        changed
    }

    /// Makes one call to the store and passes on what it brings at once.
    async fn call_store(&mut self) -> Result<(), ReceiverGone> {
        if !std::mem::replace(&mut self.calls_store, true) {
            self.store.resume_after(self.hub.position());
        }
        let Self {
            store,
            stored,
            hub,
            events,
            ..
        } = self;
        let step = {
            let mut call = pin!(store.step());
            loop {
                tokio::select! {
                    Some(event) = stored.recv() => pass_on(hub, events, event).await?,
                    step = &mut call => break step?,
                }
            }
        };
        // The call may have ended together with its last event.
        while let Ok(event) = stored.try_recv() {
            pass_on(hub, events, event).await?;
        }
        if let FollowStep::Confirmed(at) = step {
            self.confirm(at);
        }
        Ok(())
    }

    /// Records that the store confirmed the held configuration at this time.
    fn confirm(&mut self, at: Instant) {
        if self.hub.version() == 0 {
            return;
        }
        self.hub.confirm(at);
        let age = at.elapsed();
        self.instruments.record_config_age(age);
        self.upstream.record_confirmation(age, self.clock.now());
    }

    /// Follows an agent until another upstream is preferred; returns an error within the result when
    /// the agent can't be reached or has no recent confirmation.
    async fn follow(&mut self, agent: SocketAddr) -> Result<io::Result<()>, ReceiverGone> {
        let mut stream = match self.connect(agent).await {
            Ok(stream) => stream,
            Err(error) => return Ok(Err(error)),
        };
        let mut pause = FIRST_UPDATE_TIMEOUT;
        loop {
            let update = match Update::read(&mut stream, pause).await {
                Ok(update) => update,
                Err(error) => return Ok(Err(error)),
            };
            pause = MAX_CONFIRMATION_AGE;
            let age = update.age;
            let now = Instant::now();
            let confirmed = now.checked_sub(age).unwrap_or(now);
            if let Err(error) = self.apply(update, confirmed, agent).await? {
                return Ok(Err(error));
            }
            self.confirm(confirmed);
            if age >= MAX_CONFIRMATION_AGE {
                let reason = format!("the last confirmation is {} ms old", age.as_millis());
                return Ok(Err(io::Error::other(reason)));
            }
            self.record_served(agent);
            if self.update_hosts() {
                return Ok(Ok(()));
            }
        }
    }

    fn record_served(&mut self, agent: SocketAddr) {
        if self.upstream.failures() > 0 {
            log::info!(agent:%, failures = self.upstream.failures(); "configuration upstream recovered");
        }
        self.upstream.record_success();
    }

    async fn connect(&self, agent: SocketAddr) -> io::Result<TcpStream> {
        let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(agent)).await??;
        set_socket_options(&stream)?;
        let version = self.hub.version();
        Hello { version }.write(&mut stream).await?;
        Ok(stream)
    }

    /// Passes on the configuration of an update, if it has a newer one.
    async fn apply(
        &self,
        update: Update,
        confirmed: Instant,
        agent: SocketAddr,
    ) -> Result<io::Result<()>, ReceiverGone> {
        let Some(encoded) = update
            .config
            .filter(|_| update.version > self.hub.version())
        else {
            self.hub.advance(update.version, update.position);
            return Ok(Ok(()));
        };
        let config = match decode(&encoded) {
            Ok(config) => config,
            Err(error) => return Ok(Err(error)),
        };
        log::info!(
            version = config.version, position:% = update.position, agent:%, bytes = encoded.len(),
            age_ms = update.age.as_millis() as u64;
            "configuration received from an agent"
        );
        self.hub.update(HeldConfig {
            version: update.version,
            position: update.position,
            encoded,
            confirmed,
        });
        let item = FeedItem::Config {
            config: Box::new(config),
            position: update.position,
        };
        let event = FeedEvent::Changes(vec![item]);
        self.events.send(event).await.map_err(|_| ReceiverGone)?;
        Ok(Ok(()))
    }
}

/// Passes an event of the store on to the followers and to this process.
async fn pass_on(
    hub: &ConfigHub,
    events: &mpsc::Sender<FeedEvent>,
    event: FeedEvent,
) -> Result<(), ReceiverGone> {
    hold(hub, &event);
    events.send(event).await.map_err(|_| ReceiverGone)
}

/// Holds the newest configuration of an event of the store for the followers.
fn hold(hub: &ConfigHub, event: &FeedEvent) {
    let items = match event {
        FeedEvent::Snapshot(items) | FeedEvent::Restored(items) | FeedEvent::Changes(items) => {
            items
        }
        FeedEvent::Failed(_) => return,
    };
    let configs = items.iter().filter_map(|item| match item {
        FeedItem::Config { config, position } => Some((config, *position)),
        _ => None,
    });
    let Some((config, position)) = configs.max_by_key(|(config, _)| config.version) else {
        return;
    };
    if config.version <= hub.version() {
        return hub.advance(config.version, position);
    }
    match postcard::to_allocvec(config) {
        Ok(encoded) => hub.update(HeldConfig {
            version: config.version,
            position,
            encoded: encoded.into(),
            confirmed: Instant::now(),
        }),
        Err(error) => log::error!(position:%, error:%; "configuration not encoded"),
    }
}

fn decode(encoded: &Bytes) -> io::Result<ServingConfig> {
    let config: ServingConfig = postcard::from_bytes(encoded).map_err(io::Error::other)?;
    config.check().map_err(io::Error::other)
}
