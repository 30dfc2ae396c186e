//! The entry's view of targets, agents and configuration, shared by all its requests and loops.

use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use kumquatkeel_core::retry::{AttemptResult, Ejector};
use kumquatkeel_core::serving::{
    Acceptance, AccountDirectory, AdapterKey, Backlog, BandRates, Candidate, DecodeEstimator,
    DemandMeter, ENGINE_SILENCE, EngineReport, EngineSpec, EngineState, FailureMeter, Identity,
    Incarnation, LimitTable, ListReader, ListRole, ListedVersions, OriginHosts, OriginTable,
    PermitHolder, PrefillEstimator, ResidentModel, RetryQuota, Route, RouteTable, ServingConfig,
    StreamPacing, StreamScope, Target, TargetId, Urgency, VersionSet, statement_ttl,
};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_types::Timestamp;
use kumquatkeel_types::secret::KeyDigest;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::account::AccountState;
use super::daemon::EntrySettings;
use super::locality::LocalityState;
use super::open_requests::OpenRequests;
use super::origin_lookup::OriginLookup;
use super::quarantine::QuarantineState;
use super::version_lookup::VersionLookup;
use crate::feed::FeedEvent;
use crate::gossip::{
    AdmitReply, AgentHeartbeat, BacklogQuery, BacklogReply, BacklogUpdate, Datagram, GossipSocket,
    OriginRecord, PermitReply, Stamp,
};
use crate::list_feed::ListFeed;
use crate::metrics::Instruments;
use crate::net::{Pool, PoolLimits};
use crate::objects::{KnownObjects, publish};
use crate::origin_record::{OriginDuty, OriginKeeper};
use crate::platform::{Dialect, VerdictStore};
use kumquatkeel_daemon::buffer::BufferPool;

/// Path cost within a data centre: the round trip.
const LOCAL_PATH_COST: Duration = Duration::from_millis(1);
/// Path cost to another data centre of the region: the round trip, and the price of the bytes
/// expressed as time.
const REGION_PATH_COST: Duration = Duration::from_millis(15);
/// Path cost to another region: the round trip, and the price of the bytes expressed as time.
const REMOTE_PATH_COST: Duration = Duration::from_millis(130);

/// Time without a heartbeat of any agent after which this entry does what agents would do for all entries.
const AGENT_SILENCE: Duration = Duration::from_secs(3);
/// Memory for the answers of targets that are buffered, in bytes.
const BUFFERED_BYTES: usize = 24 * 1024 * 1024;
/// Shortest interval between two writes of origins to the store by one entry of a site without agents.
const ORIGIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The configuration in force, with its routes indexed.
#[derive(Debug)]
pub(super) struct ActiveConfig {
    pub(super) config: Arc<ServingConfig>,
    pub(super) routes: RouteTable,
    /// The services whose requests are paced.
    pub(super) paced: BTreeSet<Arc<str>>,
    /// The client accounts; `None` if requests need none.
    pub(super) accounts: Option<AccountDirectory>,
}

impl ActiveConfig {
    /// Returns on whose behalf a request on a route is sent.
    pub(super) fn identify(&self, route: &Route, key: Option<&KeyDigest>) -> Identity {
        let accounts = self.accounts.as_ref();
        accounts.map_or(Identity::Anonymous, |a| a.identify(route, key))
    }
}

/// Everything that the requests and loops of an entry share.
pub(super) struct Shared {
    pub(super) settings: EntrySettings,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) instruments: Instruments,
    pub(super) clock: Clock,
    /// The requests without a full answer.
    pub(super) open_requests: Arc<OpenRequests>,
    /// When a stop signal arrived; `None` until then.
    pub(super) draining: watch::Sender<Option<Instant>>,
    /// Grows with each state change that a waiting request may need to see.
    pub(super) state_version: watch::Sender<u64>,
    /// Grows with each reply to a backlog query.
    pub(super) backlog_version: watch::Sender<u64>,
    /// Grows with each origin of a stream that an agent reports.
    pub(super) origins_version: watch::Sender<u64>,
    /// The targets that are stalled, as of the last sweep.
    stalled: watch::Sender<BTreeSet<TargetId>>,
    /// The hosts of the region's agents.
    pub(super) agent_hosts: watch::Sender<Vec<IpAddr>>,
    pub(super) gossip: GossipSocket,
    /// How the list of targets is read.
    pub(super) list: ListFeed,
    /// The record of software versions.
    pub(super) versions: VersionLookup,
    /// The memory for answers of targets that are buffered.
    pub(super) buffers: Arc<BufferPool>,
    /// Where trials of quarantined suspects are claimed.
    pub(super) verdict_store: OnceLock<Arc<dyn VerdictStore>>,
    /// The software versions that this entry records; `None` while agents do.
    listed_versions: watch::Sender<Option<ListedVersions>>,
    /// The software versions in the record, as this entry last wrote it.
    pub(super) recorded_versions: watch::Sender<VersionSet>,
    /// Reads origins that no process knows from the platform's store.
    pub(super) origin_lookup: OriginLookup,
    /// Keeps origins in that store where no agent does; unset without a store.
    pub(super) origin_keeper: OnceLock<OriginKeeper>,
    /// How far requests may go; locked after `state` where both are.
    pub(super) locality: Mutex<LocalityState>,
    state: Mutex<State>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").finish_non_exhaustive()
    }
}

/// What the entry remembers of an agent's last heartbeat.
#[derive(Debug, Clone)]
struct AgentPeer {
    seen: Timestamp,
    stamp: Stamp,
    planner: bool,
    /// Time until its next heartbeat.
    interval: Duration,
}

/// The state behind the lock of [`Shared`].
#[derive(Debug)]
pub(super) struct State {
    pub(super) active: Option<Arc<ActiveConfig>>,
    pub(super) objects: KnownObjects,
    pub(super) ejector: Ejector<TargetId>,
    pub(super) estimator: PrefillEstimator,
    pub(super) decode: DecodeEstimator,
    /// Open connections of callers.
    pub(super) open: usize,
    engines: HashMap<TargetId, EngineState>,
    /// The state assumed for a target without an entry in `engines`.
    unknown_engine: EngineState,
    /// A target that starts again may do so at another address.
    pools: HashMap<Incarnation, Arc<Pool>>,
    /// Requests in flight by target and adapter; an adapter at zero is reported once more and then
    /// dropped.
    adapters: HashMap<TargetId, HashMap<AdapterKey, u32>>,
    quotas: HashMap<Arc<str>, RetryQuota>,
    pub(super) demand: DemandMeter,
    pub(super) failures: FailureMeter,
    pub(super) rates: BandRates,
    /// Origins of streams that this entry has begun or asked for.
    pub(super) origins: OriginTable,
    /// The limits that targets name.
    pub(super) limits: LimitTable,
    pub(super) permits: PermitHolder,
    /// The requests that wait for a permit, by the number of their request for it.
    pub(super) permit_waiters: HashMap<u64, oneshot::Sender<PermitReply>>,
    /// The number of the last request for a permit.
    pub(super) next_permit: u64,
    /// The requests that wait for an agent's admission, by their numbers.
    pub(super) admission_waiters: HashMap<u64, mpsc::UnboundedSender<AdmitReply>>,
    /// The number of the last request for admission.
    pub(super) next_admission: u64,
    /// What accounts with a limit may spend here.
    pub(super) accounts: AccountState,
    /// What is known of requests that crash targets.
    pub(super) quarantine: QuarantineState,
    agents: HashMap<SocketAddr, AgentPeer>,
    /// When the last heartbeat of any agent came, or this entry started.
    agent_heard: Timestamp,
    /// When each agent was last sent a heartbeat.
    last_heartbeats: HashMap<SocketAddr, Timestamp>,
    /// The number of entries, as agents report it; at least 1.
    entries: usize,
    /// The stamp of the last datagram sent.
    pub(super) stamp: Stamp,
}

impl Shared {
    pub(super) fn new(
        settings: EntrySettings,
        dialect: Arc<dyn Dialect>,
        instruments: Instruments,
        gossip: GossipSocket,
    ) -> Self {
        let clock = Clock::start();
        let reader = ListReader::new(ListRole::User, settings.watch_wait);
        let accounts = AccountState::new(settings.account_bounds);
        Self {
            settings,
            dialect,
            instruments,
            gossip,
            clock,
            open_requests: Arc::default(),
            list: ListFeed::new(reader, clock),
            versions: VersionLookup::default(),
            buffers: Arc::new(BufferPool::new(BUFFERED_BYTES)),
            verdict_store: OnceLock::new(),
            listed_versions: watch::Sender::new(None),
            recorded_versions: watch::Sender::default(),
            origin_lookup: OriginLookup::default(),
            origin_keeper: OnceLock::new(),
            draining: watch::Sender::new(None),
            state_version: watch::Sender::new(0),
            backlog_version: watch::Sender::new(0),
            origins_version: watch::Sender::new(0),
            stalled: watch::Sender::new(BTreeSet::new()),
            agent_hosts: watch::Sender::new(Vec::new()),
            locality: Mutex::default(),
            state: Mutex::new(State {
                active: None,
                objects: KnownObjects::default(),
                ejector: Ejector::default(),
                estimator: PrefillEstimator::default(),
                decode: DecodeEstimator::default(),
                open: 0,
                engines: HashMap::new(),
                unknown_engine: EngineState::default(),
                pools: HashMap::new(),
                adapters: HashMap::new(),
                quotas: HashMap::new(),
                demand: DemandMeter::default(),
                failures: FailureMeter::default(),
                rates: BandRates::default(),
                origins: OriginTable::default(),
                limits: LimitTable::default(),
                permits: PermitHolder::new(rand::random()),
                permit_waiters: HashMap::new(),
                next_permit: 0,
                admission_waiters: HashMap::new(),
                next_admission: rand::random::<u32>().into(),
                accounts,
                quarantine: QuarantineState::default(),
                agents: HashMap::new(),
                agent_heard: clock.now(),
                last_heartbeats: HashMap::new(),
                entries: 1,
                stamp: Stamp::start(),
            }),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Wakes the requests that wait for a state change.
    pub(super) fn notify(&self) {
        self.state_version.send_modify(|version| *version += 1);
    }

    /// Waits until a target is stalled that a request was sent to at `sent`.
    pub(super) async fn wait_until_stalled(&self, id: &TargetId, sent: Instant) {
        tokio::time::sleep_until(sent + ENGINE_SILENCE).await;
        let mut stalled = self.stalled.subscribe();
        if stalled.wait_for(|ids| ids.contains(id)).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Updates the set of stalled targets, which wakes the requests that wait at them.
    pub(super) fn update_stalled(&self) {
        let now = self.now();
        let state = self.lock();
        let engines = state.engines.iter().filter(|(_, e)| e.is_stalled(now));
        let found: BTreeSet<TargetId> = engines.map(|(id, _)| id.clone()).collect();
        drop(state);
        self.stalled.send_if_modified(|ids| {
            let changed = *ids != found;
            if changed {
                let names: Vec<&str> = found.iter().map(TargetId::as_str).collect();
                log::info!(targets:serde = names; "stalled targets changed");
                *ids = found;
            }
            changed
        });
    }

    /// Asks the agents beside silent engines at which requests wait whether they are alive.
    pub(super) fn probe_silent_agents(&self) {
        let now = self.now();
        let mut state = self.lock();
        let due = state.engines.iter().filter(|(_, e)| e.is_probe_due(now));
        let due: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            let Some(target) = state.objects.table.get(&id).cloned() else {
                continue;
            };
            state.ask_agent(&target, self, now);
        }
    }

    /// Returns the path cost to a data centre.
    pub(super) fn path_cost(&self, data_centre: &str) -> Duration {
        if *self.settings.locality.data_centre == *data_centre {
            LOCAL_PATH_COST
        } else if self.is_remote(data_centre) {
            REMOTE_PATH_COST
        } else {
            REGION_PATH_COST
        }
    }

    /// Returns whether a data centre is in another region.
    pub(super) fn is_remote(&self, data_centre: &str) -> bool {
        self.settings.locality.is_remote(data_centre)
    }

    /// Applies a feed event to the known configuration and targets.
    pub(super) fn apply_feed_event(&self, event: FeedEvent) {
        let now = self.now();
        let mut state = self.lock();
        if let Some(config) = state.objects.apply(event, now) {
            self.instruments.record_config(config.version);
            state.active = Some(Arc::new(ActiveConfig {
                routes: RouteTable::new(&config),
                paced: paced_services(&config),
                accounts: config.directory().unwrap_or_else(|error| {
                    log::error!(error:%; "accounts not usable; all keys are refused");
                    Some(AccountDirectory::default())
                }),
                config,
            }));
        }
        let ended_limits = state.prune_targets(now);
        state
            .objects
            .publish_agent_hosts(&self.settings.locality, &self.agent_hosts);
        drop(state);
        for target in &ended_limits {
            self.record_limit_change(target);
        }
        self.notify();
    }

    /// Applies an agent's heartbeat, unless it is older than the last one from the agent.
    pub(super) fn handle_agent_heartbeat(&self, from: SocketAddr, heartbeat: AgentHeartbeat) {
        let now = self.now();
        let mut state = self.lock();
        state.agent_heard = now;
        let known = state.agents.get(&from);
        if known.is_some_and(|a| !heartbeat.stamp.is_newer_than(a.stamp)) {
            return;
        }
        let interval = Duration::from_millis(u64::from(heartbeat.interval_ms));
        state.agents.insert(
            from,
            AgentPeer {
                seen: now,
                stamp: heartbeat.stamp,
                planner: heartbeat.planner,
                interval,
            },
        );
        state.entries = usize::from(heartbeat.entries.max(1));
        let entries = state.entries;
        state.accounts.holder.record_entries(entries, now);
        if state.objects.table.get(&heartbeat.target).is_none() {
            return;
        }
        let engine = state.engines.entry(heartbeat.target).or_default();
        let notifies = engine.report.models != heartbeat.report.models
            || engine.report.pending != heartbeat.report.pending
            || engine.report.loading.len() != heartbeat.report.loading.len();
        let cached = heartbeat
            .cached
            .unwrap_or_else(|| std::mem::take(&mut engine.report.cached));
        engine.report = EngineReport {
            cached,
            ..heartbeat.report
        };
        engine.reported = Some(now);
        engine.peers_updated = Some(now);
        engine.peer_backlog = heartbeat.others;
        engine.report_interval = interval;
        engine.record_heard(now);
        drop(state);
        if notifies {
            self.notify();
        }
    }

    /// Applies an agent's reply to a backlog query.
    pub(super) fn handle_backlog_reply(&self, reply: &BacklogReply) {
        let now = self.now();
        self.lock().update_engine(&reply.target, |engine| {
            engine.peer_backlog = reply.others;
            engine.peers_updated = Some(now);
            engine.report.kv_used = reply.kv_used;
            engine.record_heard(now);
        });
        self.backlog_version.send_modify(|version| *version += 1);
    }

    /// Records the origin of a stream as an agent reports it.
    pub(super) fn handle_origin(&self, record: OriginRecord) {
        let now = self.now();
        record.insert_into(&mut self.lock().origins, now);
        self.origins_version.send_modify(|version| *version += 1);
    }

    /// Returns the hosts of the agents that keep origins of streams.
    pub(super) fn origin_hosts(&self) -> OriginHosts {
        self.lock().objects.origin_hosts()
    }

    /// Returns the address of the agent on a host.
    pub(super) fn agent_at(&self, host: IpAddr) -> SocketAddr {
        SocketAddr::new(host, self.settings.gossip.port())
    }

    /// Publishes the software versions that are listed, if there is no agent to do so.
    pub(super) fn publish_versions(&self) {
        let now = self.now();
        let state = self.lock();
        let has_agents = now.since(state.agent_heard) < AGENT_SILENCE;
        let listed = (!has_agents).then(|| state.objects.listed_versions(now));
        drop(state);
        let listed = listed.flatten();
        if let Some(keeper) = self.origin_keeper.get() {
            let recorded = self.recorded_versions.borrow();
            let duty = listed.as_ref().map(|listed| {
                OriginDuty::new(listed.versions.clone(), &recorded, ORIGIN_WRITE_INTERVAL)
            });
            keeper.set_duty(duty);
        }
        publish(&self.listed_versions, listed);
    }

    /// Returns the software versions that this entry records, as they change.
    pub(super) fn listed_versions(&self) -> watch::Receiver<Option<ListedVersions>> {
        self.listed_versions.subscribe()
    }

    /// Sends a target's agent the backlog that this entry has there.
    pub(super) fn send_backlog(&self, target: &TargetId) {
        let mut state = self.lock();
        let Some(agent) = (state.objects.table.get(target)).map(|t| self.settings.agent_of(t))
        else {
            return;
        };
        let update = BacklogUpdate {
            stamp: state.stamp.advance(),
            target: target.clone(),
            backlog: state.own_backlog(target),
        };
        drop(state);
        self.gossip.send(agent, &Datagram::Note(update));
    }
}

impl State {
    /// Updates the state of an engine, if it is known.
    pub(super) fn update_engine(&mut self, id: &TargetId, change: impl FnOnce(&mut EngineState)) {
        if let Some(engine) = self.engines.get_mut(id) {
            change(engine);
        }
    }

    /// Refreshes the engine states of a service and returns its usable targets in `scope` without
    /// those already tried; if all were tried, returns all.
    pub(super) fn eligible_targets(
        &mut self,
        service: &str,
        tried: &[TargetId],
        scope: &StreamScope,
        now: Timestamp,
    ) -> Vec<Arc<Target>> {
        self.refresh_engines(service, now);
        let ready = self.objects.table.ready(service);
        let admitted = ready.iter().filter(|t| scope.admits(&t.version));
        let untried = admitted.clone().filter(|t| !tried.contains(&t.id));
        let untried: Vec<Arc<Target>> = untried.cloned().collect();
        if untried.is_empty() {
            admitted.cloned().collect()
        } else {
            untried
        }
    }

    /// Ensures that each usable target of a service has an engine state, and clears the backlog of
    /// other entries where it is out of date.
    fn refresh_engines(&mut self, service: &str, now: Timestamp) {
        for target in self.objects.table.ready(service) {
            let engine = self.engines.entry(target.id.clone()).or_default();
            if engine.reported.is_none() && engine.report.models.is_empty() {
                engine.report = report_from_listing(target);
            }
            engine.expire_peer_backlog(now);
        }
    }

    /// Builds the candidates of a dispatch decision from targets with refreshed engine states.
    pub(super) fn candidates<'a>(
        &'a self,
        shared: &Shared,
        targets: &'a [Arc<Target>],
        urgency: Urgency,
        now: Timestamp,
    ) -> Vec<Candidate<'a>> {
        let candidate = |target: &'a Arc<Target>| {
            let path_cost = shared.path_cost(&target.data_centre);
            Candidate {
                engine: self.engines.get(&target.id).unwrap_or(&self.unknown_engine),
                // A new connection takes one more round trip.
                path_cost: if self.has_idle_connection(target) {
                    path_cost
                } else {
                    path_cost * 2
                },
                penalty: self.failures.penalty(&target.id),
                avoided: self.is_avoided(&target.id, now),
                closed: self.closed_for(target, urgency, now),
            }
        };
        targets.iter().map(candidate).collect()
    }

    /// Asks the agent beside a target for the other entries' backlog.
    pub(super) fn ask_agent(&mut self, target: &Target, shared: &Shared, now: Timestamp) {
        self.update_engine(&target.id, |engine| engine.questions.record(now));
        let query = BacklogQuery {
            target: target.id.clone(),
        };
        let agent = shared.settings.agent_of(target);
        shared.gossip.send(agent, &Datagram::Query(query));
    }

    /// Returns whether the backlog of other entries at a target was reported at or after `since`.
    pub(super) fn has_fresh_backlog(&self, id: &TargetId, since: Timestamp) -> bool {
        let engine = self.engines.get(id);
        engine.is_some_and(|e| e.peers_updated_since(since))
    }

    /// Returns whether a target should get no requests while another can take them: its agent is
    /// silent or it is ejected.
    pub(super) fn is_avoided(&self, id: &TargetId, now: Timestamp) -> bool {
        self.engines.get(id).is_some_and(|e| e.is_silent(now)) || self.ejector.is_ejected(id, now)
    }

    /// Returns the time until a target accepts a request, by what it states about itself; `None` if
    /// it does now.
    fn closed_for(&self, target: &Target, urgency: Urgency, now: Timestamp) -> Option<Duration> {
        let id = &target.id;
        let pause = match self.objects.table.acceptance(&target.incarnation(), now) {
            Acceptance::Paused(left) => Some(left),
            Acceptance::Accepts | Acceptance::Leaves => None,
        };
        let limited = self.limits.limit(id).is_some();
        let closed = limited.then(|| self.permits.closed_for(id, urgency, now));
        pause.max(closed.flatten())
    }

    /// Returns whether an engine holds a model or is loading it.
    pub(super) fn expects_model(&self, id: &TargetId, model: &str) -> bool {
        let report = self.engines.get(id).map(|engine| &engine.report);
        report.is_some_and(|r| r.holds(model) || r.loading.iter().any(|l| *l.model == *model))
    }

    /// Returns the backlog that this entry has at a target.
    pub(super) fn own_backlog(&self, id: &TargetId) -> Backlog {
        self.engines
            .get(id)
            .map_or_else(Backlog::default, |e| e.own_backlog)
    }

    /// Counts a request that uses an adapter at a target.
    pub(super) fn acquire_adapter(&mut self, id: &TargetId, adapter: &AdapterKey) {
        let adapters = self.adapters.entry(id.clone()).or_default();
        *adapters.entry(adapter.clone()).or_default() += 1;
    }

    /// Counts one request fewer that uses an adapter at a target.
    pub(super) fn release_adapter(&mut self, id: &TargetId, adapter: &AdapterKey) {
        let count = self.adapters.get_mut(id).and_then(|a| a.get_mut(adapter));
        if let Some(count) = count {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns whether the next heartbeat to a target's agent has a backlog or an adapter in use.
    pub(super) fn has_news(&self, id: &TargetId) -> bool {
        let adapters = self.adapters.get(id).is_some_and(|used| !used.is_empty());
        adapters || self.own_backlog(id) != Backlog::default()
    }

    /// Returns the adapters used at a target since the last call, and drops those no longer in use.
    pub(super) fn take_used_adapters(&mut self, id: &TargetId) -> Vec<AdapterKey> {
        let Some(adapters) = self.adapters.get_mut(id) else {
            return Vec::new();
        };
        let used = adapters.keys().cloned().collect();
        adapters.retain(|_, count| *count > 0);
        used
    }

    /// Returns the connection pool of a target, which is created on first use.
    pub(super) fn pool(&mut self, target: &Target) -> Arc<Pool> {
        let pool = self.pools.entry(target.incarnation());
        let new = || Arc::new(Pool::new(target.address, PoolLimits::default()));
        pool.or_insert_with(new).clone()
    }

    /// Returns whether the pool of a target has an idle connection.
    pub(super) fn has_idle_connection(&self, target: &Target) -> bool {
        let pool = self.pools.get(&target.incarnation());
        pool.is_some_and(|pool| pool.has_idle())
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn prune_pools(&self) {
        for pool in self.pools.values() {
            pool.prune();
        }
    }

    /// Records the result of an attempt for outlier ejection and the failure penalty.
    pub(super) fn record(&mut self, id: &TargetId, result: AttemptResult, now: Timestamp) {
        let was = self.ejector.is_ejected(id, now);
        self.ejector.record(id, result, now);
        self.failures.record(id, result == AttemptResult::Failed);
        if !was && self.ejector.is_ejected(id, now) {
            log::warn!(target_id:% = id; "target ejected after failures");
        }
    }

    /// Returns the retry quota of a service.
    pub(super) fn quota(
        &mut self,
        service: &Arc<str>,
        settings: &EntrySettings,
    ) -> &mut RetryQuota {
        let new = || {
            let window = settings.retry_window;
            RetryQuota::new(settings.retry_ratio, settings.retry_slack, window)
        };
        self.quotas.entry(service.clone()).or_insert_with(new)
    }

    /// Returns how many entries share the load and the retry budgets, as far as known.
    pub(super) const fn entries(&self) -> usize {
        self.entries
    }

    /// Returns whether the last heartbeat to an agent was at least `interval` ago.
    pub(super) fn is_heartbeat_due(
        &self,
        agent: SocketAddr,
        interval: Duration,
        now: Timestamp,
    ) -> bool {
        let last = self.last_heartbeats.get(&agent);
        last.is_none_or(|at| now.since(*at) >= interval)
    }

    /// Records that a heartbeat was sent to an agent.
    pub(super) fn record_heartbeat(&mut self, agent: SocketAddr, now: Timestamp) {
        self.last_heartbeats.insert(agent, now);
    }

    /// Returns whether the agent at this address is the current placement planner.
    pub(super) fn is_planner(&self, agent: SocketAddr, now: Timestamp) -> bool {
        let peer = self.agents.get(&agent);
        peer.is_some_and(|a| a.planner && now.since(a.seen) < statement_ttl(a.interval))
    }

    /// Returns whether requests to a service's engines are paced by the agents beside them.
    pub(super) fn is_paced(&self, service: &str) -> bool {
        let active = self.active.as_ref();
        active.is_some_and(|active| active.paced.contains(service))
    }

    /// Returns the specification of a service's engines; `None` if the service serves no models.
    pub(super) fn engine_spec(&self, service: &str) -> Option<&EngineSpec> {
        self.objects.config()?.engine(service)
    }

    /// Drops the state of targets and agents that are no longer listed; returns the targets whose limit
    /// ended, as they have started again.
    pub(super) fn prune_targets(&mut self, now: Timestamp) -> Vec<TargetId> {
        let table = &self.objects.table;
        self.engines.retain(|id, _| table.get(id).is_some());
        let is_listed = |incarnation: &Incarnation| {
            let listed = table.get(&incarnation.id);
            listed.is_some_and(|target| target.born == incarnation.born)
        };
        self.pools.retain(|incarnation, _| is_listed(incarnation));
        self.adapters.retain(|id, _| table.get(id).is_some());
        let listed = |agent: &SocketAddr| table.all().any(|t| t.address.ip() == agent.ip());
        self.agents.retain(|agent, _| listed(agent));
        self.last_heartbeats.retain(|agent, _| listed(agent));
        self.ejector.retain(|id| table.get(id).is_some());
        self.failures.retain(|id| table.get(id).is_some());
        let ended_limits = self.limits.follow(table, now);
        let limits = &self.limits;
        self.permits.retain(|id| limits.limit(id).is_some());
        ended_limits
    }
}

/// Returns the services whose requests are paced.
fn paced_services(config: &ServingConfig) -> BTreeSet<Arc<str>> {
    let services = config.services.keys();
    let paced = services.filter(|name| StreamPacing::for_service(config, name).is_some());
    paced.cloned().collect()
}

/// Builds a report from a target's listing, for use until its agent's first heartbeat.
fn report_from_listing(target: &Target) -> EngineReport {
    let model = |name: &Arc<str>| ResidentModel {
        name: name.clone(),
        adapters: Vec::new(),
    };
    EngineReport {
        models: target.models.iter().map(model).collect(),
        ..EngineReport::default()
    }
}
