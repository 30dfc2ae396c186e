//! The memory tracker and its queries.

use std::collections::BTreeMap;

use kumquatkeel_types::message::{LoadSummary, OrderAction, ReplicaState, Residency};
use kumquatkeel_types::{ModelId, Timestamp};

use super::allocation::{Allocation, AllocationState, is_load};
use super::{AllocationId, Intent, MemorySettings};

/// Tracks the memory that may be in use on each accelerator, assuming the worst result of every
/// order whose reply was lost.
#[derive(Debug)]
pub struct MemoryTracker {
    pub(super) settings: MemorySettings,
    pub(super) allocations: BTreeMap<AllocationId, Allocation>,
    /// When allocations were last removed; load reports up to then may still list them.
    pub(super) removed_at: BTreeMap<AllocationId, Timestamp>,
    /// Memory in use beyond the known allocations, by accelerator, in megabytes.
    pub(super) unattributed_mb: Vec<u32>,
    /// The first load report newer than this ends the quarantine.
    pub(super) quarantine_until: Timestamp,
    pub(super) quarantined: bool,
    pub(super) observed: bool,
    /// Time described by the newest load report.
    pub(super) observed_at: Timestamp,
    /// Number of the last order begun.
    pub(super) last_number: u64,
}

impl MemoryTracker {
    /// Creates a tracker in quarantine, for a target without open orders of previous incarnations.
    ///
    /// No order is begun before the first load report newer than `now`.
    pub fn new(settings: MemorySettings, now: Timestamp) -> Self {
        let unattributed_mb = vec![0; usize::from(settings.accelerators)];
        Self {
            settings,
            allocations: BTreeMap::new(),
            removed_at: BTreeMap::new(),
            unattributed_mb,
            quarantine_until: now,
            quarantined: true,
            observed: false,
            observed_at: Timestamp::ZERO,
            last_number: 0,
        }
    }

    /// Adds the open orders of a previous incarnation that lost the target at `now` or before.
    pub fn recover_intents(&mut self, intents: impl IntoIterator<Item = Intent>, now: Timestamp) {
        let deadline = self.latest_arrival(now);
        for Intent { action, mb } in intents {
            let new = Allocation::new(mb, AllocationState::Uncertain, Timestamp::ZERO);
            let allocation = self
                .allocations
                .entry(AllocationId::from(&action))
                .or_insert(new);
            allocation.mb = allocation.mb.max(mb);
            allocation.recovered = true;
            if is_load(&action) {
                allocation.load_deadline = deadline;
            } else {
                allocation.unload_deadline = deadline;
            }
        }
    }

    /// Restarts the quarantine, as a previous incarnation may have sent any order until `now`.
    ///
    /// No order is begun before a load report newer than the last moment at which such an order may
    /// arrive.
    pub fn quarantine(&mut self, now: Timestamp) {
        self.quarantine_until = self.latest_arrival(now);
        self.quarantined = true;
    }

    /// Returns the latest time at which an order begun before `now` may reach the engine.
    fn latest_arrival(&self, now: Timestamp) -> Timestamp {
        now.after(self.settings.order_lease)
            .after(self.settings.order_delay)
    }

    /// Returns whether any load report has been applied.
    pub const fn has_observed(&self) -> bool {
        self.observed
    }

    /// Returns the memory that may be in use in the worst case, by accelerator, in megabytes.
    pub fn committed_mb(&self) -> Vec<u32> {
        let mut committed = self.unattributed_mb.clone();
        for (id, allocation) in &self.allocations {
            if let Some(sum) = committed.get_mut(usize::from(id.accelerator)) {
                *sum = sum.saturating_add(allocation.mb);
            }
        }
        committed
    }

    /// Returns the memory of an accelerator that is free even in the worst case, in megabytes; zero
    /// for an index out of range.
    pub fn free_mb(&self, accelerator: u16) -> u32 {
        let committed = self.committed_mb();
        let used = committed.get(usize::from(accelerator)).copied();
        used.map_or(0, |used| self.settings.accelerator_mb.saturating_sub(used))
    }

    /// Returns the orders that may still be executed, to be stored for the next incarnation.
    pub fn intents(&self, now: Timestamp) -> Vec<Intent> {
        let mut intents = Vec::new();
        for (id, allocation) in self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.may_change(now))
        {
            let mb = allocation.mb;
            let unloading = matches!(
                &allocation.state,
                AllocationState::Pending(order) if !is_load(&order.action)
            );
            let action = id.action(true);
            intents.push(Intent { action, mb });
            if unloading || allocation.unload_deadline > now {
                let action = id.action(false);
                intents.push(Intent { action, mb });
            }
        }
        intents
    }

    /// Returns the replicas with their ready adapters; the caller fills in their `load`.
    pub fn residency(&self) -> Vec<Residency> {
        let replicas = self
            .allocations
            .iter()
            .filter(|(id, _)| id.adapter.is_none());
        replicas
            .map(|(id, allocation)| Residency {
                model: id.model.clone(),
                accelerator: id.accelerator,
                state: allocation.replica_state(),
                adapters: self.ready_adapters(id).cloned().collect(),
                load: LoadSummary::default(),
            })
            .collect()
    }

    /// Returns the number of replicas of a model in state [`ReplicaState::Ready`].
    pub fn ready_replicas(&self, model: &ModelId) -> u32 {
        let allocations = self.allocations.iter();
        let ready = allocations.filter(|(id, allocation)| {
            id.adapter.is_none()
                && id.model == *model
                && allocation.replica_state() == ReplicaState::Ready
        });
        u32::try_from(ready.count()).unwrap_or(u32::MAX)
    }

    fn ready_adapters(
        &self,
        base: &AllocationId,
    ) -> impl Iterator<Item = &kumquatkeel_types::AdapterName> {
        let allocations = self.allocations.iter();
        allocations
            .filter(move |(id, other)| id.base() == *base && other.state == AllocationState::Ready)
            .filter_map(|(id, _)| id.adapter.as_ref())
    }
}

impl AllocationId {
    /// Returns the action that loads or unloads this allocation.
    fn action(&self, load: bool) -> OrderAction {
        let model = self.model.clone();
        let accelerator = self.accelerator;
        match (self.adapter.clone(), load) {
            (None, true) => OrderAction::Load { model, accelerator },
            (None, false) => OrderAction::Unload { model, accelerator },
            (Some(adapter), true) => OrderAction::LoadAdapter {
                adapter,
                model,
                accelerator,
            },
            (Some(adapter), false) => OrderAction::UnloadAdapter {
                adapter,
                model,
                accelerator,
            },
        }
    }
}
