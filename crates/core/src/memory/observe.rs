//! The engine's load report, and what it settles.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::document::Fencing;
use kumquatkeel_types::engine::{EngineLoad, EngineReplica};

use super::unit::{Unit, UnitState};
use super::{AllocationId, MemoryTracker};

impl MemoryTracker {
    /// Takes in a load report that was asked for at `asked`; `size_of` gives the memory of a unit
    /// that this life has not loaded itself, in megabytes.
    ///
    /// The report describes the engine `age_ms` before `asked` or later. A report older than one
    /// taken in before says nothing.
    pub fn observe(
        &mut self,
        load: &EngineLoad,
        asked: Timestamp,
        size_of: impl Fn(&AllocationId) -> Option<u32>,
    ) {
        let age = Duration::from_millis(load.age_ms);
        let at = Timestamp::from_micros(asked.since(Timestamp::ZERO.after(age)).as_micros() as u64);
        if at < self.observed_at {
            return;
        }
        self.observed = true;
        self.observed_at = at;
        self.end_inherited(load, at);
        let seen = units_of(load);
        self.settle_units(&seen, at);
        self.adopt_units(&seen, at, &size_of);
        self.explain(load, &seen, &size_of);
        self.removed.retain(|_, removed| at <= *removed);
        if at > self.trusted_from {
            self.quarantined = false;
        }
    }

    /// An engine that checks fencing numbers refuses an earlier life's orders once it has seen
    /// this life's.
    fn end_inherited(&mut self, load: &EngineLoad, at: Timestamp) {
        let fenced = load.fence >= self.settings.incarnation.0;
        if self.settings.fencing != Fencing::Enforced || !fenced {
            return;
        }
        for unit in self.units.values_mut().filter(|u| u.inherited) {
            unit.load_horizon = unit.load_horizon.min(at);
            unit.unload_horizon = unit.unload_horizon.min(at);
        }
    }

    fn settle_units(&mut self, seen: &BTreeMap<AllocationId, bool>, at: Timestamp) {
        let mut gone = Vec::new();
        for (id, unit) in &mut self.units {
            let ordered = matches!(unit.state, UnitState::Ordered(_));
            if ordered || at <= unit.known_at {
                continue;
            }
            match seen.get(id) {
                Some(ready) if at >= unit.unload_horizon => unit.state = state_of(*ready),
                Some(_) => {}
                None if at >= unit.load_horizon => gone.push(id.clone()),
                None => unit.state = UnitState::Doubtful,
            }
        }
        for id in gone {
            self.units.remove(&id);
        }
    }

    /// Takes in units that this life has not loaded.
    fn adopt_units(
        &mut self,
        seen: &BTreeMap<AllocationId, bool>,
        at: Timestamp,
        size_of: &impl Fn(&AllocationId) -> Option<u32>,
    ) {
        for (id, ready) in seen {
            let stale = self.removed.get(id).is_some_and(|removed| at <= *removed);
            if stale || self.units.contains_key(id) {
                continue;
            }
            let unit = Unit::new(size_of(id).unwrap_or(0), state_of(*ready), at);
            self.units.insert(id.clone(), unit);
        }
    }

    /// Counts memory in use beyond what the units in the report account for.
    fn explain(
        &mut self,
        load: &EngineLoad,
        seen: &BTreeMap<AllocationId, bool>,
        size_of: &impl Fn(&AllocationId) -> Option<u32>,
    ) {
        let mut explained = vec![0_u32; self.unexplained.len()];
        for id in seen.keys() {
            let known = self.units.get(id).map(|unit| unit.mb);
            let mb = known.or_else(|| size_of(id)).unwrap_or(0);
            if let Some(sum) = explained.get_mut(usize::from(id.accelerator)) {
                *sum = sum.saturating_add(mb);
            }
        }
        for (index, rest) in self.unexplained.iter_mut().enumerate() {
            let used = load.used_mb.get(index).copied().unwrap_or(0);
            *rest = used.saturating_sub(explained[index]);
        }
    }
}

const fn state_of(ready: bool) -> UnitState {
    if ready {
        UnitState::Ready
    } else {
        UnitState::Warming
    }
}

/// Returns the units of a report, each with whether it is ready.
fn units_of(load: &EngineLoad) -> BTreeMap<AllocationId, bool> {
    let mut units = BTreeMap::new();
    for replica in &load.replicas {
        let base = base_of(replica);
        for adapter in &replica.adapters {
            let adapter = Some(adapter.clone());
            units.insert(
                AllocationId {
                    adapter,
                    ..base.clone()
                },
                replica.ready,
            );
        }
        units.insert(base, replica.ready);
    }
    units
}

fn base_of(replica: &EngineReplica) -> AllocationId {
    AllocationId {
        accelerator: replica.accelerator,
        model: replica.model.clone(),
        adapter: None,
    }
}
