//! The gate's state and its decisions.

use std::collections::{BTreeMap, VecDeque};

use kumquatkeel_types::message::{LoadSummary, NotRunReason};
use kumquatkeel_types::{AdapterName, AttemptId, Incarnation, ModelId, Timestamp};

use super::floor::Floors;
use super::keys::Keys;
use super::pool::SlotPool;
use super::record::Record;
use super::{PoolCapacity, PoolId, SchedulerLimits, SchedulerStep};

/// Admits attempts to the target behind an agent, each at most once.
#[derive(Debug)]
pub struct AttemptScheduler {
    pub(super) limits: SchedulerLimits,
    pub(super) incarnation: Incarnation,
    pub(super) draining: bool,
    pub(super) pools: BTreeMap<PoolId, SlotPool>,
    pub(super) records: BTreeMap<AttemptId, Record>,
    pub(super) ended: VecDeque<(Timestamp, AttemptId)>,
    pub(super) joined: BTreeMap<AttemptId, Vec<AttemptId>>,
    pub(super) keys: Keys,
    pub(super) floors: Floors,
    pub(super) running: u32,
    pub(super) waiting: usize,
    pub(super) arrivals: u64,
}

impl AttemptScheduler {
    /// Makes the gate of an agent in this life; it has no lanes yet.
    pub fn new(mut limits: SchedulerLimits, incarnation: Incarnation) -> Self {
        limits.key_age = limits.key_age.max(limits.record_age);
        Self {
            limits,
            incarnation,
            draining: false,
            pools: BTreeMap::new(),
            records: BTreeMap::new(),
            ended: VecDeque::new(),
            joined: BTreeMap::new(),
            keys: Keys::default(),
            floors: Floors::default(),
            running: 0,
            waiting: 0,
            arrivals: 0,
        }
    }

    /// Returns the agent's life.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Says whether the gate takes no new work.
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Says whether nothing runs or waits.
    pub const fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting == 0
    }

    /// Returns the load of one lane; all zero when it is closed.
    pub fn pool_load(&self, pool: &PoolId) -> LoadSummary {
        self.pools.get(pool).map(SlotPool::load).unwrap_or_default()
    }

    /// Returns the lanes that are open or still have work.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Says whether an attempt for this lane and adapter would find it served.
    pub fn serves(&self, pool: &PoolId, adapter: Option<&AdapterName>) -> bool {
        self.pools.get(pool).is_some_and(|l| l.serves(adapter))
    }

    /// Returns the load of the whole target.
    pub fn load(&self) -> LoadSummary {
        LoadSummary {
            running: self.running,
            waiting: u32::try_from(self.waiting).unwrap_or(u32::MAX),
            slots: self.limits.slots,
        }
    }

    /// Says whether an attempt that uses this adapter waits or runs.
    pub fn uses_adapter(&self, model: &ModelId, adapter: &AdapterName) -> bool {
        let pool = PoolId::Model(model.clone());
        self.records.values().any(|record| match record {
            Record::Waiting(job) | Record::Running { job, .. } => {
                job.pool == pool && job.adapter.as_ref() == Some(adapter)
            }
            _ => false,
        })
    }

    /// Opens a lane, or changes what it offers.
    #[must_use]
    pub fn open_pool(
        &mut self,
        pool: PoolId,
        capacity: PoolCapacity,
        now: Timestamp,
    ) -> Vec<SchedulerStep> {
        let state = self.pools.entry(pool).or_default();
        state.slots = capacity.slots;
        state.adapters = capacity.adapters;
        self.fill(now)
    }

    /// Closes a lane: what waits is not run, what runs goes on.
    #[must_use]
    pub fn close_pool(&mut self, pool: &PoolId, now: Timestamp) -> Vec<SchedulerStep> {
        let Some(state) = self.pools.get_mut(pool) else {
            return Vec::new();
        };
        state.slots = 0;
        let waiting: Vec<_> = state.waiting.values().cloned().collect();
        let idle = state.running == 0;
        let steps = self.refuse_all(waiting, NotRunReason::NotResident, now);
        if idle {
            self.pools.remove(pool);
        }
        steps
    }

    /// Takes no new work from now on; what waits is not run, what runs goes on.
    #[must_use]
    pub fn drain(&mut self, now: Timestamp) -> Vec<SchedulerStep> {
        self.draining = true;
        let waiting = self.pools.values().flat_map(|l| l.waiting.values());
        let waiting = waiting.cloned().collect::<Vec<_>>();
        self.refuse_all(waiting, NotRunReason::Draining, now)
    }
}
