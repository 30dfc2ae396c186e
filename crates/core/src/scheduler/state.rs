//! The scheduler's state, slot pools and drain.

use std::collections::{BTreeMap, VecDeque};

use kumquatkeel_types::message::{LoadSummary, NotRunReason};
use kumquatkeel_types::{AdapterName, AttemptId, Incarnation, ModelId, Timestamp};

use super::keys::KeyTable;
use super::pool::SlotPool;
use super::record::Record;
use super::watermark::Watermarks;
use super::{PoolCapacity, PoolId, SchedulerLimits, SchedulerStep};

/// Schedules attempts on the slots of one target and runs each at most once.
#[derive(Debug)]
pub struct AttemptScheduler {
    pub(super) limits: SchedulerLimits,
    pub(super) incarnation: Incarnation,
    pub(super) draining: bool,
    pub(super) pools: BTreeMap<PoolId, SlotPool>,
    pub(super) records: BTreeMap<AttemptId, Record>,
    pub(super) ended: VecDeque<(Timestamp, AttemptId)>,
    pub(super) joined: BTreeMap<AttemptId, Vec<AttemptId>>,
    pub(super) keys: KeyTable,
    pub(super) watermarks: Watermarks,
    pub(super) running: u32,
    pub(super) waiting: usize,
    pub(super) arrivals: u64,
}

impl AttemptScheduler {
    /// Creates the scheduler of an agent of the given incarnation, without any slot pool.
    ///
    /// An idempotency key is kept at least as long as the record of its attempt.
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
            keys: KeyTable::default(),
            watermarks: Watermarks::default(),
            running: 0,
            waiting: 0,
            arrivals: 0,
        }
    }

    /// Returns the agent's incarnation.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether new attempts are refused because the agent drains.
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns whether no attempt runs or waits.
    pub const fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting == 0
    }

    /// Returns the load of one slot pool; all zero when it does not exist.
    pub fn pool_load(&self, pool: &PoolId) -> LoadSummary {
        self.pools.get(pool).map(SlotPool::load).unwrap_or_default()
    }

    /// Returns the slot pools that are open or still have running attempts.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Returns whether the pool is open and serves the adapter, if one is given.
    pub fn serves(&self, pool: &PoolId, adapter: Option<&AdapterName>) -> bool {
        self.pools.get(pool).is_some_and(|p| p.serves(adapter))
    }

    /// Returns the load of the target over all slot pools.
    pub fn load(&self) -> LoadSummary {
        LoadSummary {
            running: self.running,
            waiting: u32::try_from(self.waiting).unwrap_or(u32::MAX),
            slots: self.limits.slots,
        }
    }

    /// Returns whether an attempt with this adapter waits or runs.
    pub fn uses_adapter(&self, model: &ModelId, adapter: &AdapterName) -> bool {
        let pool = PoolId::Model(model.clone());
        self.records.values().any(|record| match record {
            Record::Waiting(job) | Record::Running { job, .. } => {
                job.pool == pool && job.adapter.as_ref() == Some(adapter)
            }
            _ => false,
        })
    }

    /// Opens a slot pool or changes its capacity, and starts the attempts that now have a slot.
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
        self.start_waiting(now)
    }

    /// Closes a slot pool: refuses its waiting attempts and lets its running ones finish.
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

    /// Starts to drain: refuses all new and waiting attempts and lets the running ones finish.
    #[must_use]
    pub fn drain(&mut self, now: Timestamp) -> Vec<SchedulerStep> {
        self.draining = true;
        let waiting = self.pools.values().flat_map(|p| p.waiting.values());
        let waiting = waiting.cloned().collect::<Vec<_>>();
        self.refuse_all(waiting, NotRunReason::Draining, now)
    }
}
