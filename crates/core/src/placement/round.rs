//! One planning round: its layout, its orders, and the state that a planner keeps between rounds.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::message::OrderAction;

use super::LoadLimiter;
use super::layout::{Layout, MinReplicas, UnloadCheck};
use super::model_row::{Availability, Requirement};
use super::pending::{PendingOrders, ReplicaKey};
use super::{PlanInput, PlannedOrder};

/// Time for which a planned load may wait for memory or for the weight store's limits.
const PLANNED_LOAD_TIMEOUT: Duration = Duration::from_secs(90);

/// A load that is planned and not ordered yet.
#[derive(Debug, Clone, Copy)]
struct PlannedLoad {
    planned_at: Timestamp,
    /// Rank among loads of the same urgency and priority, the highest first.
    value: f64,
}

/// The state that a planner keeps between rounds.
#[derive(Debug, Default)]
pub(super) struct PlannerState {
    /// Orders that no report confirms yet.
    pub(super) pending: PendingOrders,
    limiter: LoadLimiter,
    planned_loads: BTreeMap<ReplicaKey, PlannedLoad>,
}

impl PlannerState {
    /// Drops the planned loads that are not ordered yet.
    pub(super) fn clear_planned_loads(&mut self) {
        self.planned_loads.clear();
    }
}

/// One planning round.
pub(super) struct Round<'a> {
    /// The input of the round.
    pub(super) input: &'a PlanInput<'a>,
    /// The layout, including the loads and unloads planned so far.
    pub(super) layout: Layout,
    state: &'a mut PlannerState,
    orders: Vec<PlannedOrder>,
}

impl<'a> Round<'a> {
    /// Starts a round from the reports, the unconfirmed orders and the loads planned before.
    pub(super) fn start(input: &'a PlanInput<'a>, state: &'a mut PlannerState) -> Self {
        state.pending.settle(input);
        let layout = Layout::new(input, &state.pending);
        let mut round = Self {
            input,
            layout,
            state,
            orders: Vec::new(),
        };
        round.retry_unloads();
        round.restore_planned_loads();
        round
    }

    /// Repeats unconfirmed unloads, except for replicas that are needed by now.
    fn retry_unloads(&mut self) {
        for key in self.state.pending.retry_unloads(self.input.now) {
            let Some((model, accel)) = self.locate(&key) else {
                continue;
            };
            if self.layout.check_unload(model, accel, MinReplicas::One) == UnloadCheck::Allowed {
                self.push_unload(&key);
            }
        }
    }

    /// Adds the loads planned in earlier rounds to the layout, and drops those that have timed out
    /// or are no longer possible.
    fn restore_planned_loads(&mut self) {
        let now = self.input.now;
        let previous = std::mem::take(&mut self.state.planned_loads);
        for (key, planned) in previous {
            let Some((model, accel)) = self.locate(&key) else {
                continue;
            };
            let accelerator = &self.layout.accelerators[accel];
            let row = &self.layout.models[model];
            let fits = accelerator.unreserved_mb + accelerator.releasing_mb >= row.need_mb();
            let fresh = now.since(planned.planned_at) < PLANNED_LOAD_TIMEOUT;
            if fresh && fits && accelerator.usable && row.is_served() && !row.is_on(accel) {
                self.layout.add_expected_replica(model, accel);
                self.state.planned_loads.insert(key, planned);
            }
        }
    }

    /// Returns the indices of the model and the accelerator of a replica.
    fn locate(&self, key: &ReplicaKey) -> Option<(usize, usize)> {
        let model = self.layout.find_model(&key.model)?;
        let accel = self.layout.find_accelerator(&key.target, key.accelerator)?;
        Some((model, accel))
    }

    /// Returns the number of planned loads that are not ordered yet.
    pub(super) fn planned_loads(&self) -> usize {
        self.state.planned_loads.len()
    }

    /// Plans a load; `value` ranks it among loads of the same urgency and priority.
    pub(super) fn plan_load(&mut self, model: usize, accel: usize, value: f64) {
        let planned = PlannedLoad {
            planned_at: self.input.now,
            value,
        };
        let key = self.layout.replica_key(model, accel);
        self.layout.add_expected_replica(model, accel);
        self.state.planned_loads.insert(key, planned);
    }

    /// Orders an unload if enough other replicas remain, and returns whether it did.
    ///
    /// If too few of the remaining replicas are on fenced targets, it orders the fencing instead.
    pub(super) fn unload(&mut self, model: usize, accel: usize, min_replicas: MinReplicas) -> bool {
        match self.layout.check_unload(model, accel, min_replicas) {
            UnloadCheck::Allowed => {
                let key = self.layout.replica_key(model, accel);
                self.layout.mark_unloading(model, accel);
                self.push_unload(&key);
                self.state.pending.record_unload(key, self.input.now);
                true
            }
            UnloadCheck::FenceFirst(accels) => {
                self.fence(&accels);
                false
            }
            UnloadCheck::Needed => false,
        }
    }

    /// Conveys the planner's epoch to agents with a load order for a replica that is already ready.
    ///
    /// Such an order changes nothing, but makes the agent refuse orders of earlier epochs.
    fn fence(&mut self, accels: &[usize]) {
        for &accel in accels {
            let ready = self.layout.accelerators[accel].models.iter().find(|&&m| {
                let row = &self.layout.models[m];
                row.replica_index(accel)
                    .is_some_and(|i| row.replicas[i].availability == Availability::Ready)
            });
            if let Some(&model) = ready {
                let order = load_order(&self.layout.replica_key(model, accel));
                if !self.orders.contains(&order) {
                    self.orders.push(order);
                }
            }
        }
    }

    fn push_unload(&mut self, key: &ReplicaKey) {
        self.orders.push(PlannedOrder {
            target: key.target.clone(),
            action: OrderAction::Unload {
                model: key.model.clone(),
                accelerator: key.accelerator,
            },
        });
    }

    /// Orders the load or unload of an adapter, unless the order is pending or the limit on adapter
    /// orders in flight is reached.
    pub(super) fn order_adapter(&mut self, accel: usize, action: OrderAction) {
        let limit = usize::from(self.input.document.policy.adapter_flight.max(1));
        if self.state.pending.adapters_in_flight() >= limit {
            return;
        }
        let target = &self.layout.accelerators[accel].target;
        if self
            .state
            .pending
            .record_adapter(target, &action, self.input.now)
        {
            self.orders.push(PlannedOrder {
                target: target.clone(),
                action,
            });
        }
    }

    /// Removes an adapter order that a report confirms.
    pub(super) fn confirm_adapter(&mut self, accel: usize, action: &OrderAction) {
        let target = &self.layout.accelerators[accel].target;
        self.state.pending.confirm_adapter(target, action);
    }

    /// Orders the planned loads that fit within free memory and the weight store's limits, the most
    /// urgent first, and returns all orders of the round.
    pub(super) fn finish(mut self) -> Vec<PlannedOrder> {
        let unreported = self.state.pending.loads().count();
        let policy = &self.input.document.policy;
        let loading = self.input.loading + unreported;
        let mut grant = (self.state.limiter).grant(
            self.input.now,
            loading,
            policy.load_flight,
            policy.load_rate,
            f64::from(policy.load_flight.max(1)),
        );
        for key in self.planned_loads_by_urgency() {
            if grant == 0 {
                break;
            }
            if self.try_order_load(&key) {
                grant -= 1;
            }
        }
        self.orders
    }

    /// Orders a planned load; returns `false` if its memory is not free yet.
    fn try_order_load(&mut self, key: &ReplicaKey) -> bool {
        let Some((model, accel)) = self.locate(key) else {
            return false;
        };
        let need_mb = self.layout.models[model].need_mb();
        if self.layout.accelerators[accel].headroom_mb < need_mb {
            return false;
        }
        self.layout.accelerators[accel].headroom_mb -= need_mb;
        self.state.limiter.take();
        self.state.planned_loads.remove(key);
        self.state.pending.record_load(key.clone(), self.input.now);
        self.orders.push(load_order(key));
        true
    }

    /// Returns the planned loads by urgency, priority and value.
    fn planned_loads_by_urgency(&self) -> Vec<ReplicaKey> {
        let mut sorted: Vec<_> = self
            .state
            .planned_loads
            .iter()
            .filter_map(|(key, planned)| {
                let model = self.layout.find_model(&key.model)?;
                let priority = self.layout.models[model].priority;
                Some((self.urgency(model), priority, planned.value, key.clone()))
            })
            .collect();
        sorted.sort_by(|a, b| {
            let rank = (a.0, a.1).cmp(&(b.0, b.1));
            rank.then(b.2.total_cmp(&a.2)).then(a.3.cmp(&b.3))
        });
        sorted.into_iter().map(|(.., key)| key).collect()
    }

    /// Returns how urgent a further replica of a model is.
    pub(super) fn urgency(&self, model: usize) -> Urgency {
        let ready =
            |requirement: &Requirement| self.layout.ready_for(model, requirement, None).count();
        let requirements = &self.layout.models[model].requirements;
        if requirements
            .iter()
            .any(|requirement| ready(requirement) == 0)
        {
            return Urgency::Unreachable;
        }
        if requirements
            .iter()
            .any(|requirement| ready(requirement) < requirement.floor)
        {
            return Urgency::Floor;
        }
        Urgency::Demand
    }
}

/// How urgent a load is, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// A deployment has no ready replica of the model.
    Unreachable,
    /// A deployment has fewer ready replicas than its floor.
    Floor,
    /// All floors are met; the replica would only serve demand.
    Demand,
}

fn load_order(key: &ReplicaKey) -> PlannedOrder {
    PlannedOrder {
        target: key.target.clone(),
        action: OrderAction::Load {
            model: key.model.clone(),
            accelerator: key.accelerator,
        },
    }
}
