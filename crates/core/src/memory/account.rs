//! The account's state.

use std::collections::BTreeMap;

use kumquatkeel_types::message::{LoadSummary, OrderAction, ReplicaState, Residency};
use kumquatkeel_types::{ModelId, Timestamp};

use super::unit::{Unit, UnitState, is_load};
use super::{AllocationId, Intent, MemorySettings};

/// Memory that may be in use on each accelerator, whatever became of the orders sent.
#[derive(Debug)]
pub struct MemoryTracker {
    pub(super) settings: MemorySettings,
    pub(super) units: BTreeMap<AllocationId, Unit>,
    /// When units were last removed; older observations may still show them.
    pub(super) removed: BTreeMap<AllocationId, Timestamp>,
    /// Memory in use that no known unit explains, by accelerator, in megabytes.
    pub(super) unexplained: Vec<u32>,
    /// The first observation from this time on ends the quarantine.
    pub(super) trusted_from: Timestamp,
    pub(super) quarantined: bool,
    pub(super) observed: bool,
    pub(super) observed_at: Timestamp,
    pub(super) numbers: u64,
}

impl MemoryTracker {
    /// Starts an account of which nothing is known but that no order of an earlier life is open.
    ///
    /// No order is begun before the first observation newer than `now`.
    pub fn new(settings: MemorySettings, now: Timestamp) -> Self {
        let unexplained = vec![0; usize::from(settings.accelerators)];
        Self {
            settings,
            units: BTreeMap::new(),
            removed: BTreeMap::new(),
            unexplained,
            trusted_from: now,
            quarantined: true,
            observed: false,
            observed_at: Timestamp::ZERO,
            numbers: 0,
        }
    }

    /// Takes in the open orders of an earlier life, which lost the target at `now` or before.
    pub fn recover_intents(&mut self, intents: impl IntoIterator<Item = Intent>, now: Timestamp) {
        let horizon = self.last_arrival(now);
        for Intent { action, mb } in intents {
            let new = Unit::new(mb, UnitState::Doubtful, Timestamp::ZERO);
            let unit = self.units.entry(AllocationId::from(&action)).or_insert(new);
            unit.mb = unit.mb.max(mb);
            unit.inherited = true;
            if is_load(&action) {
                unit.load_horizon = horizon;
            } else {
                unit.unload_horizon = horizon;
            }
        }
    }

    /// Assumes that an earlier life may have sent any order until now: none is begun before an
    /// observation newer than the last moment at which such an order may arrive.
    pub fn quarantine(&mut self, now: Timestamp) {
        self.trusted_from = self.last_arrival(now);
        self.quarantined = true;
    }

    /// Returns the last moment at which an order may arrive that was begun before `now`.
    fn last_arrival(&self, now: Timestamp) -> Timestamp {
        now.after(self.settings.order_lease)
            .after(self.settings.order_delay)
    }

    /// Says whether a load report has been taken in.
    pub const fn has_observed(&self) -> bool {
        self.observed
    }

    /// Returns the memory that may be in use on each accelerator, in megabytes.
    pub fn committed_mb(&self) -> Vec<u32> {
        let mut committed = self.unexplained.clone();
        for (id, unit) in &self.units {
            if let Some(sum) = committed.get_mut(usize::from(id.accelerator)) {
                *sum = sum.saturating_add(unit.mb);
            }
        }
        committed
    }

    /// Returns the memory of an accelerator that is free in every case, in megabytes.
    pub fn free_mb(&self, accelerator: u16) -> u32 {
        let committed = self.committed_mb();
        let used = committed.get(usize::from(accelerator)).copied();
        used.map_or(0, |used| self.settings.accelerator_mb.saturating_sub(used))
    }

    /// Returns the orders that may still be executed, for the agent's next life.
    pub fn intents(&self, now: Timestamp) -> Vec<Intent> {
        let mut intents = Vec::new();
        for (id, unit) in self.units.iter().filter(|(_, u)| u.is_open(now)) {
            let mb = unit.mb;
            let unloading = matches!(&unit.state, UnitState::Ordered(f) if !is_load(&f.action));
            let action = id.action(true);
            intents.push(Intent { action, mb });
            if unloading || unit.unload_horizon > now {
                let action = id.action(false);
                intents.push(Intent { action, mb });
            }
        }
        intents
    }

    /// Returns the replicas with their ready adapters; the loads are left at zero.
    pub fn residency(&self) -> Vec<Residency> {
        let replicas = self.units.iter().filter(|(id, _)| id.adapter.is_none());
        replicas
            .map(|(id, unit)| Residency {
                model: id.model.clone(),
                accelerator: id.accelerator,
                state: unit.reported(),
                adapters: self.ready_adapters(id).cloned().collect(),
                load: LoadSummary::default(),
            })
            .collect()
    }

    /// Returns how many replicas of a model serve.
    pub fn ready_replicas(&self, model: &ModelId) -> u32 {
        let units = self.units.iter();
        let ready = units.filter(|(id, unit)| {
            id.adapter.is_none() && id.model == *model && unit.reported() == ReplicaState::Ready
        });
        u32::try_from(ready.count()).unwrap_or(u32::MAX)
    }

    fn ready_adapters(
        &self,
        base: &AllocationId,
    ) -> impl Iterator<Item = &kumquatkeel_types::AdapterName> {
        let units = self.units.iter();
        units
            .filter(move |(id, unit)| id.base() == *base && unit.state == UnitState::Ready)
            .filter_map(|(id, _)| id.adapter.as_ref())
    }
}

impl AllocationId {
    /// Returns the order that loads or unloads this unit.
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
