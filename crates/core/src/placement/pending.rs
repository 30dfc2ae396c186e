//! Orders that were given and whose effect no report shows yet.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::message::{OrderAction, ReplicaState};
use kumquatkeel_types::{ModelId, TargetName, Timestamp};

use super::PlanInput;

/// Time after which a load or an adapter's order without effect is taken for lost.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which an unload without effect is given again.
const UNLOAD_REPEAT: Duration = Duration::from_secs(8);
/// Time for which a copy is not relied on after an unload was ordered.
const UNLOAD_DOUBT: Duration = Duration::from_mins(2);

/// The place of a model's copy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CopyKey {
    /// The target.
    pub(super) target: TargetName,
    /// The accelerator's index on the target.
    pub(super) accelerator: u16,
    /// The model.
    pub(super) model: ModelId,
}

/// When an order was given.
#[derive(Debug, Clone, Copy)]
struct Given {
    first: Timestamp,
    last: Timestamp,
}

/// The orders in flight of one planner.
#[derive(Debug, Default)]
pub(super) struct Pending {
    loads: BTreeMap<CopyKey, Timestamp>,
    unloads: BTreeMap<CopyKey, Given>,
    adapters: BTreeMap<OrderKey, Timestamp>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    target: TargetName,
    action: OrderAction,
}

impl Pending {
    /// Forgets the orders whose effect is reported, and those taken for lost.
    pub(super) fn settle(&mut self, input: &PlanInput<'_>) {
        let states: BTreeMap<CopyKey, ReplicaState> = input
            .replicas
            .iter()
            .map(|r| {
                let key = CopyKey {
                    target: r.target.clone(),
                    accelerator: r.accelerator,
                    model: r.model.clone(),
                };
                (key, r.state)
            })
            .collect();
        self.loads.retain(|key, given| {
            !states.contains_key(key) && input.now.since(*given) < LOAD_TIMEOUT
        });
        self.unloads.retain(|key, given| {
            states.contains_key(key) && input.now.since(given.first) < UNLOAD_DOUBT
        });
        self.adapters
            .retain(|_, given| input.now.since(*given) < LOAD_TIMEOUT);
    }

    /// Returns the copies whose load no report shows yet.
    pub(super) fn loads(&self) -> impl Iterator<Item = &CopyKey> {
        self.loads.keys()
    }

    /// Says whether an unload of this copy was ordered.
    pub(super) fn is_unloading(&self, key: &CopyKey) -> bool {
        self.unloads.contains_key(key)
    }

    /// Returns the unloads that seem lost and are to be given again.
    pub(super) fn repeat_unloads(&mut self, now: Timestamp) -> Vec<CopyKey> {
        let mut due = Vec::new();
        for (key, given) in &mut self.unloads {
            if now.since(given.last) >= UNLOAD_REPEAT {
                given.last = now;
                due.push(key.clone());
            }
        }
        due
    }

    /// Notes a load.
    pub(super) fn note_load(&mut self, key: CopyKey, now: Timestamp) {
        self.loads.insert(key, now);
    }

    /// Notes an unload.
    pub(super) fn note_unload(&mut self, key: CopyKey, now: Timestamp) {
        self.unloads.entry(key).or_insert(Given {
            first: now,
            last: now,
        });
    }

    /// Notes an adapter's order; says no when the same order is still in flight.
    pub(super) fn note_adapter(
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

    /// Returns the number of adapters' orders in flight.
    pub(super) fn adapters_in_flight(&self) -> usize {
        self.adapters.len()
    }

    /// Forgets an adapter's order whose effect is reported.
    pub(super) fn adapter_done(&mut self, target: &TargetName, action: &OrderAction) {
        let key = OrderKey {
            target: target.clone(),
            action: action.clone(),
        };
        self.adapters.remove(&key);
    }
}
