//! The agent's loop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    Backlog, EngineReport, EngineSpec, LoadCommand, OrderQueue, Planner, Target, TargetId,
};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_types::Timestamp;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use super::peers::Peers;
use crate::feed::follow_all;
use crate::gossip::{AgentHeartbeat, BacklogQuery, BacklogReply, Datagram, GossipSocket, Stamp};
use crate::metrics::Instruments;
use crate::objects::KnownObjects;
use crate::platform::{EngineClient, ObjectFeed, OrderReply, ReadMode};
use crate::signals::{ProcessSignal, Signals};
use crate::start::{StartError, bind_gossip, start_metrics};

/// Pause between two reads of the engine's state.
const POLL: Duration = Duration::from_millis(100);
/// How long a watch waits; an agent needs no fresher objects than its stale reads give.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Pause while an order is to be given.
const ORDER_POLL: Duration = Duration::from_millis(15);
/// Beats between two that carry the list of cached models.
const CACHED_EVERY: u64 = 8;
/// Pause between two beats to other agents.
const AGENT_BEAT: Duration = Duration::from_millis(500);
/// A gap between two steps that shows that the process was paused.
const PAUSE: Duration = Duration::from_secs(1);

/// What an agent is told at start.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The instance's name.
    pub instance: Arc<str>,
    /// The address for datagrams.
    pub gossip: SocketAddr,
    /// The address for metrics.
    pub metrics: Option<SocketAddr>,
    /// The target beside the agent.
    pub target: SocketAddr,
}

/// An agent.
pub struct Agent {
    pub(super) settings: AgentSettings,
    pub(super) engine: Arc<dyn EngineClient>,
    pub(super) gossip: GossipSocket,
    pub(super) instruments: Instruments,
    pub(super) clock: Clock,
    pub(super) stamp: Stamp,
    pub(super) objects: KnownObjects,
    pub(super) peers: Peers,
    pub(super) orders: OrderQueue,
    pub(super) planner: Planner,
    pub(super) planning: bool,
    pub(super) planning_since: Timestamp,
    pub(super) listening: Timestamp,
    pub(super) born: u64,
    /// Whether this incarnation of the engine has been looked at for models to restore.
    pub(super) restored: bool,
    /// The models that the engine held last.
    pub(super) held: Vec<Arc<str>>,
    pub(super) report: Option<EngineReport>,
    pub(super) beat: Option<EngineReport>,
    pub(super) told_agents: Timestamp,
    pub(super) round: Timestamp,
    pub(super) logged: Timestamp,
    pub(super) engine_lost: bool,
}

impl Agent {
    /// Binds the agent's addresses.
    ///
    /// # Errors
    ///
    /// Returns an error that names the step when an address can't be bound.
    pub async fn start(
        mut settings: AgentSettings,
        engine: Arc<dyn EngineClient>,
    ) -> Result<Self, StartError> {
        let (gossip, address) = bind_gossip(settings.gossip).await?;
        settings.gossip = address;
        let instruments = start_metrics(settings.metrics).await?;
        let clock = Clock::start();
        Ok(Self {
            settings,
            engine,
            gossip,
            instruments,
            clock,
            stamp: Stamp::start(),
            objects: KnownObjects::default(),
            peers: Peers::default(),
            orders: OrderQueue::default(),
            planner: Planner::default(),
            planning: false,
            planning_since: Timestamp::ZERO,
            listening: clock.now(),
            born: 0,
            restored: false,
            held: Vec::new(),
            report: None,
            beat: None,
            told_agents: Timestamp::ZERO,
            round: Timestamp::ZERO,
            logged: Timestamp::ZERO,
            engine_lost: false,
        })
    }

    /// Returns the address for datagrams, whose port the system may have chosen.
    pub const fn gossip(&self) -> SocketAddr {
        self.settings.gossip
    }

    /// Runs until the platform stops the process.
    pub async fn run(mut self, feed: Arc<dyn ObjectFeed>, mut signals: Signals) {
        let mut events = follow_all(&feed, ReadMode::Stale, WATCH_WAIT);
        let mut poll = interval(POLL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = self.clock.now();
        loop {
            let order_poll = Instant::now() + ORDER_POLL;
            let idle = self.orders.is_idle();
            tokio::select! {
                _ = poll.tick() => self.step().await,
                () = sleep_until(order_poll), if !idle => self.step().await,
                (from, datagram) = self.gossip.receive() => self.hear(from, datagram).await,
                Some(event) = events.recv() => {
                    self.objects.apply(event, self.clock.now());
                }
                signal = signals.next() => match signal {
                    ProcessSignal::Stop => break,
                    ProcessSignal::Reload => log::info!("reload: nothing of the agent's changes"),
                },
            }
            let now = self.clock.now();
            if now.since(last) > PAUSE {
                self.resume(now, now.since(last));
            }
            last = now;
        }
        log::info!(instance:% = self.settings.instance; "stopped");
    }

    /// Starts listening anew after a pause, since what was known is out of date.
    fn resume(&mut self, now: Timestamp, pause: Duration) {
        log::warn!(pause_ms = pause.as_millis() as u64; "the process was paused; listening anew");
        self.listening = now;
        self.planning = false;
        self.planner = Planner::default();
        self.peers.forget_agents();
    }

    async fn hear(&mut self, from: SocketAddr, datagram: Datagram) {
        let now = self.clock.now();
        match datagram {
            Datagram::Entry(mut beat) => {
                // A beat about an earlier incarnation only shows that the entry is there.
                if !self.is_target(&beat.target) {
                    beat.backlog = Backlog::default();
                    beat.adapters.clear();
                }
                if self.peers.hear_entry(from, &beat, now) {
                    self.orders.record_use(&beat.adapters, now);
                }
            }
            Datagram::Note(note) => {
                if self.is_target(&note.target) {
                    self.peers.hear_work(from, &note, now);
                }
            }
            Datagram::Query(query) => self.answer(from, query),
            Datagram::Count(_) => log::debug!(peer:% = from; "datagram for an entry"),
            Datagram::Agent(beat) => self.peers.hear_agent(from, beat, now),
            Datagram::Alive(stamp) => self.peers.hear_alive(from, stamp, now),
            Datagram::Want(want) => {
                if self.is_target(&want.target) {
                    self.orders.request_adapter(want.adapter, now);
                    self.step().await;
                }
            }
            Datagram::Load(command) => {
                if self.is_target(&command.target) {
                    self.accept(command, now);
                    self.step().await;
                }
            }
        }
    }

    /// Tells an entry that is about to choose how much work its request would meet.
    fn answer(&self, from: SocketAddr, query: BacklogQuery) {
        let Some(report) = self.report.as_ref() else {
            return;
        };
        if !self.is_target(&query.target) {
            return;
        }
        let others = self.peers.count_work(from);
        let count = BacklogReply {
            target: query.target,
            others,
            kv_used: report.kv_used,
        };
        self.gossip.send(from, &Datagram::Count(count));
    }

    /// Says whether an id is that of the incarnation beside this agent.
    fn is_target(&self, id: &TargetId) -> bool {
        self.target().is_some_and(|target| target.id == *id)
    }

    pub(super) fn accept(&mut self, command: LoadCommand, now: Timestamp) {
        let model = command.model.clone();
        let evict: Vec<String> = command.evict.iter().map(ToString::to_string).collect();
        let accepted = self.orders.submit(command, now);
        log::info!(model:%, evict:serde, accepted; "load command");
    }

    /// Returns the incarnation beside this agent as the platform lists it.
    pub(super) fn target(&self) -> Option<Arc<Target>> {
        let here = self
            .objects
            .table
            .all()
            .filter(|t| t.address == self.settings.target);
        here.max_by_key(|t| t.born).cloned()
    }

    pub(super) fn spec(&self) -> Option<&EngineSpec> {
        let target = self.target()?;
        self.objects.config()?.engine(&target.service)
    }

    async fn step(&mut self) {
        let now = self.clock.now();
        self.peers.expire(now);
        self.objects.table.expire(now);
        self.read_engine().await;
        self.restore();
        if !self.orders.is_idle() {
            self.give_order().await;
        }
        self.publish();
        self.plan();
    }

    async fn read_engine(&mut self) {
        match self.engine.report().await {
            Ok(status) => {
                if std::mem::take(&mut self.engine_lost) {
                    log::info!(dependency = "engine"; "dependency regained");
                }
                if status.born != self.born {
                    log::info!(born = status.born; "engine incarnation");
                    self.born = status.born;
                    self.orders.reset();
                    self.restored = false;
                } else if !status.report.models.is_empty() {
                    let held = status.report.models.iter().map(|m| m.name.clone());
                    self.held = held.collect();
                }
                self.report = Some(status.report);
            }
            Err(error) => {
                if !std::mem::replace(&mut self.engine_lost, true) {
                    log::warn!(dependency = "engine", error:%; "dependency lost");
                }
                self.report = None;
            }
        }
    }

    /// Has an engine that started empty load what its predecessor held.
    ///
    /// The platform's list still names it, also when this process started at the same moment.
    fn restore(&mut self) {
        let Some(report) = self.report.as_ref().filter(|_| !self.restored) else {
            return;
        };
        if self.target().is_none_or(|target| target.born != self.born) {
            return;
        }
        self.restored = true;
        if !report.models.is_empty() || !self.orders.is_idle() {
            return;
        }
        let mut models = std::mem::take(&mut self.held);
        if models.is_empty() {
            let table = &self.objects.table;
            models = table.former_models(self.settings.target, self.born);
        }
        let names: Vec<String> = models.iter().map(ToString::to_string).collect();
        log::info!(born = self.born, models:serde = names; "engine started empty; restoring");
        self.orders.restore(models, report);
    }

    async fn give_order(&mut self) {
        let now = self.clock.now();
        let (Some(target), Some(config)) = (self.target(), self.objects.config()) else {
            return;
        };
        let (Some(spec), Some(report)) = (config.engine(&target.service), &self.report) else {
            return;
        };
        let Some(order) = self.orders.next_order(report, spec, now) else {
            return;
        };
        let reply = self.engine.order(&target.id, &order).await;
        let text = match &reply {
            Ok(reply) => reply.to_string(),
            Err(error) => error.to_string(),
        };
        self.instruments.record_order(match &reply {
            Ok(OrderReply::Accepted) => "accepted",
            Ok(OrderReply::AlreadyApplied) => "holds",
            Ok(OrderReply::Conflict) => "conflict",
            Ok(OrderReply::Refused) => "refused",
            Err(_) => "lost",
        });
        log::info!(
            target_id:% = target.id, load = order.load, model:% = order.model,
            adapter = order.adapter.as_deref().unwrap_or(""), expected = order.expected,
            reply = text;
            "order"
        );
        if matches!(reply, Ok(OrderReply::Accepted)) {
            self.orders.record_accepted(&order, now);
        }
        if reply.is_ok() {
            self.read_engine().await;
        }
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let (Some(target), Some(report)) = (self.target(), self.report.as_ref()) else {
            return;
        };
        let shown = self.orders.published_report(report, self.spec(), now);
        let news = self.beat.as_ref().is_none_or(|last| differs(last, &shown));
        let stamp = self.stamp.advance();
        let cached =
            (news || stamp.count.is_multiple_of(CACHED_EVERY)).then(|| shown.cached.clone());
        let mut beat = AgentHeartbeat {
            stamp,
            target: target.id.clone(),
            report: EngineReport {
                cached: Vec::new(),
                ..shown.clone()
            },
            cached,
            planner: self.planning,
            entries: self.peers.entry_count() as u16,
            others: Backlog::default(),
            interval_ms: AGENT_BEAT.as_millis() as u16,
        };
        for entry in self.peers.due_entries(now, news) {
            beat.others = entry.others;
            beat.interval_ms = entry.interval.as_millis() as u16;
            self.gossip
                .send(entry.address, &Datagram::Agent(beat.clone()));
        }
        if news {
            self.beat = Some(shown);
        }
        if now.since(self.told_agents) >= AGENT_BEAT {
            let own = self.settings.gossip;
            let table = &self.objects.table;
            let agents = table
                .newest()
                .filter(|t| t.service == target.service)
                .map(|t| SocketAddr::new(t.address.ip(), own.port()));
            beat.interval_ms = AGENT_BEAT.as_millis() as u16;
            beat.cached = self.report.as_ref().map(|r| r.cached.clone());
            let alive = Datagram::Alive(beat.stamp);
            let beat = Datagram::Agent(beat);
            for agent in agents.filter(|a| *a != own) {
                let may_plan = self.peers.may_plan(agent);
                self.gossip
                    .send(agent, if may_plan { &beat } else { &alive });
            }
            self.told_agents = now;
        }
    }
}

/// Says whether entries should hear of a change at once.
fn differs(last: &EngineReport, new: &EngineReport) -> bool {
    let loading = |r: &EngineReport| -> Vec<Arc<str>> {
        r.loading.iter().map(|load| load.model.clone()).collect()
    };
    last.models != new.models || loading(last) != loading(new)
}
