//! A simulated fleet that checks a planner's orders and executes or drops them.

use std::collections::{BTreeMap, BTreeSet};

use kumquatkeel_core::placement::{
    Demand, PlacedReplica, PlacementPlugin, PlacementPolicy, PlanInput, PlannedOrder,
};
use kumquatkeel_core::plugin::find_plugin;
use kumquatkeel_types::document::{Document, Model, RawDocument};
use kumquatkeel_types::message::{LoadSummary, OrderAction, ReplicaState};
use kumquatkeel_types::{AdapterName, ModelId, TargetName, Timestamp};
use serde_json::{Value, json};

/// Duration of a load, in seconds.
const LOAD_SECS: u64 = 5;
/// Seconds for which an ordered unload may still take effect.
const ORDER_LIFETIME_SECS: u64 = 100;
/// Memory of each accelerator, in megabytes.
pub(crate) const ACCELERATOR_MB: u32 = 80_000;

/// A model of the test document.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ModelSpec {
    pub(crate) memory_mb: u32,
    pub(crate) floor: u16,
    pub(crate) adapters: u16,
}

impl ModelSpec {
    pub(crate) fn of(memory_mb: u32) -> Self {
        Self {
            memory_mb,
            floor: 1,
            adapters: 0,
        }
    }
}

/// Returns a document of two data centres in two regions, which serves `version` of each model.
pub(crate) fn document(targets: usize, models: &[ModelSpec], version: &str) -> Value {
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

/// Parses and validates a document.
pub(crate) fn validated(document: Value) -> Document {
    let raw: RawDocument = serde_json::from_value(document).expect("a document that deserializes");
    Document::try_from(raw).expect("a valid document")
}

pub(crate) fn target(index: usize) -> TargetName {
    TargetName::try_from(format!("t{index}")).expect("a valid name")
}

pub(crate) fn model(index: usize, version: &str) -> ModelId {
    ModelId {
        name: format!("m{index}").try_into().expect("a valid name"),
        version: version.try_into().expect("a valid version"),
    }
}

/// A simulated fleet and the policy under test.
pub(crate) struct Fleet {
    pub(crate) document: Document,
    pub(crate) replicas: Vec<PlacedReplica>,
    pub(crate) serving: BTreeSet<TargetName>,
    pub(crate) leaving: BTreeSet<TargetName>,
    pub(crate) fenced: BTreeSet<TargetName>,
    pub(crate) demand: BTreeMap<ModelId, Demand>,
    pub(crate) additive_only: bool,
    pub(crate) drop_orders: bool,
    pub(crate) second: u64,
    /// The second at which the load of each replica ends, parallel to `replicas`.
    ready_at: Vec<u64>,
    /// Ordered unloads, with the second until which each may take effect.
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
            drop_orders: false,
            second: 0,
            ready_at: Vec::new(),
            unloading: BTreeMap::new(),
            policy: (find_plugin::<PlacementPlugin>(policy)
                .expect("a registered policy")
                .make)(),
        }
    }

    /// Adds a replica without adapters and load.
    pub(crate) fn add_replica(
        &mut self,
        at: usize,
        accelerator: u16,
        model: ModelId,
        state: ReplicaState,
    ) {
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

    /// Returns the committed memory of each accelerator, as the agents would report it.
    pub(crate) fn committed_mb(&self) -> BTreeMap<TargetName, Vec<u32>> {
        let mut committed_mb: BTreeMap<_, _> = self
            .serving
            .iter()
            .map(|t| (t.clone(), vec![0; 2]))
            .collect();
        for replica in &self.replicas {
            let model_mb = self
                .document
                .model(&replica.model)
                .map_or(0, Model::replica_mb);
            let used = committed_mb
                .entry(replica.target.clone())
                .or_insert_with(|| vec![0; 2]);
            if let Some(used_mb) = used.get_mut(usize::from(replica.accelerator)) {
                *used_mb += model_mb + 100 * replica.adapters.len() as u32;
            }
        }
        committed_mb
    }

    /// Runs a planning round without executing its orders.
    pub(crate) fn plan(&mut self) -> Vec<PlannedOrder> {
        let committed_mb = self.committed_mb();
        let loading = |r: &&PlacedReplica| r.state == ReplicaState::Loading;
        let input = PlanInput {
            now: Timestamp::from_millis(self.second * 1_000),
            document: &self.document,
            serving: &self.serving,
            leaving: &self.leaving,
            replicas: &self.replicas,
            demand: &self.demand,
            adapter_demand: &BTreeMap::new(),
            committed_mb: &committed_mb,
            fenced: &self.fenced,
            loading: self.replicas.iter().filter(loading).count(),
            additive_only: self.additive_only,
        };
        self.policy.plan(&input)
    }

    /// Advances one second: finishes loads, runs a planning round, checks and executes its orders.
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
            if !self.drop_orders {
                self.execute(order);
            }
        }
        let loading = |r: &&PlacedReplica| r.state == ReplicaState::Loading;
        assert!(
            self.replicas.iter().filter(loading).count() <= 3,
            "too many loads in flight"
        );
        orders
    }

    /// Asserts that an order keeps the limits on memory and on unloads.
    fn check(&mut self, order: &PlannedOrder) {
        match &order.action {
            OrderAction::Load { model, accelerator } => {
                if self.position(&order.target, *accelerator, model).is_none() {
                    self.check_memory(&order.target, *accelerator, model);
                }
            }
            OrderAction::Unload { model, accelerator } => {
                assert!(
                    !self.additive_only,
                    "unload ordered although only loads are allowed"
                );
                let key = (order.target.clone(), *accelerator, model.clone());
                self.unloading
                    .insert(key, self.second + ORDER_LIFETIME_SECS);
                self.check_reachable(model);
            }
            OrderAction::LoadAdapter { .. } | OrderAction::UnloadAdapter { .. } => {}
        }
    }

    fn check_memory(&self, target: &TargetName, accelerator: u16, model: &ModelId) {
        let used = self.committed_mb()[target][usize::from(accelerator)];
        let model_mb = self.document.model(model).map_or(0, Model::replica_mb);
        assert!(
            used + model_mb <= ACCELERATOR_MB,
            "load of {model} exceeds the memory of {target}"
        );
    }

    /// Asserts that a model keeps a ready replica even if every pending unload takes effect.
    ///
    /// For a version that is not served, a ready replica of a served version counts as well.
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
        assert!(
            kept.count() > 0,
            "unload of the last ready replica of {model}"
        );
    }

    fn position(&self, target: &TargetName, accelerator: u16, model: &ModelId) -> Option<usize> {
        self.replicas
            .iter()
            .position(|r| r.target == *target && r.accelerator == accelerator && r.model == *model)
    }

    fn execute(&mut self, order: &PlannedOrder) {
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
                self.add_replica(index, *accelerator, model.clone(), ReplicaState::Loading);
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
                self.add_adapter(&order.target, *accelerator, model, adapter);
            }
            OrderAction::UnloadAdapter { .. } => {}
        }
    }

    fn add_adapter(&mut self, target: &TargetName, at: u16, model: &ModelId, name: &AdapterName) {
        if let Some(at) = self.position(target, at, model) {
            let adapters = &mut self.replicas[at].adapters;
            if !adapters.contains(name) {
                adapters.push(name.clone());
            }
        }
    }

    fn remove(&mut self, at: usize) {
        let removed = self.replicas.remove(at);
        self.ready_at.remove(at);
        self.unloading
            .remove(&(removed.target, removed.accelerator, removed.model));
    }

    /// Takes a target out of service and removes its replicas.
    pub(crate) fn kill(&mut self, index: usize) {
        let name = target(index);
        self.serving.remove(&name);
        self.fenced.remove(&name);
        while let Some(at) = self.replicas.iter().position(|r| r.target == name) {
            self.remove(at);
        }
    }

    /// Returns a target to service, also one that was leaving.
    pub(crate) fn restore(&mut self, index: usize) {
        self.serving.insert(target(index));
        self.leaving.remove(&target(index));
    }

    /// Returns the number of ready replicas of a model on targets that are alive and not leaving.
    pub(crate) fn ready(&self, model: &ModelId) -> usize {
        let stays = |r: &&PlacedReplica| {
            self.serving.contains(&r.target) && !self.leaving.contains(&r.target)
        };
        let ready = |r: &&PlacedReplica| r.state == ReplicaState::Ready && r.model == *model;
        self.replicas.iter().filter(ready).filter(stays).count()
    }

    /// Sets the demand for a model.
    pub(crate) fn set_demand(&mut self, model: ModelId, rate: f64, running: f64) {
        let demand = Demand {
            rate,
            unmet: 0.0,
            running,
        };
        self.demand.insert(model, demand);
    }
}

/// Returns whether an order unloads a model.
pub(crate) fn is_unload(order: &PlannedOrder) -> bool {
    matches!(order.action, OrderAction::Unload { .. })
}

/// Returns the model that an order loads, or `None` for another order.
pub(crate) fn loaded_model(order: &PlannedOrder) -> Option<&ModelId> {
    match &order.action {
        OrderAction::Load { model, .. } => Some(model),
        _ => None,
    }
}
