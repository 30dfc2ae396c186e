//! What an entry knows, shared by all its requests.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kumquatkeel_core::retry::{AttemptResult, Ejector};
use kumquatkeel_core::serving::{
    AdapterKey, Backlog, BandRates, Candidate, DemandMeter, DrainPlan, EngineReport, EngineSpec,
    EngineState, FailureMeter, PrefillEstimator, ResidentModel, RetryQuota, RouteTable,
    ServingConfig, Target, TargetId,
};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_types::Timestamp;
use tokio::sync::watch;
use tokio::time::Instant;

use super::daemon::EntrySettings;
use crate::feed::FeedEvent;
use crate::gossip::{AgentHeartbeat, BacklogReply, BacklogUpdate, Datagram, GossipSocket, Stamp};
use crate::metrics::Instruments;
use crate::net::{Pool, PoolLimits};
use crate::objects::KnownObjects;
use crate::platform::Dialect;

/// Round trip within a data centre.
const LOCAL_LINK: Duration = Duration::from_millis(1);
/// Round trip to another data centre of the region, with the price of the bytes as time.
const REGION_LINK: Duration = Duration::from_millis(15);
/// Round trip to another region, with the price of the bytes as time.
const REMOTE_LINK: Duration = Duration::from_millis(130);
/// How long another entry's work is believed after its agent's last report.
const PEER_WORK_LIFE: Duration = Duration::from_millis(1_500);
/// How long a planner counts after its last beat.
const PLANNER_LIFE: Duration = Duration::from_millis(1_500);

/// A configuration in force.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) config: Arc<ServingConfig>,
    pub(super) routes: RouteTable,
}

/// State and collaborators of an entry.
pub(super) struct Shared {
    pub(super) settings: EntrySettings,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) instruments: Instruments,
    pub(super) clock: Clock,
    /// When the process was asked to stop.
    pub(super) draining: watch::Sender<Option<Instant>>,
    /// Changes with what requests may wait for.
    pub(super) changed: watch::Sender<u64>,
    /// Changes when an agent has counted its target's work.
    pub(super) counted: watch::Sender<u64>,
    /// The targets that stand still.
    stalled: watch::Sender<BTreeSet<TargetId>>,
    pub(super) gossip: GossipSocket,
    state: Mutex<State>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").finish_non_exhaustive()
    }
}

/// One agent that an entry has heard.
#[derive(Debug, Clone)]
struct AgentPeer {
    seen: Timestamp,
    stamp: Stamp,
    planner: bool,
}

/// The mutable part.
#[derive(Debug)]
pub(super) struct State {
    pub(super) active: Option<Arc<Active>>,
    pub(super) objects: KnownObjects,
    pub(super) ejector: Ejector<TargetId>,
    pub(super) estimator: PrefillEstimator,
    /// Open connections of callers.
    pub(super) open: usize,
    engines: HashMap<TargetId, EngineState>,
    /// The account of a target that has none yet.
    unknown: EngineState,
    pools: HashMap<TargetId, Arc<Pool>>,
    /// Requests that use an adapter at a target; entries without any are told once more.
    adapters: HashMap<TargetId, HashMap<AdapterKey, u32>>,
    quotas: HashMap<Arc<str>, RetryQuota>,
    pub(super) demand: DemandMeter,
    pub(super) failures: FailureMeter,
    pub(super) rates: BandRates,
    agents: HashMap<SocketAddr, AgentPeer>,
    /// When each agent was last told.
    told: HashMap<SocketAddr, Timestamp>,
    entries: usize,
    /// The stamp of this entry's datagrams.
    pub(super) stamp: Stamp,
}

impl Shared {
    pub(super) fn new(
        settings: EntrySettings,
        dialect: Arc<dyn Dialect>,
        instruments: Instruments,
        gossip: GossipSocket,
    ) -> Self {
        Self {
            settings,
            dialect,
            instruments,
            gossip,
            clock: Clock::start(),
            draining: watch::Sender::new(None),
            changed: watch::Sender::new(0),
            counted: watch::Sender::new(0),
            stalled: watch::Sender::new(BTreeSet::new()),
            state: Mutex::new(State {
                active: None,
                objects: KnownObjects::default(),
                ejector: Ejector::default(),
                estimator: PrefillEstimator::default(),
                open: 0,
                engines: HashMap::new(),
                unknown: EngineState::default(),
                pools: HashMap::new(),
                adapters: HashMap::new(),
                quotas: HashMap::new(),
                demand: DemandMeter::default(),
                failures: FailureMeter::default(),
                rates: BandRates::default(),
                agents: HashMap::new(),
                told: HashMap::new(),
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

    /// Wakes requests that wait for an engine's state.
    pub(super) fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Waits until a target stands still.
    pub(super) async fn stall(&self, id: &TargetId) {
        let mut stalled = self.stalled.subscribe();
        if stalled.wait_for(|ids| ids.contains(id)).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Looks for targets that stand still, and tells the requests that wait there.
    pub(super) fn find_stalled(&self) {
        let now = self.now();
        let state = self.lock();
        let engines = state.engines.iter().filter(|(_, e)| e.is_stalled(now));
        let found: BTreeSet<TargetId> = engines.map(|(id, _)| id.clone()).collect();
        drop(state);
        self.stalled.send_if_modified(|ids| {
            let changed = *ids != found;
            if changed {
                let names: Vec<&str> = found.iter().map(TargetId::as_str).collect();
                log::info!(targets:serde = names; "targets that stand still");
                *ids = found;
            }
            changed
        });
    }

    /// Waits until a stopping process must answer what it still holds.
    pub(super) async fn end_of_drain(&self) {
        let mut draining = self.draining.subscribe();
        let Ok(started) = draining.wait_for(Option::is_some).await.map(|since| *since) else {
            return std::future::pending().await;
        };
        if let Some(started) = started {
            let plan = DrainPlan::new(self.settings.grace);
            tokio::time::sleep_until(started + plan.answer_deadline()).await;
        }
    }

    /// Returns the path cost of a data centre.
    pub(super) fn path_cost(&self, data_centre: &str) -> Duration {
        if *self.settings.data_centre == *data_centre {
            LOCAL_LINK
        } else if self.is_remote(data_centre) {
            REMOTE_LINK
        } else {
            REGION_LINK
        }
    }

    /// Says whether a data centre is in another region.
    pub(super) fn is_remote(&self, data_centre: &str) -> bool {
        let region = |name: &str| self.settings.regions.get(name);
        match (region(&self.settings.data_centre), region(data_centre)) {
            (Some(own), Some(other)) => own != other,
            _ => *self.settings.data_centre != *data_centre,
        }
    }

    /// Takes in an event of the feed.
    pub(super) fn take_in(&self, event: FeedEvent) {
        let now = self.now();
        let mut state = self.lock();
        if let Some(config) = state.objects.apply(event, now) {
            let routes = RouteTable::new(&config);
            state.active = Some(Arc::new(Active { config, routes }));
        }
        state.forget_gone();
        drop(state);
        self.notify();
    }

    /// Takes in an agent's beat.
    pub(super) fn hear_agent(&self, from: SocketAddr, beat: AgentHeartbeat) {
        let now = self.now();
        let mut state = self.lock();
        let known = state.agents.get(&from);
        if known.is_some_and(|a| !beat.stamp.is_newer_than(a.stamp)) {
            return;
        }
        state.agents.insert(
            from,
            AgentPeer {
                seen: now,
                stamp: beat.stamp,
                planner: beat.planner,
            },
        );
        state.entries = usize::from(beat.entries.max(1));
        if state.objects.table.get(&beat.target).is_none() {
            return;
        }
        let engine = state.engines.entry(beat.target).or_default();
        let wakes = engine.report.models != beat.report.models
            || engine.report.pending != beat.report.pending
            || engine.report.loading.len() != beat.report.loading.len();
        let cached = beat
            .cached
            .unwrap_or_else(|| std::mem::take(&mut engine.report.cached));
        engine.report = EngineReport {
            cached,
            ..beat.report
        };
        engine.reported = Some(now);
        engine.peers_updated = Some(now);
        engine.peer_backlog = beat.others;
        engine.report_interval = Duration::from_millis(u64::from(beat.interval_ms));
        drop(state);
        if wakes {
            self.notify();
        }
    }

    /// Takes in an agent's count of its target's work.
    pub(super) fn hear_count(&self, count: &BacklogReply) {
        let now = self.now();
        self.lock().with_engine(&count.target, |engine| {
            engine.peer_backlog = count.others;
            engine.peers_updated = Some(now);
            engine.report.kv_used = count.kv_used;
        });
        self.counted.send_modify(|version| *version += 1);
    }

    /// Tells a target's agent this entry's work there.
    pub(super) fn note_work(&self, target: &TargetId) {
        let mut state = self.lock();
        let Some(agent) = (state.objects.table.get(target)).map(|t| self.settings.agent_of(t))
        else {
            return;
        };
        let note = BacklogUpdate {
            stamp: state.stamp.advance(),
            target: target.clone(),
            backlog: state.own_work(target),
        };
        drop(state);
        self.gossip.send(agent, &Datagram::Note(note));
    }
}

impl State {
    /// Changes an engine's account, if the engine is known.
    pub(super) fn with_engine(&mut self, id: &TargetId, change: impl FnOnce(&mut EngineState)) {
        if let Some(engine) = self.engines.get_mut(id) {
            change(engine);
        }
    }

    /// Returns the usable targets of a service that a request was not sent to, or else all; brings
    /// their accounts up to date.
    pub(super) fn options(
        &mut self,
        service: &str,
        tried: &[TargetId],
        now: Timestamp,
    ) -> Vec<Arc<Target>> {
        self.refresh_engines(service, now);
        let ready = self.objects.table.ready(service);
        let untried = ready.iter().filter(|t| !tried.contains(&t.id));
        let untried: Vec<Arc<Target>> = untried.cloned().collect();
        if untried.is_empty() {
            ready.to_vec()
        } else {
            untried
        }
    }

    /// Makes sure that each usable target of a service has an account, and drops outdated counts.
    fn refresh_engines(&mut self, service: &str, now: Timestamp) {
        for target in self.objects.table.ready(service) {
            let engine = self.engines.entry(target.id.clone()).or_default();
            if engine.reported.is_none() && engine.report.models.is_empty() {
                engine.report = listed_report(target);
            }
            if (engine.peers_updated).is_some_and(|at| now.since(at) > PEER_WORK_LIFE) {
                engine.peer_backlog = Backlog::default();
            }
        }
    }

    /// Describes targets whose accounts are up to date to a choice between them.
    pub(super) fn candidates<'a>(
        &'a self,
        shared: &Shared,
        targets: &'a [Arc<Target>],
        now: Timestamp,
    ) -> Vec<Candidate<'a>> {
        let candidate = |target: &'a Arc<Target>| {
            let path_cost = shared.path_cost(&target.data_centre);
            Candidate {
                engine: self.engines.get(&target.id).unwrap_or(&self.unknown),
                // A new connection takes one round trip more.
                path_cost: if self.is_connected(&target.id) {
                    path_cost
                } else {
                    path_cost * 2
                },
                penalty: self.failures.penalty(&target.id),
                avoided: self.is_avoided(&target.id, now),
            }
        };
        targets.iter().map(candidate).collect()
    }

    /// Says whether a target's work was counted at or after `since`.
    pub(super) fn is_counted(&self, id: &TargetId, since: Timestamp) -> bool {
        let engine = self.engines.get(id);
        engine.is_some_and(|e| e.peers_updated_since(since))
    }

    /// Says whether a target should get no work while there is another.
    pub(super) fn is_avoided(&self, id: &TargetId, now: Timestamp) -> bool {
        self.engines.get(id).is_some_and(|e| e.is_silent(now)) || self.ejector.is_ejected(id, now)
    }

    /// Returns the work sent to a target.
    pub(super) fn own_work(&self, id: &TargetId) -> Backlog {
        self.engines
            .get(id)
            .map_or_else(Backlog::default, |e| e.own_backlog)
    }

    /// Counts a request that uses an adapter at a target.
    pub(super) fn use_adapter(&mut self, id: &TargetId, adapter: &AdapterKey) {
        let adapters = self.adapters.entry(id.clone()).or_default();
        *adapters.entry(adapter.clone()).or_default() += 1;
    }

    /// Takes off a request that used an adapter at a target.
    pub(super) fn leave_adapter(&mut self, id: &TargetId, adapter: &AdapterKey) {
        let count = self.adapters.get_mut(id).and_then(|a| a.get_mut(adapter));
        if let Some(count) = count {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the adapters used at a target since the last call.
    pub(super) fn take_adapters(&mut self, id: &TargetId) -> Vec<AdapterKey> {
        let Some(adapters) = self.adapters.get_mut(id) else {
            return Vec::new();
        };
        let used = adapters.keys().cloned().collect();
        adapters.retain(|_, count| *count > 0);
        used
    }

    /// Returns the pool of connections to a target.
    pub(super) fn pool(&mut self, target: &Target) -> Arc<Pool> {
        let pool = self.pools.entry(target.id.clone());
        let new = || Arc::new(Pool::new(target.address, PoolLimits::default()));
        pool.or_insert_with(new).clone()
    }

    /// Says whether a connection to a target is kept.
    pub(super) fn is_connected(&self, id: &TargetId) -> bool {
        self.pools.get(id).is_some_and(|pool| pool.has_idle())
    }

    /// Drops connections that have been idle for too long.
    pub(super) fn prune_pools(&self) {
        for pool in self.pools.values() {
            pool.prune();
        }
    }

    /// Records how an attempt at a target ended.
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

    /// Returns how many entries share the budgets, as far as known.
    pub(super) const fn entries(&self) -> usize {
        self.entries
    }

    /// Says whether the last beat to an agent was at least `pause` ago.
    pub(super) fn is_due(&self, agent: SocketAddr, pause: Duration, now: Timestamp) -> bool {
        let told = self.told.get(&agent);
        told.is_none_or(|at| now.since(*at) >= pause)
    }

    /// Notes a beat to an agent.
    pub(super) fn told(&mut self, agent: SocketAddr, now: Timestamp) {
        self.told.insert(agent, now);
    }

    /// Says whether the agent at this address plans placement.
    pub(super) fn is_planner(&self, agent: SocketAddr, now: Timestamp) -> bool {
        let peer = self.agents.get(&agent);
        peer.is_some_and(|a| a.planner && now.since(a.seen) < PLANNER_LIFE)
    }

    /// Returns what the engines of a service are, where it runs models.
    pub(super) fn engine_spec(&self, service: &str) -> Option<&EngineSpec> {
        self.objects.config()?.engine(service)
    }

    /// Drops the accounts of targets that are not listed any more.
    pub(super) fn forget_gone(&mut self) {
        let table = &self.objects.table;
        self.engines.retain(|id, _| table.get(id).is_some());
        self.pools.retain(|id, _| table.get(id).is_some());
        self.adapters.retain(|id, _| table.get(id).is_some());
        let listed = |agent: &SocketAddr| table.all().any(|t| t.address.ip() == agent.ip());
        self.agents.retain(|agent, _| listed(agent));
        self.told.retain(|agent, _| listed(agent));
        self.ejector.retain(|id| table.get(id).is_some());
        self.failures.retain(|id| table.get(id).is_some());
    }
}

fn listed_report(target: &Target) -> EngineReport {
    let model = |name: &Arc<str>| ResidentModel {
        name: name.clone(),
        adapters: Vec::new(),
    };
    EngineReport {
        models: target.models.iter().map(model).collect(),
        ..EngineReport::default()
    }
}
