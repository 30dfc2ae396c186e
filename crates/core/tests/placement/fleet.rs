//! A fake fleet that carries out a planner's orders, late or not at all.

use std::collections::{BTreeMap, BTreeSet};

use kumquatkeel_core::placement::{
    Demand, PlacedReplica, PlacementPlugin, PlacementPolicy, PlanInput, PlannedOrder,
};
use kumquatkeel_core::plugin::find_plugin;
use kumquatkeel_types::document::{Document, Model, RawDocument};
use kumquatkeel_types::message::{LoadSummary, OrderAction, ReplicaState};
use kumquatkeel_types::{AdapterName, ModelId, TargetName, Timestamp};
use serde_json::{Value, json};

/// Seconds that a load takes.
const LOAD_SECS: u64 = 5;
/// Seconds after which an order can't arrive any more.
const ORDER_SECS: u64 = 100;
/// Memory of each accelerator, in megabytes.
pub(crate) const ACCELERATOR_MB: u32 = 80_000;

/// A model of a fake document.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FakeModel {
    pub(crate) memory_mb: u32,
    pub(crate) floor: u16,
    pub(crate) adapters: u16,
}

impl FakeModel {
    pub(crate) fn of(memory_mb: u32) -> Self {
        Self {
            memory_mb,
            floor: 1,
            adapters: 0,
        }
    }
}

/// Makes a document of two data centres in two regions.
pub(crate) fn document(targets: usize, models: &[FakeModel], version: &str) -> Value {
    let names: Vec<_> = (0..models.len()).map(|i| format!("m{i}")).collect();
    let all: Vec<_> = models
        .iter()
        .zip(&names)
        .flat_map(|(m, name)| {
            ["1", "2"].map(
                |v| json!({ "name": name, "version": v, "memory_mb": m.memory_mb, "kv_mb": 0 }),
            )
        })
        .collect();
    let adapters: Vec<_> = models
        .iter()
        .zip(&names)
        .flat_map(|(m, name)| {
            (0..m.adapters).map(
                move |a| json!({ "name": format!("{name}-a{a}"), "model": name, "memory_mb": 100 }),
            )
        })
        .collect();
    let served: Vec<_> = models
        .iter()
        .zip(&names)
        .map(|(m, name)| json!({ "name": name, "version": version, "floor": m.floor }))
        .collect();
    let engines: Vec<_> = (0..targets)
        .map(|i| {
            json!({
                "name": format!("t{i}"), "data_centre": centre(i), "kind": "engine",
                "agent": format!("127.0.0.1:{}", 9000 + i), "accelerators": 2,
                "accelerator_mb": ACCELERATOR_MB, "fencing": "enforced"
            })
        })
        .collect();
    let names: Vec<_> = adapters.iter().map(|a| a["name"].clone()).collect();
    json!({
        "regions": [
            { "name": "north", "data_centres": ["a"] }, { "name": "south", "data_centres": ["b"] }
        ],
        "models": all,
        "adapters": adapters,
        "services": [{ "name": "s", "kind": "completions" }],
        "deployments": [{
            "name": "d", "service": "s", "models": served, "adapters": names,
            "data_centres": ["a", "b"]
        }],
        "targets": engines,
        "policy": { "load_rate": 1.0, "load_flight": 3, "moves_weight": 0.0 }
    })
}

const fn centre(target: usize) -> &'static str {
    if target.is_multiple_of(2) { "a" } else { "b" }
}

pub(crate) fn checked(document: Value) -> Document {
    let raw: RawDocument = serde_json::from_value(document).expect("a document");
    Document::try_from(raw).expect("a document without faults")
}

pub(crate) fn target(index: usize) -> TargetName {
    TargetName::try_from(format!("t{index}")).expect("a name")
}

pub(crate) fn model(index: usize, version: &str) -> ModelId {
    ModelId {
        name: format!("m{index}").try_into().expect("a name"),
        version: version.try_into().expect("a version"),
    }
}

/// A fake fleet and the planner before it.
pub(crate) struct Fleet {
    pub(crate) document: Document,
    pub(crate) replicas: Vec<PlacedReplica>,
    pub(crate) serving: BTreeSet<TargetName>,
    pub(crate) leaving: BTreeSet<TargetName>,
    pub(crate) fenced: BTreeSet<TargetName>,
    pub(crate) demand: BTreeMap<ModelId, Demand>,
    pub(crate) additive_only: bool,
    pub(crate) lose_orders: bool,
    pub(crate) second: u64,
    ready_at: Vec<u64>,
    unloading: BTreeMap<(TargetName, u16, ModelId), u64>,
    policy: Box<dyn PlacementPolicy>,
}

impl Fleet {
    pub(crate) fn new(document: Document, policy: &str) -> Self {
        let names: BTreeSet<_> = document.targets.iter().map(|t| t.name.clone()).collect();
        Self {
            document,
            replicas: Vec::new(),
            serving: names.clone(),
            leaving: BTreeSet::new(),
            fenced: names,
            demand: BTreeMap::new(),
            additive_only: false,
            lose_orders: false,
            second: 0,
            ready_at: Vec::new(),
            unloading: BTreeMap::new(),
            policy: (find_plugin::<PlacementPlugin>(policy)
                .expect("a policy")
                .make)(),
        }
    }

    /// Adds a replica.
    pub(crate) fn put(&mut self, at: usize, accelerator: u16, model: ModelId, state: ReplicaState) {
        self.replicas.push(PlacedReplica {
            target: target(at),
            accelerator,
            model,
            state,
            adapters: Vec::new(),
            load: LoadSummary::default(),
        });
        self.ready_at.push(u64::MAX);
    }

    /// Returns the memory in use on each accelerator.
    pub(crate) fn committed(&self) -> BTreeMap<TargetName, Vec<u32>> {
        let mut committed: BTreeMap<_, _> = self
            .serving
            .iter()
            .map(|t| (t.clone(), vec![0; 2]))
            .collect();
        for replica in &self.replicas {
            let model_mb = self
                .document
                .model(&replica.model)
                .map_or(0, Model::replica_mb);
            let used = committed
                .entry(replica.target.clone())
                .or_insert_with(|| vec![0; 2]);
            if let Some(used_mb) = used.get_mut(usize::from(replica.accelerator)) {
                *used_mb += model_mb + 100 * replica.adapters.len() as u32;
            }
        }
        committed
    }

    /// Lets the planner plan, without carrying anything out.
    pub(crate) fn plan(&mut self) -> Vec<PlannedOrder> {
        let committed = self.committed();
        let loading = |r: &&PlacedReplica| r.state == ReplicaState::Loading;
        let input = PlanInput {
            now: Timestamp::from_millis(self.second * 1_000),
            document: &self.document,
            serving: &self.serving,
            leaving: &self.leaving,
            replicas: &self.replicas,
            demand: &self.demand,
            adapter_demand: &BTreeMap::new(),
            committed_mb: &committed,
            fenced: &self.fenced,
            loading: self.replicas.iter().filter(loading).count(),
            additive_only: self.additive_only,
        };
        self.policy.plan(&input)
    }

    /// Lets a second pass: loads end, the planner plans, its orders are checked and carried out.
    pub(crate) fn step(&mut self) -> Vec<PlannedOrder> {
        self.second += 1;
        for (replica, ready_at) in self.replicas.iter_mut().zip(&self.ready_at) {
            if replica.state == ReplicaState::Loading && *ready_at <= self.second {
                replica.state = ReplicaState::Ready;
            }
        }
        let orders = self.plan();
        for order in &orders {
            self.check(order);
            if !self.lose_orders {
                self.carry_out(order);
            }
        }
        let loading = |r: &&PlacedReplica| r.state == ReplicaState::Loading;
        assert!(
            self.replicas.iter().filter(loading).count() <= 3,
            "too many loads in flight"
        );
        orders
    }

    fn check(&mut self, order: &PlannedOrder) {
        match &order.action {
            OrderAction::Load { model, accelerator } => {
                if self.position(&order.target, *accelerator, model).is_none() {
                    self.check_memory(&order.target, *accelerator, model);
                }
            }
            OrderAction::Unload { model, accelerator } => {
                assert!(!self.additive_only, "an unload while in doubt");
                let key = (order.target.clone(), *accelerator, model.clone());
                self.unloading.insert(key, self.second + ORDER_SECS);
                self.check_reachable(model);
            }
            OrderAction::LoadAdapter { .. } | OrderAction::UnloadAdapter { .. } => {}
        }
    }

    fn check_memory(&self, target: &TargetName, accelerator: u16, model: &ModelId) {
        let used = self.committed()[target][usize::from(accelerator)];
        let model_mb = self.document.model(model).map_or(0, Model::replica_mb);
        assert!(
            used + model_mb <= ACCELERATOR_MB,
            "{model} has no room on {target}"
        );
    }

    /// Asserts that a model keeps a copy after all unloads that were ever ordered.
    fn check_reachable(&self, model: &ModelId) {
        let offered = |id: &ModelId| {
            let served = self.document.deployments.iter().flat_map(|d| &d.models);
            served.clone().any(|s| s.id() == *id) || served.clone().all(|s| s.name != id.name)
        };
        let same = |id: &ModelId| id == model || (id.name == model.name && offered(id));
        let kept = self.replicas.iter().filter(|r| same(&r.model)).filter(|r| {
            let key = (r.target.clone(), r.accelerator, r.model.clone());
            r.state == ReplicaState::Ready
                && self.serving.contains(&r.target)
                && !self.leaving.contains(&r.target)
                && self
                    .unloading
                    .get(&key)
                    .is_none_or(|&until| until < self.second)
        });
        assert!(kept.count() > 0, "the last copy of {model} is unloaded");
    }

    fn position(&self, target: &TargetName, accelerator: u16, model: &ModelId) -> Option<usize> {
        self.replicas
            .iter()
            .position(|r| r.target == *target && r.accelerator == accelerator && r.model == *model)
    }

    fn carry_out(&mut self, order: &PlannedOrder) {
        if !self.serving.contains(&order.target) {
            return;
        }
        self.fenced.insert(order.target.clone());
        match &order.action {
            OrderAction::Load { model, accelerator } => {
                if self.position(&order.target, *accelerator, model).is_some() {
                    return;
                }
                let index = order.target.as_str()[1..].parse().expect("an index");
                self.put(index, *accelerator, model.clone(), ReplicaState::Loading);
                *self.ready_at.last_mut().expect("a replica") = self.second + LOAD_SECS;
            }
            OrderAction::Unload { model, accelerator } => {
                if let Some(at) = self.position(&order.target, *accelerator, model) {
                    self.remove(at);
                }
            }
            OrderAction::LoadAdapter {
                adapter,
                model,
                accelerator,
            } => {
                self.set_adapter(&order.target, *accelerator, model, adapter);
            }
            OrderAction::UnloadAdapter { .. } => {}
        }
    }

    fn set_adapter(&mut self, target: &TargetName, at: u16, model: &ModelId, name: &AdapterName) {
        if let Some(at) = self.position(target, at, model) {
            let adapters = &mut self.replicas[at].adapters;
            if !adapters.contains(name) {
                adapters.push(name.clone());
            }
        }
    }

    fn remove(&mut self, at: usize) {
        let gone = self.replicas.remove(at);
        self.ready_at.remove(at);
        self.unloading
            .remove(&(gone.target, gone.accelerator, gone.model));
    }

    /// Lets a target die with all that it holds.
    pub(crate) fn kill(&mut self, index: usize) {
        let name = target(index);
        self.serving.remove(&name);
        self.fenced.remove(&name);
        while let Some(at) = self.replicas.iter().position(|r| r.target == name) {
            self.remove(at);
        }
    }

    /// Brings a target back, empty.
    pub(crate) fn revive(&mut self, index: usize) {
        self.serving.insert(target(index));
        self.leaving.remove(&target(index));
    }

    /// Returns the ready copies of a model on targets that stay.
    pub(crate) fn ready(&self, model: &ModelId) -> usize {
        let stays = |r: &&PlacedReplica| {
            self.serving.contains(&r.target) && !self.leaving.contains(&r.target)
        };
        let ready = |r: &&PlacedReplica| r.state == ReplicaState::Ready && r.model == *model;
        self.replicas.iter().filter(ready).filter(stays).count()
    }

    /// Sets the demand for a model.
    pub(crate) fn ask(&mut self, model: ModelId, rate: f64, running: f64) {
        let demand = Demand {
            rate,
            unmet: 0.0,
            running,
        };
        self.demand.insert(model, demand);
    }
}

/// Says whether an order unloads a model.
pub(crate) fn is_unload(order: &PlannedOrder) -> bool {
    matches!(order.action, OrderAction::Unload { .. })
}

/// Returns the model that an order loads.
pub(crate) fn loaded(order: &PlannedOrder) -> Option<&ModelId> {
    match &order.action {
        OrderAction::Load { model, .. } => Some(model),
        _ => None,
    }
}
