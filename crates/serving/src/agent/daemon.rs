//! The agent's event loop: polls the engine, handles datagrams, sends orders and heartbeats.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    Acceptance, Backlog, EngineReport, EngineSpec, ListReader, ListRole, ListedVersions,
    LoadCommand, OrderQueue, OriginHosts, OriginTable, Planner, Target, TargetId, VersionSet,
};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_types::Timestamp;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use super::accounts::AccountState;
use super::admission::AdmissionState;
use super::peers::Peers;
use super::permits::PermitState;
use super::quarantine::QuarantineState;
use super::verdicts::sync_verdicts;
use crate::config_relay::{ConfigFollower, ConfigHub, FollowerSettings, serve_followers};
use crate::feed::{EVENT_CAPACITY, follow_list};
use crate::gossip::{AgentHeartbeat, BacklogQuery, BacklogReply, Datagram, GossipSocket, Stamp};
use crate::list_feed::ListFeed;
use crate::locality::Locality;
use crate::metrics::Instruments;
use crate::objects::KnownObjects;
use crate::origin_record::OriginKeeper;
use crate::platform::{
    EngineClient, ObjectFeed, OrderReply, OriginStore, PlatformError, VerdictStore, VersionStore,
};
use crate::signals::{ProcessSignal, Signals};
use crate::start::{StartError, bind_internal, start_metrics};
use crate::version_record::record_versions;

/// Interval between two reads of the engine's state.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long after the last confirmation of the configuration an agent reads the store itself. It only
/// plans by the configuration, so it leaves the link to the entries for longer than they wait.
const CONFIG_PATIENCE: Duration = Duration::from_secs(6);
/// Longest wait of one watch call for the configuration. Each answer is a confirmation for all
/// followers, so it is well below [`kumquatkeel_core::serving::MAX_CONFIRMATION_AGE`].
const CONFIG_WATCH_WAIT: Duration = Duration::from_millis(900);
/// Longest wait of one watch call; an agent's reads may be stale, so it needs no shorter one.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between two steps while orders are queued.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// One heartbeat in this many carries the list of cached models even without a change.
const HEARTBEATS_PER_CACHED_LIST: u64 = 8;
/// Interval between two heartbeats to other agents.
const AGENT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two events of the loop above which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// The settings of an agent, fixed at start.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The instance's name, as written to the logs.
    pub instance: Arc<str>,
    /// The UDP address for datagrams; with port 0 the system chooses the port.
    pub gossip: SocketAddr,
    /// The address that serves the metrics; `None` serves none.
    pub metrics: Option<SocketAddr>,
    /// The address of the target beside the agent.
    pub target: SocketAddr,
    /// Where the instance runs.
    pub locality: Locality,
}

/// An agent with its bound addresses and all state of its event loop.
pub struct Agent {
    pub(super) settings: AgentSettings,
    pub(super) engine: Arc<dyn EngineClient>,
    pub(super) gossip: GossipSocket,
    /// The configuration, for the processes that follow it here.
    pub(super) hub: ConfigHub,
    pub(super) instruments: Instruments,
    pub(super) clock: Clock,
    pub(super) stamp: Stamp,
    pub(super) objects: KnownObjects,
    /// How the list of targets is read.
    pub(super) list: ListFeed,
    /// When this agent last checked whether it is a relay of the list.
    pub(super) list_checked: Timestamp,
    pub(super) peers: Peers,
    /// Origins of streams that entries have asked this agent to keep.
    pub(super) origins: OriginTable,
    /// The hosts of the agents that keep origins, as this agent last knew them.
    pub(super) origin_hosts: OriginHosts,
    /// The requests that are admitted to the engine, and those that wait.
    pub(super) admission: AdmissionState,
    /// What is known of targets that name a limit.
    pub(super) permits: PermitState,
    /// What is known of accounts with a limit.
    pub(super) accounts: AccountState,
    /// What is known of requests that crash targets.
    pub(super) quarantine: QuarantineState,
    /// Where verdicts are kept; `None` if they end with the processes.
    pub(super) verdict_store: Option<Arc<dyn VerdictStore>>,
    /// Where the software versions of services are recorded; `None` if they are not.
    pub(super) version_store: Option<Arc<dyn VersionStore>>,
    /// Where the origins of streams are kept beyond the processes; `None` if they end with them.
    pub(super) origin_store: Option<Arc<dyn OriginStore>>,
    /// Keeps origins in that store while this agent has the duty.
    pub(super) origin_keeper: Option<OriginKeeper>,
    /// The software versions in the record, as this agent last knew it.
    pub(super) recorded_versions: watch::Sender<VersionSet>,
    /// The software versions that this agent records; `None` while others do.
    pub(super) listed_versions: watch::Sender<Option<ListedVersions>>,
    pub(super) orders: OrderQueue,
    pub(super) planner: Planner,
    pub(super) planning: bool,
    pub(super) planning_since: Timestamp,
    pub(super) listening_since: Timestamp,
    /// Start of the engine's incarnation in Unix milliseconds; 0 before the first report.
    pub(super) engine_born: u64,
    /// Whether this incarnation of the engine has been checked for models to restore.
    pub(super) restore_checked: bool,
    /// The models in the engine's last report that was not empty.
    pub(super) last_models: Vec<Arc<str>>,
    /// The engine's last report; `None` while the engine can't be reached.
    pub(super) report: Option<EngineReport>,
    /// The report last announced to entries as a change.
    pub(super) last_published: Option<EngineReport>,
    pub(super) agents_notified: Timestamp,
    /// When it was last sent that the target leaves.
    pub(super) leaving_sent: Option<Timestamp>,
    pub(super) last_round: Timestamp,
    pub(super) last_logged: Timestamp,
    pub(super) engine_unreachable: bool,
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
        let (gossip, followers, address) = bind_internal(settings.gossip).await?;
        settings.gossip = address;
        let hub = ConfigHub::new();
        tokio::spawn(serve_followers(followers, hub.clone()));
        let instruments = start_metrics(settings.metrics).await?;
        let clock = Clock::start();
        let host = settings.gossip.ip();
        let accounts = AccountState::new(host, &settings.locality, clock.now());
        Ok(Self {
            settings,
            engine,
            gossip,
            hub,
            instruments,
            clock,
            stamp: Stamp::start(),
            objects: KnownObjects::default(),
            list: ListFeed::new(ListReader::new(ListRole::Planner, WATCH_TIMEOUT), clock),
            list_checked: Timestamp::ZERO,
            peers: Peers::default(),
            origins: OriginTable::default(),
            origin_hosts: OriginHosts::default(),
            admission: AdmissionState::default(),
            permits: PermitState::default(),
            accounts,
            quarantine: QuarantineState::default(),
            verdict_store: None,
            version_store: None,
            origin_store: None,
            origin_keeper: None,
            recorded_versions: watch::Sender::default(),
            listed_versions: watch::Sender::new(None),
            orders: OrderQueue::default(),
            planner: Planner::default(),
            planning: false,
            planning_since: Timestamp::ZERO,
            listening_since: clock.now(),
            engine_born: 0,
            restore_checked: false,
            last_models: Vec::new(),
            report: None,
            last_published: None,
            agents_notified: Timestamp::ZERO,
            leaving_sent: None,
            last_round: Timestamp::ZERO,
            last_logged: Timestamp::ZERO,
            engine_unreachable: false,
        })
    }

    /// Keeps the verdicts on suspects in a store, where agents that start find them.
    #[must_use]
    pub fn keep_verdicts(mut self, store: Arc<dyn VerdictStore>) -> Self {
        self.verdict_store = Some(store);
        self
    }

    /// Records the software versions of services in a store, where entries that start find them.
    #[must_use]
    pub fn keep_versions(mut self, store: Arc<dyn VersionStore>) -> Self {
        self.version_store = Some(store);
        self
    }

    /// Keeps the origins of streams in a store while targets of several software versions serve, where entries find
    /// them once no process knows them.
    #[must_use]
    pub fn keep_origins(mut self, store: Arc<dyn OriginStore>) -> Self {
        self.origin_store = Some(store);
        self
    }

    /// Returns the bound address for datagrams.
    pub const fn gossip(&self) -> SocketAddr {
        self.settings.gossip
    }

    /// Runs the event loop until the process is told to stop.
    pub async fn run(mut self, feed: Arc<dyn ObjectFeed>, mut signals: Signals) {
        let (sender, mut events) = mpsc::channel(EVENT_CAPACITY);
        let list_feed = self.list.clone();
        tokio::spawn(follow_list(feed.clone(), list_feed, sender.clone()));
        let config = FollowerSettings {
            own: self.settings.gossip,
            patience: CONFIG_PATIENCE,
            watch_wait: CONFIG_WATCH_WAIT,
        };
        let hosts = watch::Sender::new(Vec::new());
        let instruments = self.instruments.clone();
        let follower = ConfigFollower::new(
            config,
            feed,
            hosts.subscribe(),
            self.hub.clone(),
            sender,
            instruments,
        );
        tokio::spawn(follower.run());
        let (found, mut stored_verdicts) = mpsc::channel(1);
        if let Some(store) = self.verdict_store.take() {
            let known = self.quarantine.known.subscribe();
            tokio::spawn(sync_verdicts(store, known, found));
        }
        if let Some(store) = self.version_store.take() {
            let listed = self.listed_versions.subscribe();
            let recorded = self.recorded_versions.clone();
            tokio::spawn(record_versions(store, listed, recorded, self.clock));
        }
        if let Some(store) = self.origin_store.take() {
            let prefix = format!("{:016x}", self.stamp.incarnation);
            self.origin_keeper = Some(OriginKeeper::start(store, prefix, self.clock));
        }
        let mut poll = interval(ENGINE_POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = self.clock.now();
        loop {
            let order_poll = Instant::now() + ORDER_POLL_INTERVAL;
            let idle = self.orders.is_idle();
            let admission = self.admission_due();
            tokio::select! {
                _ = poll.tick() => self.step().await,
                () = sleep_until(order_poll), if !idle => self.step().await,
                () = sleep_until(admission.unwrap_or(order_poll)), if admission.is_some() =>
                    self.advance_admission(),
                (from, datagram) = self.gossip.receive() =>
                    self.handle_datagram(from, datagram).await,
                Some(event) = events.recv() => {
                    let config = self.objects.apply(event, self.clock.now());
                    if let Some(config) = config {
                        self.instruments.record_config(config.version);
                    }
                    self.objects
                        .publish_agent_hosts(&self.settings.locality, &hosts);
                    self.move_origins();
                    self.update_origin_duty();
                    self.update_accounts();
                }
                Some(verdicts) = stored_verdicts.recv() => self.merge_verdicts(verdicts),
                signal = signals.next() => match signal {
                    ProcessSignal::Stop => break,
                    ProcessSignal::Reload => log::info!("reload ignored: settings are fixed"),
                },
            }
            let now = self.clock.now();
            if now.since(last) > PAUSE_THRESHOLD {
                self.reset_after_pause(now, now.since(last));
            }
            last = now;
        }
        log::info!(instance:% = self.settings.instance; "stopped");
    }

    /// Discards the known agents and the planner's state, which are out of date after a pause.
    fn reset_after_pause(&mut self, now: Timestamp, pause: Duration) {
        log::warn!(
            pause_ms = pause.as_millis() as u64;
            "process was paused; discarding stale state"
        );
        self.listening_since = now;
        self.planning = false;
        self.planner = Planner::default();
        self.peers.clear_agents();
    }

    async fn handle_datagram(&mut self, from: SocketAddr, datagram: Datagram) {
        let now = self.clock.now();
        self.accounts.coordinator.record_heard(from.ip(), now);
        match datagram {
            Datagram::Entry(mut heartbeat) => {
                // A heartbeat for an earlier incarnation only shows that the entry is alive.
                if !self.is_target(&heartbeat.target) {
                    heartbeat.backlog = Backlog::default();
                    heartbeat.adapters.clear();
                }
                let is_new = !self.peers.knows_entry(from);
                if self.peers.record_entry(from, &heartbeat, now) {
                    self.orders.record_use(&heartbeat.adapters, now);
                }
                if is_new {
                    self.send_verdicts(from);
                }
            }
            Datagram::Note(update) => {
                if self.is_target(&update.target) {
                    self.peers.record_backlog(from, &update, now);
                }
            }
            Datagram::Query(query) => self.answer_query(from, query),
            Datagram::Began(record) => self.record_origin(record),
            Datagram::FindOrigin(query) => self.answer_origin_query(from, query),
            Datagram::Crash(report) => self.handle_crash(from, report),
            Datagram::Sound(parts) => self.handle_sound(parts),
            Datagram::Quarantine(notice) => self.handle_notice(notice),
            Datagram::Permit(request) => self.handle_permit_request(from, &request),
            Datagram::Limit(record) => self.handle_limit(&record),
            Datagram::LimitNotice(record) => self.handle_limit_notice(&record),
            Datagram::Leaving(incarnation) => self.handle_leaving(&incarnation),
            Datagram::Admit(request) => self.handle_admit_request(from, &request),
            Datagram::AdmitEnd(end) => self.handle_admit_end(from, end),
            Datagram::Account(request) => self.handle_account_request(from, &request),
            Datagram::IssuerSilent(notice) => self.handle_silence_notice(&notice),
            // A host that answers probes counts as able to issue.
            Datagram::Probe if self.accounts.coordinator.has_agents() => {
                self.gossip.send(from, &Datagram::ProbeReply);
            }
            Datagram::Probe => {
                log::debug!(peer:% = from; "ignored probe: the list of agents is not known");
            }
            Datagram::ProbeReply => {}
            Datagram::AdmitReply(_)
            | Datagram::Count(_)
            | Datagram::Origin(_)
            | Datagram::PermitReply(_)
            | Datagram::AccountReply(_)
            | Datagram::List(_) => {
                log::debug!(peer:% = from; "ignored datagram for entries");
            }
            Datagram::Agent(heartbeat) => self.peers.record_agent(from, heartbeat, now),
            Datagram::Alive(stamp) => self.peers.record_alive(from, stamp, now),
            Datagram::Want(request) => {
                if self.is_target(&request.target) {
                    self.orders.request_adapter(request.adapter, now);
                    self.step().await;
                }
            }
            Datagram::Load(command) => {
                if self.is_target(&command.target) {
                    self.accept_load(command, now);
                    self.step().await;
                }
            }
        }
    }

    /// Sends the backlog of all other entries to an entry that is about to choose a target.
    fn answer_query(&self, from: SocketAddr, query: BacklogQuery) {
        let Some(report) = self.report.as_ref() else {
            return;
        };
        if !self.is_target(&query.target) {
            return;
        }
        let others = self.peers.backlog_of_others(from);
        let reply = BacklogReply {
            target: query.target,
            others,
            kv_used: report.kv_used,
        };
        self.gossip.send(from, &Datagram::Count(reply));
    }

    /// Returns whether `id` names the current incarnation of the target beside this agent.
    pub(super) fn is_target(&self, id: &TargetId) -> bool {
        self.target().is_some_and(|target| target.id == *id)
    }

    /// Queues a planner's command for the engine.
    pub(super) fn accept_load(&mut self, command: LoadCommand, now: Timestamp) {
        let model = command.model.clone();
        let evict: Vec<String> = command.evict.iter().map(ToString::to_string).collect();
        let accepted = self.orders.submit(command, now);
        log::info!(model:%, evict:serde, accepted; "load command received");
    }

    /// Returns the newest incarnation that the platform lists at the target's address.
    pub(super) fn target(&self) -> Option<Arc<Target>> {
        let incarnations = self
            .objects
            .table
            .all()
            .filter(|t| t.address == self.settings.target);
        incarnations.max_by_key(|t| t.born).cloned()
    }

    /// Returns the number of listed engines of all services, to whose agents entries send heartbeats.
    fn engine_count(&self) -> usize {
        let Some(config) = self.objects.config() else {
            return 0;
        };
        let newest = self.objects.table.newest();
        newest
            .filter(|t| config.engine(&t.service).is_some())
            .count()
    }

    /// Returns the configuration of the target's engine; `None` without a target, a configuration
    /// or an engine in it.
    pub(super) fn engine_spec(&self) -> Option<&EngineSpec> {
        let target = self.target()?;
        self.objects.config()?.engine(&target.service)
    }

    /// Polls the engine, sends the next order and due heartbeats, and plans if this agent is the
    /// planner.
    async fn step(&mut self) {
        let now = self.clock.now();
        let engines = self.engine_count();
        self.peers.expire(engines, now);
        self.objects.table.expire(now);
        self.poll_engine().await;
        self.restore_models();
        if !self.orders.is_idle() {
            self.send_next_order().await;
        }
        self.send_heartbeats();
        self.judge_crashes();
        self.publish_limits();
        self.tick_accounts();
        self.publish_leaving();
        self.publish_list_notice();
        self.plan();
    }

    /// Returns whether the engine accepts a call of this agent, which is made if so. While it has asked for
    /// a pause, its last report stands.
    fn begin_call(&mut self) -> bool {
        let now = self.clock.now();
        let incarnation = self.target().map(|target| target.incarnation());
        let table = &mut self.objects.table;
        let acceptance = incarnation.map(|target| table.begin_request(&target, now));
        !matches!(acceptance, Some(Acceptance::Paused(_)))
    }

    /// Records what the engine's answer to a call says of further calls.
    fn record_call(&mut self, pause: Option<Duration>) {
        let now = self.clock.now();
        let Some(incarnation) = self.target().map(|target| target.incarnation()) else {
            return;
        };
        let table = &mut self.objects.table;
        let Some(pause) = pause else {
            return table.record_answer(&incarnation, now);
        };
        table.record_pause(&incarnation, pause, now);
        let (id, pause_ms) = (&incarnation.id, pause.as_millis() as u64);
        log::info!(target_id:% = id, pause_ms; "engine asked for a pause");
    }

    /// Reads the engine's state; discards the order queue when a new incarnation answers.
    async fn poll_engine(&mut self) {
        if !self.begin_call() {
            return;
        }
        match self.engine.report().await {
            Ok(status) => {
                self.record_call(None);
                if std::mem::take(&mut self.engine_unreachable) {
                    log::info!(dependency = "engine"; "dependency recovered");
                }
                if status.born != self.engine_born {
                    log::info!(born = status.born; "new engine incarnation");
                    self.engine_born = status.born;
                    self.orders.reset();
                    self.restore_checked = false;
                    self.admission.clear();
                } else if !status.report.models.is_empty() {
                    let held = status.report.models.iter().map(|m| m.name.clone());
                    self.last_models = held.collect();
                }
                self.report = Some(status.report);
                self.record_engine_notice(status.notice);
            }
            Err(PlatformError {
                pause: Some(pause), ..
            }) => self.record_call(Some(pause)),
            Err(error) => {
                if !std::mem::replace(&mut self.engine_unreachable, true) {
                    log::warn!(dependency = "engine", error:%; "dependency unreachable");
                }
                self.report = None;
            }
        }
    }

    /// Queues loads of the previous incarnation's models for an engine that started without any.
    ///
    /// When this process started together with the engine and saw no earlier report, the models
    /// come from the platform's list, which still holds the previous incarnation.
    fn restore_models(&mut self) {
        let Some(report) = self.report.as_ref().filter(|_| !self.restore_checked) else {
            return;
        };
        if self
            .target()
            .is_none_or(|target| target.born != self.engine_born)
        {
            return;
        }
        self.restore_checked = true;
        if !report.models.is_empty() || !self.orders.is_idle() {
            return;
        }
        let mut models = std::mem::take(&mut self.last_models);
        if models.is_empty() {
            let table = &self.objects.table;
            models = table.former_models(self.settings.target, self.engine_born);
        }
        let names: Vec<String> = models.iter().map(ToString::to_string).collect();
        log::info!(
            born = self.engine_born, models:serde = names;
            "engine started empty; restoring models"
        );
        self.orders.restore(models, report);
    }

    /// Sends the engine the next queued order, logs its reply and counts it.
    async fn send_next_order(&mut self) {
        let now = self.clock.now();
        let (Some(target), Some(config)) = (self.target(), self.objects.config()) else {
            return;
        };
        let (Some(spec), Some(report)) = (config.engine(&target.service), &self.report) else {
            return;
        };
        let acceptance = self.objects.table.acceptance(&target.incarnation(), now);
        if matches!(acceptance, Acceptance::Paused(_)) {
            return;
        }
        let Some(order) = self.orders.next_order(report, spec, now) else {
            return;
        };
        let reply = self.engine.order(&target.id, &order).await;
        match &reply {
            Ok(_) => self.record_call(None),
            Err(error) if error.pause.is_some() => self.record_call(error.pause),
            Err(_) => {}
        }
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
            self.poll_engine().await;
        }
    }

    /// Sends due heartbeats to entries, at once to all of them if the engine's models changed, and
    /// to the other agents of the service.
    fn send_heartbeats(&mut self) {
        let now = self.clock.now();
        let (Some(target), Some(report)) = (self.target(), self.report.as_ref()) else {
            return;
        };
        let published = self
            .orders
            .published_report(report, self.engine_spec(), now);
        let changed = self
            .last_published
            .as_ref()
            .is_none_or(|last| residency_changed(last, &published));
        let stamp = self.stamp.advance();
        let cached = (changed || stamp.count.is_multiple_of(HEARTBEATS_PER_CACHED_LIST))
            .then(|| published.cached.clone());
        let mut heartbeat = AgentHeartbeat {
            stamp,
            target: target.id.clone(),
            report: EngineReport {
                cached: Vec::new(),
                ..published.clone()
            },
            cached,
            planner: self.planning,
            entries: self.peers.entry_count() as u16,
            others: Backlog::default(),
            interval_ms: AGENT_HEARTBEAT_INTERVAL.as_millis() as u16,
        };
        for entry in self.peers.due_entries(now, changed) {
            heartbeat.others = entry.others;
            heartbeat.interval_ms = entry.interval.as_millis() as u16;
            self.gossip
                .send(entry.address, &Datagram::Agent(heartbeat.clone()));
        }
        if changed {
            self.last_published = Some(published);
            // The planner gives an engine its next load once it knows of the end of the last one.
            heartbeat.cached = self.report.as_ref().map(|r| r.cached.clone());
            let own = self.settings.gossip;
            let candidates = self.peers.planner_candidates();
            for agent in candidates.into_iter().filter(|agent| *agent != own) {
                self.gossip.send(agent, &Datagram::Agent(heartbeat.clone()));
            }
        }
        if now.since(self.agents_notified) >= AGENT_HEARTBEAT_INTERVAL {
            let own = self.settings.gossip;
            let table = &self.objects.table;
            let agents = table
                .newest()
                .filter(|t| t.service == target.service)
                .map(|t| SocketAddr::new(t.address.ip(), own.port()));
            heartbeat.interval_ms = AGENT_HEARTBEAT_INTERVAL.as_millis() as u16;
            heartbeat.cached = self.report.as_ref().map(|r| r.cached.clone());
            let alive = Datagram::Alive(heartbeat.stamp);
            let heartbeat = Datagram::Agent(heartbeat);
            for agent in agents.filter(|a| *a != own) {
                let candidate = self.peers.is_planner_candidate(agent);
                self.gossip
                    .send(agent, if candidate { &heartbeat } else { &alive });
            }
            self.agents_notified = now;
        }
    }
}

/// Returns whether the loaded or loading models differ, which entries must learn at once.
fn residency_changed(last: &EngineReport, new: &EngineReport) -> bool {
    let loading = |r: &EngineReport| -> Vec<Arc<str>> {
        r.loading.iter().map(|load| load.model.clone()).collect()
    };
    last.models != new.models || loading(last) != loading(new)
}
