//! Orders that have been issued and that no agent report confirms yet.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::message::{OrderAction, ReplicaState};
use kumquatkeel_types::{ModelId, TargetName, Timestamp};

use super::PlanInput;

/// Time after which an unconfirmed load order or adapter order counts as lost.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval at which an unconfirmed unload order is sent again.
const UNLOAD_RETRY_INTERVAL: Duration = Duration::from_secs(8);
/// Time after the first unload order for which a replica that is still reported does not count.
///
/// Until then a delayed order may still unload it.
const UNLOAD_TIMEOUT: Duration = Duration::from_mins(2);

/// Identifies a replica across planning rounds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReplicaKey {
    /// The target that holds the replica.
    pub(super) target: TargetName,
    /// The accelerator's index on the target.
    pub(super) accelerator: u16,
    /// The name and version of the model.
    pub(super) model: ModelId,
}

/// When an unload was first and last ordered.
#[derive(Debug, Clone, Copy)]
struct UnloadTimes {
    first: Timestamp,
    last: Timestamp,
}

/// The unconfirmed orders of one planner, with the time of each order.
#[derive(Debug, Default)]
pub(super) struct PendingOrders {
    loads: BTreeMap<ReplicaKey, Timestamp>,
    unloads: BTreeMap<ReplicaKey, UnloadTimes>,
    adapters: BTreeMap<OrderKey, Timestamp>,
}

/// Identifies an adapter order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    target: TargetName,
    action: OrderAction,
}

impl PendingOrders {
    /// Removes the model orders that a report confirms, and all orders that have timed out.
    pub(super) fn settle(&mut self, input: &PlanInput<'_>) {
        let states: BTreeMap<ReplicaKey, ReplicaState> = input
            .replicas
            .iter()
            .map(|r| {
                let key = ReplicaKey {
                    target: r.target.clone(),
                    accelerator: r.accelerator,
                    model: r.model.clone(),
                };
                (key, r.state)
            })
            .collect();
        self.loads.retain(|key, ordered_at| {
            !states.contains_key(key) && input.now.since(*ordered_at) < LOAD_TIMEOUT
        });
        self.unloads.retain(|key, times| {
            states.contains_key(key) && input.now.since(times.first) < UNLOAD_TIMEOUT
        });
        self.adapters
            .retain(|_, ordered_at| input.now.since(*ordered_at) < LOAD_TIMEOUT);
    }

    /// Returns the replicas whose load is ordered and that no report shows yet.
    pub(super) fn loads(&self) -> impl Iterator<Item = &ReplicaKey> {
        self.loads.keys()
    }

    /// Returns whether an unload of the replica is ordered and unconfirmed.
    pub(super) fn is_unloading(&self, key: &ReplicaKey) -> bool {
        self.unloads.contains_key(key)
    }

    /// Returns the unloads that are due to be ordered again and restarts their interval.
    pub(super) fn retry_unloads(&mut self, now: Timestamp) -> Vec<ReplicaKey> {
        let mut due = Vec::new();
        for (key, times) in &mut self.unloads {
            if now.since(times.last) >= UNLOAD_RETRY_INTERVAL {
                times.last = now;
                due.push(key.clone());
            }
        }
        due
    }

    /// Records that a load is ordered at `now`.
    pub(super) fn record_load(&mut self, key: ReplicaKey, now: Timestamp) {
        self.loads.insert(key, now);
    }

    /// Records that an unload is ordered at `now`; an order that is pending keeps its times.
    pub(super) fn record_unload(&mut self, key: ReplicaKey, now: Timestamp) {
        self.unloads.entry(key).or_insert(UnloadTimes {
            first: now,
            last: now,
        });
    }

    /// Records an adapter order; returns `false` if the same order is already pending.
    pub(super) fn record_adapter(
        &mut self,
        target: &TargetName,
        action: &OrderAction,
        now: Timestamp,
    ) -> bool {
        let key = OrderKey {
            target: target.clone(),
            action: action.clone(),
        };
        if self.adapters.contains_key(&key) {
            return false;
        }
        self.adapters.insert(key, now);
        true
    }

    /// Returns the number of pending adapter orders.
    pub(super) fn adapters_in_flight(&self) -> usize {
        self.adapters.len()
    }

    /// Removes an adapter order that a report confirms.
    pub(super) fn confirm_adapter(&mut self, target: &TargetName, action: &OrderAction) {
        let key = OrderKey {
            target: target.clone(),
            action: action.clone(),
        };
        self.adapters.remove(&key);
    }
}
