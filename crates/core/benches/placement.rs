//! Duration of a planning round at four fleet sizes.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use kumquatkeel_core::placement::{
    Demand, PlacedReplica, PlacementPlugin, PlacementPolicy, PlanInput,
};
use kumquatkeel_core::plugin::find_plugin;
use kumquatkeel_types::document::{Document, Model, RawDocument};
use kumquatkeel_types::message::{LoadSummary, ReplicaState};
use kumquatkeel_types::{ModelId, TargetName, Timestamp};
use serde_json::json;

/// Accelerators on each target.
const ACCELERATORS: usize = 8;
/// Replicas on each accelerator.
const REPLICAS: usize = 2;

/// The reports and demand of a loaded fleet, in which every tenth model is in high demand.
struct Fleet {
    document: Document,
    serving: BTreeSet<TargetName>,
    replicas: Vec<PlacedReplica>,
    demand: BTreeMap<ModelId, Demand>,
    committed: BTreeMap<TargetName, Vec<u32>>,
}

impl Fleet {
    fn new(targets: usize, models: usize) -> Self {
        let document = document(targets, models);
        let ids: Vec<ModelId> = document.models.iter().map(Model::id).collect();
        let names: Vec<TargetName> = document.targets.iter().map(|t| t.name.clone()).collect();
        let mut replicas = Vec::new();
        for slot in 0..targets * ACCELERATORS * REPLICAS {
            let accelerator = slot / REPLICAS;
            replicas.push(PlacedReplica {
                target: names[accelerator / ACCELERATORS].clone(),
                accelerator: (accelerator % ACCELERATORS) as u16,
                model: ids[slot % models].clone(),
                state: ReplicaState::Ready,
                adapters: Vec::new(),
                load: LoadSummary {
                    running: 8,
                    waiting: 0,
                    slots: 24,
                },
            });
        }
        let hot = |i: usize| if i.is_multiple_of(10) { 60.0 } else { 3.0 };
        let demand = |i: usize| Demand {
            rate: hot(i),
            unmet: hot(i) / 10.0,
            running: hot(i) * 20.0,
        };
        Self {
            serving: names.iter().cloned().collect(),
            replicas,
            demand: ids
                .into_iter()
                .enumerate()
                .map(|(i, id)| (id, demand(i)))
                .collect(),
            committed: names
                .into_iter()
                .map(|n| (n, vec![60_000; ACCELERATORS]))
                .collect(),
            document,
        }
    }

    fn plan(&self, policy: &mut dyn PlacementPolicy, second: u64) -> usize {
        let input = PlanInput {
            now: Timestamp::from_millis(second * 1_000),
            document: &self.document,
            serving: &self.serving,
            leaving: &BTreeSet::new(),
            replicas: &self.replicas,
            demand: &self.demand,
            adapter_demand: &BTreeMap::new(),
            committed_mb: &self.committed,
            fenced: &self.serving,
            loading: 0,
            additive_only: false,
        };
        policy.plan(&input).len()
    }
}

fn document(targets: usize, models: usize) -> Document {
    let name = |i: usize| format!("model-{i:03}");
    let centre = |i: usize| format!("centre-{}", i % 4);
    let value = json!({
        "regions": [
            { "name": "north", "data_centres": ["centre-0", "centre-1"] },
            { "name": "south", "data_centres": ["centre-2", "centre-3"] },
        ],
        "models": (0..models)
            .map(|i| json!({ "name": name(i), "version": "1", "memory_mb": 22_000, "kv_mb": 8_000 }))
            .collect::<Vec<_>>(),
        "services": [{ "name": "assist", "kind": "completions" }],
        "deployments": [{
            "name": "assist",
            "service": "assist",
            "models": (0..models)
                .map(|i| json!({ "name": name(i), "version": "1", "floor": 2 }))
                .collect::<Vec<_>>(),
            "data_centres": (0..4).map(centre).collect::<Vec<_>>(),
        }],
        "targets": (0..targets)
            .map(|i| json!({
                "name": format!("engine-{i:03}"),
                "data_centre": centre(i),
                "kind": "engine",
                "agent": format!("127.0.0.1:{}", 10_000 + i),
                "accelerators": ACCELERATORS,
                "accelerator_mb": 80_000,
            }))
            .collect::<Vec<_>>(),
    });
    let raw: RawDocument = serde_json::from_value(value).expect("a document that deserializes");
    Document::try_from(raw).expect("a valid document")
}

fn planning(c: &mut Criterion) {
    for policy in ["demand", "greedy"] {
        let plugin = find_plugin::<PlacementPlugin>(policy).expect("a registered policy");
        let mut group = c.benchmark_group(format!("placement/{policy}"));
        group.sample_size(10);
        for (targets, models) in [(105, 90), (210, 180), (420, 360), (840, 720)] {
            let fleet = Fleet::new(targets, models);
            let id = BenchmarkId::from_parameter(format!("{targets}x{models}"));
            group.bench_function(id, |b| {
                let mut policy = (plugin.make)();
                let mut second = 0;
                b.iter(|| {
                    second += 1;
                    black_box(fleet.plan(policy.as_mut(), second))
                });
            });
        }
        group.finish();
    }
}

criterion_group!(benches, planning);
criterion_main!(benches);
