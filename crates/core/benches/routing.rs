//! The time of a routing decision and of a member report at four sizes of the fleet; the largest is
//! the design size.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use kumquatkeel_core::routing::{FleetView, RouteProgress, RouteRequest, Router};
use kumquatkeel_types::document::{Document, RawDocument};
use kumquatkeel_types::message::{
    LoadSummary, Member, MemberState, MemberVersion, ReplicaState, Residency, Role, TargetStatus,
};
use kumquatkeel_types::{Incarnation, ModelId, Revision, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::json;

/// The targets and models of each size.
const SIZES: [(usize, usize); 4] = [(105, 90), (210, 180), (420, 360), (840, 720)];
/// The accelerators of one target.
const ACCELERATORS: usize = 8;
/// One in this many accelerators holds the most popular model.
const POPULAR_INTERVAL: usize = 8;

fn model(number: usize) -> ModelId {
    ModelId {
        name: format!("model-{number}").try_into().unwrap(),
        version: "1".try_into().unwrap(),
    }
}

/// Returns the model on an accelerator; every eighth one holds model 0, the most popular one.
fn model_on(target: usize, accelerator: usize, models: usize) -> usize {
    let number = target * ACCELERATORS + accelerator;
    if number.is_multiple_of(POPULAR_INTERVAL) {
        0
    } else {
        number % models
    }
}

fn document(targets: usize, models: usize) -> Document {
    let target = |i: usize| {
        json!({
            "name": format!("target-{i}"), "data_centre": format!("dc-{}", i % 4),
            "kind": "engine", "agent": format!("127.0.0.1:{}", 1_000 + i),
            "accelerators": ACCELERATORS, "accelerator_mb": 80_000,
        })
    };
    let model = |i: usize| json!({"name": format!("model-{i}"), "version": "1", "memory_mb": 100, "kv_mb": 100});
    let served = |i: usize| json!({"name": format!("model-{i}"), "version": "1"});
    let raw: RawDocument = serde_json::from_value(json!({
        "regions": [
            {"name": "r-0", "data_centres": ["dc-0", "dc-1"]},
            {"name": "r-1", "data_centres": ["dc-2", "dc-3"]},
        ],
        "models": (0..models).map(model).collect::<Vec<_>>(),
        "services": [{"name": "s", "kind": "completions"}],
        "deployments": [{
            "name": "d", "service": "s", "data_centres": ["dc-0", "dc-1", "dc-2", "dc-3"],
            "models": (0..models).map(served).collect::<Vec<_>>(),
        }],
        "targets": (0..targets).map(target).collect::<Vec<_>>(),
    }))
    .unwrap();
    raw.try_into().unwrap()
}

fn member(target: usize, models: usize, sequence: u64) -> Member {
    let load = LoadSummary {
        running: (target % 13) as u32,
        waiting: 0,
        slots: 12,
    };
    let replica = |accelerator: usize| Residency {
        model: model(model_on(target, accelerator, models)),
        accelerator: accelerator as u16,
        state: ReplicaState::Ready,
        adapters: Vec::new(),
        load,
    };
    Member {
        role: Role::Agent(format!("target-{target}").try_into().unwrap()),
        version: MemberVersion {
            incarnation: Incarnation(1),
            sequence,
        },
        data_centre: format!("dc-{}", target % 4).try_into().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: MemberState::Serving,
        revision: Revision(1),
        target: Some(TargetStatus {
            replicas: (0..ACCELERATORS).map(replica).collect(),
            load,
            ..TargetStatus::default()
        }),
    }
}

fn router(targets: usize, models: usize) -> Router {
    let document = Arc::new(document(targets, models));
    let home = "dc-0".try_into().unwrap();
    let mut view = FleetView::new(home, Revision(1), document);
    for target in 0..targets {
        view.apply_member(member(target, models, 1), Timestamp::ZERO);
    }
    Router::new(view, Timestamp::ZERO).unwrap()
}

fn request(number: usize) -> RouteRequest {
    RouteRequest {
        service: "s".try_into().unwrap(),
        model: Some(model(number)),
        adapter: None,
        prefix: (0..4).collect(),
        priority: 5,
        first_token: Duration::from_millis(680),
        bytes: 32_000,
    }
}

fn routing(c: &mut Criterion) {
    let mut group = c.benchmark_group("routing decision");
    for (targets, models) in SIZES {
        let mut router = router(targets, models);
        let mut rng = Pcg64::seed_from_u64(1);
        let progress = RouteProgress::default();
        let stale = Timestamp::from_millis(10_000);
        for (name, number) in [("common model", models / 2 + 1), ("most popular model", 0)] {
            let request = request(number);
            let id = BenchmarkId::new(name, targets);
            group.bench_function(id, |b| {
                b.iter(|| black_box(router.route(&request, &progress, stale, &mut rng)));
            });
        }
    }
    group.finish();
}

fn reports(c: &mut Criterion) {
    let mut group = c.benchmark_group("member report");
    for (targets, models) in SIZES {
        let mut router = router(targets, models);
        let mut sequence = 1;
        group.bench_function(BenchmarkId::from_parameter(targets), |b| {
            b.iter(|| {
                sequence += 1;
                let target = sequence as usize % targets;
                let report = member(target, models, sequence);
                black_box(router.view_mut().apply_member(report, Timestamp::ZERO))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, routing, reports);
criterion_main!(benches);
