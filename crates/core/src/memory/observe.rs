//! Load reports of the engine, which settle uncertain allocations and end the quarantine.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::document::Fencing;
use kumquatkeel_types::engine::{EngineLoad, EngineReplica};

use super::allocation::{Allocation, AllocationState};
use super::{AllocationId, MemoryTracker};

impl MemoryTracker {
    /// Applies a load report that was requested at `requested_at`; `memory_mb` returns the size of
    /// an allocation that this incarnation has not loaded itself, in megabytes.
    ///
    /// The report describes the engine `age_ms` before `requested_at` or later. A report older than
    /// one already applied is ignored.
    pub fn observe(
        &mut self,
        load: &EngineLoad,
        requested_at: Timestamp,
        memory_mb: impl Fn(&AllocationId) -> Option<u32>,
    ) {
        let age = Duration::from_millis(load.age_ms);
        let at = Timestamp::from_micros(
            requested_at.since(Timestamp::ZERO.after(age)).as_micros() as u64
        );
        if at < self.observed_at {
            return;
        }
        self.observed = true;
        self.observed_at = at;
        self.expire_recovered(load, at);
        let reported = reported_allocations(load);
        self.settle_allocations(&reported, at);
        self.adopt_allocations(&reported, at, &memory_mb);
        self.update_unattributed(load, &reported, &memory_mb);
        self.removed_at.retain(|_, removed_at| at <= *removed_at);
        if at > self.quarantine_until {
            self.quarantined = false;
        }
    }

    /// Ends the deadlines of orders of previous incarnations at an engine that enforces fencing.
    ///
    /// Such an engine refuses these orders once it has seen the fencing token of this incarnation.
    fn expire_recovered(&mut self, load: &EngineLoad, at: Timestamp) {
        let fenced = load.fence >= self.settings.incarnation.0;
        if self.settings.fencing != Fencing::Enforced || !fenced {
            return;
        }
        for allocation in self
            .allocations
            .values_mut()
            .filter(|allocation| allocation.recovered)
        {
            allocation.load_deadline = allocation.load_deadline.min(at);
            allocation.unload_deadline = allocation.unload_deadline.min(at);
        }
    }

    /// Applies a report to the tracked allocations, where no delayed order may contradict it.
    fn settle_allocations(&mut self, reported: &BTreeMap<AllocationId, bool>, at: Timestamp) {
        let mut absent = Vec::new();
        for (id, tracked) in &mut self.allocations {
            let pending = matches!(tracked.state, AllocationState::Pending(_));
            if pending || at <= tracked.changed_at {
                continue;
            }
            match reported.get(id) {
                Some(ready) if at >= tracked.unload_deadline => tracked.state = state_of(*ready),
                Some(_) => {}
                None if at >= tracked.load_deadline => absent.push(id.clone()),
                None => tracked.state = AllocationState::Uncertain,
            }
        }
        for id in absent {
            self.allocations.remove(&id);
        }
    }

    /// Adds reported allocations that this incarnation has not loaded.
    fn adopt_allocations(
        &mut self,
        reported: &BTreeMap<AllocationId, bool>,
        at: Timestamp,
        memory_mb: &impl Fn(&AllocationId) -> Option<u32>,
    ) {
        for (id, ready) in reported {
            let stale = self
                .removed_at
                .get(id)
                .is_some_and(|removed_at| at <= *removed_at);
            if stale || self.allocations.contains_key(id) {
                continue;
            }
            let allocation = Allocation::new(memory_mb(id).unwrap_or(0), state_of(*ready), at);
            self.allocations.insert(id.clone(), allocation);
        }
    }

    /// Recomputes the memory in use beyond the sizes of the reported allocations.
    fn update_unattributed(
        &mut self,
        load: &EngineLoad,
        reported: &BTreeMap<AllocationId, bool>,
        memory_mb: &impl Fn(&AllocationId) -> Option<u32>,
    ) {
        let mut reported_mb = vec![0_u32; self.unattributed_mb.len()];
        for id in reported.keys() {
            let known = self.allocations.get(id).map(|allocation| allocation.mb);
            let mb = known.or_else(|| memory_mb(id)).unwrap_or(0);
            if let Some(sum) = reported_mb.get_mut(usize::from(id.accelerator)) {
                *sum = sum.saturating_add(mb);
            }
        }
        for (index, unattributed) in self.unattributed_mb.iter_mut().enumerate() {
            let used = load.used_mb.get(index).copied().unwrap_or(0);
            *unattributed = used.saturating_sub(reported_mb[index]);
        }
    }
}

const fn state_of(ready: bool) -> AllocationState {
    if ready {
        AllocationState::Ready
    } else {
        AllocationState::Loading
    }
}

/// Returns the allocations in a load report, each with whether it is ready.
fn reported_allocations(load: &EngineLoad) -> BTreeMap<AllocationId, bool> {
    let mut allocations = BTreeMap::new();
    for replica in &load.replicas {
        let base = replica_id(replica);
        for adapter in &replica.adapters {
            let adapter = Some(adapter.clone());
            allocations.insert(
                AllocationId {
                    adapter,
                    ..base.clone()
                },
                replica.ready,
            );
        }
        allocations.insert(base, replica.ready);
    }
    allocations
}

fn replica_id(replica: &EngineReplica) -> AllocationId {
    AllocationId {
        accelerator: replica.accelerator,
        model: replica.model.clone(),
        adapter: None,
    }
}
