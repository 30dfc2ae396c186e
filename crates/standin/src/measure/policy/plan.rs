//! The holder of the placement lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kumquatkeel_core::placement::{
    Demand, PlacedReplica, PlacementPlugin, PlacementPolicy, PlanInput, PlannedOrder,
};
use kumquatkeel_core::plugin::find_plugin;
use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::{Member, Order, ReplicaState, Role};
use kumquatkeel_types::{Epoch, ModelId, TargetName, Timestamp};

/// Time without a report after which a target is taken for dead.
const DEAD_AFTER: Duration = Duration::from_secs(3);
/// Rounds over which arrivals are counted.
const WINDOW: usize = 5;
/// The planner's lease epoch.
const EPOCH: Epoch = Epoch(1);

/// Requests of one model in one round.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Traffic {
    /// Requests that arrived.
    pub(super) arrived: u32,
    /// Requests that were answered late or not run.
    pub(super) unmet: u32,
    /// Requests in progress.
    pub(super) running: u32,
}

/// What the planner has heard, and its policy.
pub(super) struct Planner {
    policy: Box<dyn PlacementPolicy>,
    reports: BTreeMap<TargetName, (Member, Timestamp)>,
    traffic: Vec<BTreeMap<ModelId, Traffic>>,
    orders: u64,
}

impl Planner {
    /// Starts a planner with the document's policy; none when it isn't known.
    pub(super) fn new(document: &Document) -> Option<Self> {
        let plugin = find_plugin::<PlacementPlugin>(&document.policy.placement).ok()?;
        Some(Self {
            policy: (plugin.make)(),
            reports: BTreeMap::new(),
            traffic: Vec::new(),
            orders: 0,
        })
    }

    /// Takes in an agent's report.
    pub(super) fn hear(&mut self, member: Member, now: Timestamp) {
        let Role::Agent(target) = member.role.clone() else {
            return;
        };
        let newer = |(known, _): &(Member, Timestamp)| known.version < member.version;
        if self.reports.get(&target).is_none_or(newer) {
            self.reports.insert(target, (member, now));
        }
    }

    /// Takes in the entries' counts of a round.
    pub(super) fn count(&mut self, traffic: BTreeMap<ModelId, Traffic>) {
        self.traffic.push(traffic);
        if self.traffic.len() > WINDOW {
            self.traffic.remove(0);
        }
    }

    fn demand(&self) -> BTreeMap<ModelId, Demand> {
        let mut demand: BTreeMap<ModelId, Demand> = BTreeMap::new();
        let rounds = self.traffic.len().max(1) as f64;
        for (model, traffic) in self.traffic.iter().flatten() {
            let sum = demand.entry(model.clone()).or_default();
            sum.rate += f64::from(traffic.arrived) / rounds;
            sum.unmet += f64::from(traffic.unmet) / rounds;
            sum.running += f64::from(traffic.running) / rounds;
        }
        demand
    }

    /// Plans a round.
    pub(super) fn plan(
        &mut self,
        document: &Document,
        additive_only: bool,
        now: Timestamp,
    ) -> Vec<PlannedOrder> {
        let alive = |heard: Timestamp| now.since(heard) < DEAD_AFTER;
        let live: Vec<&Member> = self
            .reports
            .values()
            .filter(|(_, heard)| alive(*heard))
            .map(|(member, _)| member)
            .collect();
        let mut replicas = Vec::new();
        let mut serving = BTreeSet::new();
        let mut fenced = BTreeSet::new();
        let mut committed = BTreeMap::new();
        for member in live {
            let (Role::Agent(target), Some(status)) = (&member.role, &member.target) else {
                continue;
            };
            serving.insert(target.clone());
            committed.insert(target.clone(), status.committed_mb.clone());
            if status.epoch == EPOCH {
                fenced.insert(target.clone());
            }
            replicas.extend(status.replicas.iter().map(|r| PlacedReplica {
                target: target.clone(),
                accelerator: r.accelerator,
                model: r.model.clone(),
                state: r.state,
                adapters: r.adapters.clone(),
                load: r.load,
            }));
        }
        let loading = |r: &&PlacedReplica| r.state == ReplicaState::Loading;
        let demand = self.demand();
        let input = PlanInput {
            now,
            document,
            serving: &serving,
            leaving: &BTreeSet::new(),
            replicas: &replicas,
            demand: &demand,
            adapter_demand: &BTreeMap::new(),
            committed_mb: &committed,
            fenced: &fenced,
            loading: replicas.iter().filter(loading).count(),
            additive_only,
        };
        self.policy.plan(&input)
    }

    /// Makes the message of a planned order; none to a target that was never heard.
    pub(super) fn order(&mut self, planned: PlannedOrder) -> Option<Order> {
        let (member, _) = self.reports.get(&planned.target)?;
        self.orders += 1;
        Some(Order {
            epoch: EPOCH,
            number: self.orders,
            target: planned.target,
            incarnation: member.version.incarnation,
            action: planned.action,
        })
    }
}

impl std::fmt::Debug for Planner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Planner")
            .field("orders", &self.orders)
            .finish_non_exhaustive()
    }
}
