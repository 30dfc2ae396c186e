//! Duration of a planning round on an external platform, right after demand has moved, at three sizes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use kumquatkeel_core::serving::{
    EngineReport, EngineSpec, ModelSpec, Planner, PlannerInput, PlannerSettings, ResidentModel,
    TargetId,
};
use kumquatkeel_types::Timestamp;

/// The engines, models and loads per second of each size.
const SIZES: [(usize, usize, f64); 3] = [(53, 73, 7.5), (117, 201, 18.0), (840, 720, 130.0)];
/// Models on each engine, and in the caches of its instance.
const HELD: usize = 2;
const CACHED: usize = 6;

fn name(model: usize) -> Arc<str> {
    Arc::from(format!("model-{model:03}"))
}

fn spec(models: usize, load_rate: f64) -> EngineSpec {
    let model = |index| {
        let model = ModelSpec {
            name: name(index),
            weights_mb: 72_700.0,
            load: Duration::from_millis(1_200),
            disk_load: Duration::from_millis(780),
            adapters: 0,
            adapter_mb: 0.0,
        };
        (name(index), model)
    };
    EngineSpec {
        weights_mb: 200_000.0,
        adapter_slots: 8,
        load_rate,
        models: (0..models).map(model).collect(),
    }
}

fn reports(engines: usize, models: usize) -> BTreeMap<TargetId, EngineReport> {
    let report = |engine: usize| {
        let held = (0..HELD).map(|slot| ResidentModel {
            name: name((engine * HELD + slot) % models),
            adapters: Vec::new(),
        });
        let cached = (0..CACHED).map(|slot| name((engine * 7 + slot * 13) % models));
        let report = EngineReport {
            models: held.collect(),
            cached: cached.collect(),
            ..EngineReport::default()
        };
        (TargetId::from(format!("engine-{engine:03}")), report)
    };
    (0..engines).map(report).collect()
}

fn demand(engines: usize, models: usize) -> HashMap<Arc<str>, f64> {
    let hot = |model: usize| if model.is_multiple_of(20) { 2.5 } else { 0.2 };
    let busy: f64 = (0..models).map(hot).sum();
    let scale = 0.45 * engines as f64 / busy;
    (0..models).map(|m| (name(m), hot(m) * scale)).collect()
}

fn planning_round(c: &mut Criterion) {
    let mut group = c.benchmark_group("planning_round");
    group.sample_size(10);
    for (engines, models, rate) in SIZES {
        let spec = spec(models, rate);
        let (reports, demand) = (reports(engines, models), demand(engines, models));
        let settings = PlannerSettings::for_rate(rate, &spec);
        let input = |millis| PlannerInput {
            now: Timestamp::from_millis(millis),
            demand: &demand,
            engines: &reports,
            limited: const { &BTreeSet::new() },
            spec: &spec,
        };
        let id = BenchmarkId::from_parameter(format!("{engines}x{models}"));
        group.bench_function(id, |b| {
            b.iter(|| {
                let mut planner = Planner::default();
                planner.plan_round(&input(0), settings);
                black_box(planner.plan_round(&input(1_000), settings).len())
            });
        });
    }
    group.finish();
}

criterion_group!(benches, planning_round);
criterion_main!(benches);
