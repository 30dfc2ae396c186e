//! Placement of models: absent models, hot models, engine memory and the weight store's rate.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    EngineReport, EngineSpec, LoadCommand, LoadProgress, ModelSpec, Planner, PlannerInput,
    PlannerSettings, ResidentModel, TargetId,
};
use kumquatkeel_types::Timestamp;
use proptest::prelude::*;
use rstest::rstest;

const SETTINGS: PlannerSettings = PlannerSettings {
    rate: 100.0,
    concurrency: 16,
    burst: 16.0,
};

fn spec(models: &[(&str, f64)]) -> EngineSpec {
    let model = |(name, weights_mb): &(&str, f64)| {
        let name: Arc<str> = Arc::from(*name);
        let spec = ModelSpec {
            name: name.clone(),
            weights_mb: *weights_mb,
            load: Duration::from_secs(6),
            disk_load: Duration::from_secs(1),
            adapters: 0,
            adapter_mb: 0.0,
        };
        (name, spec)
    };
    EngineSpec {
        weights_mb: 200.0,
        adapter_slots: 8,
        load_rate: 1.0,
        models: models.iter().map(model).collect(),
    }
}

fn engine(models: &[&str]) -> EngineReport {
    let model = |name: &&str| ResidentModel {
        name: Arc::from(*name),
        adapters: Vec::new(),
    };
    EngineReport {
        models: models.iter().map(model).collect(),
        ..EngineReport::default()
    }
}

fn fleet(engines: &[&[&str]]) -> BTreeMap<TargetId, EngineReport> {
    let row = |(i, models): (usize, &&[&str])| (TargetId::from(format!("e{i}")), engine(models));
    engines.iter().enumerate().map(row).collect()
}

fn demand(rows: &[(&str, f64)]) -> HashMap<Arc<str>, f64> {
    rows.iter()
        .map(|(name, rate)| (Arc::from(*name), *rate))
        .collect()
}

fn plan(
    engines: &BTreeMap<TargetId, EngineReport>,
    spec: &EngineSpec,
    demand: &HashMap<Arc<str>, f64>,
    settings: PlannerSettings,
) -> Vec<LoadCommand> {
    plan_limited(engines, &BTreeSet::new(), spec, demand, settings)
}

fn plan_limited(
    engines: &BTreeMap<TargetId, EngineReport>,
    limited: &BTreeSet<TargetId>,
    spec: &EngineSpec,
    demand: &HashMap<Arc<str>, f64>,
    settings: PlannerSettings,
) -> Vec<LoadCommand> {
    let mut planner = Planner::default();
    let mut input = PlannerInput {
        now: Timestamp::from_millis(0),
        demand,
        engines,
        limited,
        spec,
    };
    // A new planner starts without tokens for loads from the weight store.
    assert!(
        planner
            .plan_round(&input, settings)
            .iter()
            .all(|c| is_cached(engines, c))
    );
    input.now = Timestamp::from_millis(1_000);
    planner.plan_round(&input, settings)
}

fn is_cached(engines: &BTreeMap<TargetId, EngineReport>, command: &LoadCommand) -> bool {
    engines[&command.target].is_cached(&command.model)
}

/// After a power loss no engine holds a model whose demand far exceeds the capacity of one engine.
#[test]
fn an_absent_model_is_loaded_even_if_its_demand_exceeds_one_engine() {
    let spec = spec(&[("hot", 70.0), ("rare", 70.0)]);
    for rate in [0.5, 1.0, 4.0, 16.0, 64.0] {
        let engines = fleet(&[&["rare"], &["rare"], &[]]);
        let commands = plan(&engines, &spec, &demand(&[("hot", rate)]), SETTINGS);
        assert!(
            commands.iter().any(|c| &*c.model == "hot"),
            "demand {rate}: {commands:?}"
        );
    }
}

#[rstest]
#[case::hot(1.0, true)]
#[case::rare(0.05, false)]
fn a_hot_model_is_not_left_behind_a_limit(#[case] rate: f64, #[case] loaded: bool) {
    let spec = spec(&[("hot", 90.0), ("other", 90.0)]);
    let engines = fleet(&[&["hot"], &["other"], &["other"]]);
    let limited = BTreeSet::from([TargetId::from("e0")]);
    let demand = demand(&[("hot", rate)]);
    let commands = plan_limited(&engines, &limited, &spec, &demand, SETTINGS);
    let loads = commands.iter().filter(|c| &*c.model == "hot").count();
    assert_eq!(loads > 0, loaded, "{commands:?}");
    assert!(commands.iter().all(|c| !limited.contains(&c.target)));
}

/// Demand moves to a model with one copy while idle models take up memory.
#[test]
fn a_hot_model_gets_copies_and_every_model_keeps_one() {
    let spec = spec(&[("hot", 90.0), ("idle", 90.0), ("warm", 90.0)]);
    let mut engines = fleet(&[&["hot", "warm"], &["idle", "warm"], &["idle", "warm"]]);
    let rates = demand(&[("hot", 1.4), ("warm", 0.3)]);
    for command in plan(&engines, &spec, &rates, SETTINGS) {
        let report = engines.get_mut(&command.target).unwrap();
        report.models.retain(|m| !command.evict.contains(&m.name));
        report.models.extend(engine(&[&command.model]).models);
    }
    let copies = |model: &str| engines.values().filter(|r| r.holds(model)).count();
    assert!(copies("hot") >= 2);
    assert!(copies("idle") >= 1);
    assert!(copies("warm") >= 1);
}

#[test]
fn an_absent_model_with_little_demand_is_loaded() {
    let spec = spec(&[("hot", 90.0), ("rare", 90.0)]);
    let engines = fleet(&[&["hot"], &["hot"]]);
    let commands = plan(
        &engines,
        &spec,
        &demand(&[("hot", 0.6), ("rare", 0.01)]),
        SETTINGS,
    );
    assert!(commands.iter().any(|c| &*c.model == "rare"));
}

#[test]
fn a_balanced_fleet_gets_no_commands() {
    let spec = spec(&[("a", 90.0), ("b", 90.0)]);
    let engines = fleet(&[&["a", "b"], &["a", "b"]]);
    let commands = plan(
        &engines,
        &spec,
        &demand(&[("a", 0.5), ("b", 0.5)]),
        SETTINGS,
    );
    assert_eq!(commands, []);
}

#[test]
fn loads_stay_within_the_weight_stores_rate() {
    let spec = spec(&[("a", 60.0), ("b", 60.0), ("c", 60.0)]);
    let engines = fleet(&[&[], &[], &[], &[]]);
    let rates = demand(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    let settings = PlannerSettings {
        rate: 2.0,
        concurrency: 16,
        burst: 16.0,
    };
    assert_eq!(plan(&engines, &spec, &rates, settings).len(), 2);
}

proptest! {
    #[test]
    fn a_planned_load_fits_the_engines_memory(
        held in proptest::collection::vec(proptest::collection::btree_set(0_usize..6, 0..3), 1..6),
        rates in proptest::collection::vec(0.0..3.0_f64, 6),
    ) {
        let names = ["m0", "m1", "m2", "m3", "m4", "m5"];
        let sizes = [34.0, 65.0, 65.5, 72.7, 72.7, 60.0];
        let rows: Vec<(&str, f64)> = names.into_iter().zip(sizes).collect();
        let spec = spec(&rows);
        let size = |name: &str| spec.models[name].weights_mb;
        let engines: Vec<Vec<&str>> =
            held.iter().map(|set| set.iter().map(|i| names[*i]).collect()).collect();
        let fits = |models: &[&str]| models.iter().map(|m| size(m)).sum::<f64>() <= 200.0;
        prop_assume!(engines.iter().all(|e| fits(e)));
        let lists: Vec<&[&str]> = engines.iter().map(Vec::as_slice).collect();
        let engines = fleet(&lists);
        let rates: Vec<(&str, f64)> = names.into_iter().zip(rates).collect();
        for command in plan(&engines, &spec, &demand(&rates), SETTINGS) {
            let report = &engines[&command.target];
            prop_assert!(!report.holds(&command.model));
            prop_assert!(command.evict.iter().all(|m| report.holds(m)));
            let kept: f64 = (report.models.iter())
                .filter(|m| !command.evict.contains(&m.name))
                .map(|m| size(&m.name))
                .sum();
            prop_assert!(kept + size(&command.model) <= 200.0);
        }
    }
}

/// While a second copy is being loaded, the copy that serves must not be evicted.
#[test]
fn the_only_serving_copy_stays_while_another_is_loaded() {
    let spec = spec(&[("hot", 100.0), ("rare", 100.0), ("other", 100.0)]);
    let mut engines = fleet(&[&["hot", "other"], &["other"]]);
    let loading = engines.get_mut(&TargetId::from("e1")).unwrap();
    loading.loading = vec![LoadProgress {
        model: Arc::from("hot"),
        left_ms: 5_000,
    }];
    let rates = demand(&[("hot", 4.0), ("rare", 0.2), ("other", 0.0)]);
    for command in plan(&engines, &spec, &rates, SETTINGS) {
        assert!(!command.evict.contains(&Arc::from("hot")), "{command:?}");
    }
}

/// Demand rises over seconds, about as long as a load takes.
#[test]
fn rising_demand_gets_a_copy_before_the_engine_saturates() {
    let spec = spec(&[("hot", 100.0), ("idle", 100.0)]);
    let engines = fleet(&[&["hot"], &["idle"], &["idle"]]);
    let first_load = |rates: &[f64]| {
        let mut planner = Planner::default();
        rates.iter().position(|rate| {
            let demand = demand(&[("hot", *rate)]);
            let millis = (rate * 10_000.0) as u64;
            let input = PlannerInput {
                now: Timestamp::from_millis(millis),
                demand: &demand,
                engines: &engines,
                limited: &BTreeSet::new(),
                spec: &spec,
            };
            !planner.plan_round(&input, SETTINGS).is_empty()
        })
    };
    let ramp: Vec<f64> = (1..=20).map(|step| f64::from(step) * 0.05).collect();
    let step = first_load(&ramp).expect("a further copy is loaded");
    assert!(ramp[step] < 0.5, "loaded at a demand of {}", ramp[step]);
}

/// Returns the start times in milliseconds of the loads that a planner orders under constant high
/// demand, while no load ends.
fn load_starts_under_high_demand(fleet_size: usize, seconds: u64) -> Vec<u64> {
    let mut spec = spec(&[("hot", 60.0), ("idle", 60.0)]);
    spec.load_rate = 5.0;
    let lists: Vec<&[&str]> = vec![&["idle"]; fleet_size];
    let engines = fleet(&lists);
    let rates = demand(&[("hot", 10.0), ("idle", 0.1)]);
    let settings = PlannerSettings {
        rate: spec.load_rate,
        concurrency: spec.max_concurrent_loads(spec.load_rate),
        burst: 3.0,
    };
    let mut planner = Planner::default();
    let mut loading: BTreeMap<TargetId, EngineReport> = engines;
    let mut starts = Vec::new();
    for millis in (0..seconds * 1_000).step_by(250) {
        let input = PlannerInput {
            now: Timestamp::from_millis(millis),
            demand: &rates,
            engines: &loading,
            limited: &BTreeSet::new(),
            spec: &spec,
        };
        for command in planner.plan_round(&input, settings) {
            starts.push(millis);
            let progress = LoadProgress {
                model: command.model,
                left_ms: 6_000,
            };
            loading.get_mut(&command.target).unwrap().loading = vec![progress];
        }
    }
    starts
}

/// Demand for one model rises to ten engines in less time than a load takes.
#[test]
fn copies_of_a_hot_model_load_as_fast_as_the_weight_store_allows() {
    let starts = load_starts_under_high_demand(30, 3);
    assert!(starts.len() >= 9, "{starts:?}");
}

/// Within five seconds the platform allows a tenth more than its rate, plus three loads.
#[test]
fn load_starts_stay_within_the_limit_of_each_window() {
    let starts = load_starts_under_high_demand(80, 14);
    for start in &starts {
        let window = starts
            .iter()
            .filter(|at| (*start..*start + 5_000).contains(*at));
        assert!(window.count() as f64 <= 5.0 * 5.0 * 1.1 + 3.0, "{starts:?}");
    }
}

#[test]
fn concurrent_loads_follow_from_the_rate_and_the_load_time() {
    let spec = spec(&[("a", 1.0), ("b", 1.0)]);
    assert_eq!(spec.max_concurrent_loads(1.1), 7, "6 s each");
    assert_eq!(spec.max_concurrent_loads(0.01), 1);
}

/// Demand moves to a model while others are in use, and a load takes most of the planning horizon.
#[test]
fn a_copy_in_use_is_not_evicted_for_one_that_serves_seconds_later() {
    let mut spec = spec(&[("hot", 180.0), ("used", 180.0), ("idle", 180.0)]);
    for model in spec.models.values_mut() {
        model.load = Duration::from_millis(8_600);
    }
    let rates = demand(&[("hot", 4.0), ("used", 0.9), ("idle", 0.001)]);
    let in_use = fleet(&[&["hot"], &["used"], &["used"]]);
    assert_eq!(plan(&in_use, &spec, &rates, SETTINGS), []);
    let idle = fleet(&[&["hot"], &["used"], &["used"], &["idle"], &["idle"]]);
    let commands = plan(&idle, &spec, &rates, SETTINGS);
    assert!(commands.iter().any(|c| &*c.model == "hot"));
    for command in commands {
        assert_eq!(command.evict, [Arc::from("idle")]);
    }
}
