//! Replays demand that moves between models in fleets of several sizes, against emulated engines.
//!
//! Guards against a planner that follows moved demand with fewer loads than the weight store allows, or
//! exceeds that rate.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    EngineReport, EngineSpec, LoadProgress, ModelSpec, Planner, PlannerInput, PlannerSettings,
    ResidentModel, TargetId,
};
use kumquatkeel_types::Timestamp;
use rstest::rstest;

/// Interval between two rounds.
const ROUND_MS: u64 = 300;
/// Age of the reports that a round sees.
const REPORT_AGE_MS: u64 = 300;
const LOAD_MS: u64 = 1_200;
/// When the demand moves.
const SHIFT_MS: u64 = 3_000;
const LENGTH_MS: u64 = 10_200;
/// Time within which a fleet must follow: one load, and what the planner needs to know of the shift.
const BOUND_MS: u64 = LOAD_MS + REPORT_AGE_MS + ROUND_MS;
/// Share of the demand that may exceed the copies of its models.
const MAX_EXCESS: f64 = 0.05;
/// Sliding window in which the platform counts loads, and the share and the number by which they may
/// exceed its rate.
const WINDOW_MS: u64 = 5_000;
const WINDOW_SHARE: f64 = 1.1;
const WINDOW_SLACK: f64 = 3.0;

/// A fleet whose engines hold two models each.
struct Fleet {
    spec: EngineSpec,
    engines: BTreeMap<TargetId, Vec<Arc<str>>>,
    /// Loads in progress: the model, and when it serves.
    loads: HashMap<TargetId, (Arc<str>, u64)>,
    /// When loads from the weight store began.
    started: Vec<u64>,
    /// The state of the engines after each round.
    history: Vec<(u64, BTreeMap<TargetId, EngineReport>)>,
}

fn name(index: usize) -> Arc<str> {
    Arc::from(format!("m{index:03}"))
}

/// Returns the demand for each model, in engines: one in great demand, some in less, and a long tail.
fn demand(engines: usize, models: usize, hottest: usize) -> HashMap<Arc<str>, f64> {
    let weight = |rank: usize| 1.0 / (rank as f64 + 1.0).powf(0.8);
    let total: f64 = (0..models).map(weight).sum();
    let busy = 0.45 * engines as f64;
    let share = |rank: usize| busy * weight(rank) / total;
    (0..models)
        .map(|rank| (name((rank + hottest) % models), share(rank)))
        .collect()
}

impl Fleet {
    fn new(engines: usize, models: usize, load_rate: f64) -> Self {
        let spec = |index| {
            let spec = ModelSpec {
                name: name(index),
                weights_mb: 72_700.0,
                load: Duration::from_millis(LOAD_MS),
                disk_load: Duration::from_millis(LOAD_MS / 2),
                adapters: 0,
                adapter_mb: 0.0,
            };
            (name(index), spec)
        };
        let mut fleet = Self {
            spec: EngineSpec {
                weights_mb: 200_000.0,
                adapter_slots: 8,
                load_rate,
                models: (0..models).map(spec).collect(),
            },
            engines: BTreeMap::new(),
            loads: HashMap::new(),
            started: Vec::new(),
            history: Vec::new(),
        };
        // The copies follow the first demand, as the platform places them before traffic starts.
        let first = demand(engines, models, 0);
        let mut copies: Vec<Arc<str>> = Vec::new();
        for index in 0..models {
            let count = (first[&name(index)] / 0.6).ceil().max(1.0) as usize;
            copies.extend(std::iter::repeat_n(name(index), count));
        }
        for index in 0..engines {
            let held = [index, index + engines].map(|slot| copies.get(slot).cloned());
            let id = TargetId::from(format!("e{index:04}"));
            fleet
                .engines
                .insert(id, held.into_iter().flatten().collect());
        }
        fleet
    }

    fn report(&self, id: &TargetId, now: u64) -> EngineReport {
        let models = self.engines[id].iter().map(|name| ResidentModel {
            name: name.clone(),
            adapters: Vec::new(),
        });
        let loading = self.loads.get(id).map(|(model, ends)| LoadProgress {
            model: model.clone(),
            left_ms: ends.saturating_sub(now) as u32,
        });
        EngineReport {
            models: models.collect(),
            loading: loading.into_iter().collect(),
            ..EngineReport::default()
        }
    }

    /// Returns the reports as they were some time ago.
    fn reports(&mut self, now: u64) -> BTreeMap<TargetId, EngineReport> {
        let current = self
            .engines
            .keys()
            .map(|id| (id.clone(), self.report(id, now)));
        let current = current.collect();
        self.history.push((now, current));
        let seen = |(at, _): &&(u64, _)| *at + REPORT_AGE_MS <= now;
        let old = self.history.iter().rev().find(seen);
        old.unwrap_or(&self.history[0]).1.clone()
    }

    fn step(&mut self, now: u64) {
        for id in self.engines.keys().cloned().collect::<Vec<_>>() {
            if let Some((model, ends)) = self.loads.get(&id).cloned()
                && ends <= now
            {
                self.loads.remove(&id);
                self.engines.get_mut(&id).unwrap().push(model);
            }
        }
    }

    /// Returns the share of the demand that exceeds what the copies of its models can take; each copy
    /// takes up to four fifths of an engine.
    fn excess(&self, demand: &HashMap<Arc<str>, f64>) -> f64 {
        let mut copies: HashMap<&Arc<str>, usize> = HashMap::new();
        for model in self.engines.values().flatten() {
            *copies.entry(model).or_default() += 1;
        }
        let excess = |(model, demand): (&Arc<str>, &f64)| {
            (demand - 0.8 * copies.get(model).copied().unwrap_or(0) as f64).max(0.0)
        };
        demand.iter().map(excess).sum::<f64>() / demand.values().sum::<f64>()
    }

    /// Plays a shift of the demand; returns how long after it more than `share` of the demand exceeded the
    /// copies, in milliseconds.
    fn play(&mut self, models: usize, share: f64) -> u64 {
        let engines = self.engines.len();
        let settings = PlannerSettings::for_rate(self.spec.load_rate, &self.spec);
        let (mut planner, mut late) = (Planner::default(), 0);
        for now in (0..LENGTH_MS).step_by(50) {
            self.step(now);
            let hottest = if now < SHIFT_MS { 0 } else { models / 2 };
            let demand = demand(engines, models, hottest);
            if now > SHIFT_MS && self.excess(&demand) > share {
                late = now - SHIFT_MS;
            }
            if !now.is_multiple_of(ROUND_MS) {
                continue;
            }
            let reports = self.reports(now);
            let input = PlannerInput {
                now: Timestamp::from_millis(now),
                demand: &demand,
                engines: &reports,
                limited: &BTreeSet::new(),
                spec: &self.spec,
            };
            for command in planner.plan_round(&input, settings) {
                let held = self.engines.get_mut(&command.target).unwrap();
                held.retain(|model| !command.evict.contains(model));
                let ends = now + LOAD_MS;
                self.loads.insert(command.target, (command.model, ends));
                self.started.push(now);
            }
        }
        late
    }

    /// Returns the most loads in one window, and how many the platform allows.
    fn busiest_window(&self) -> (usize, f64) {
        let within = |from: u64| {
            let window = from..from + WINDOW_MS;
            self.started.iter().filter(|at| window.contains(at)).count()
        };
        let most = self.started.iter().map(|at| within(*at)).max();
        let window_s = WINDOW_MS as f64 / 1e3;
        let allowed = self.spec.load_rate * window_s * WINDOW_SHARE + WINDOW_SLACK;
        (most.unwrap_or(0), allowed)
    }
}

#[rstest]
#[case::small(18, 21, 2.1, BOUND_MS)]
#[case::grown(53, 73, 7.5, BOUND_MS)]
#[case::large(117, 201, 18.0, BOUND_MS)]
// The weight store needs three seconds for the loads that this fleet needs.
#[case::design_size(330, 400, 50.0, BOUND_MS + 3_000)]
fn a_fleet_follows_moved_demand_as_fast_as_the_weight_store_allows(
    #[case] engines: usize,
    #[case] models: usize,
    #[case] rate: f64,
    #[case] bound: u64,
) {
    let mut fleet = Fleet::new(engines, models, rate);
    let late = fleet.play(models, MAX_EXCESS);
    let (most, allowed) = fleet.busiest_window();
    assert!(
        most as f64 <= allowed,
        "{most} of {allowed} loads in a window"
    );
    assert!(late <= bound, "demand exceeds the copies for {late} ms");
    let before = fleet.started.iter().filter(|at| **at < SHIFT_MS).count();
    assert!(fleet.started.len() > before, "the demand has moved");
}

/// All the loads that the limits allow, right after an idle time.
#[test]
fn the_limits_for_a_rate_keep_within_each_window() {
    let spec = Fleet::new(1, 2, 1.0).spec;
    for tenths in 1..=2_000 {
        let rate = f64::from(tenths) / 10.0;
        let settings = PlannerSettings::for_rate(rate, &spec);
        let window_s = WINDOW_MS as f64 / 1e3;
        let most = settings.rate * window_s + settings.burst;
        let allowed = rate * window_s * WINDOW_SHARE + WINDOW_SLACK;
        assert!(
            most <= allowed,
            "{most} of {allowed} at {rate} loads a second"
        );
    }
}
