//! Placement of models: which engine loads which model next.
//!
//! Demand moves between models within seconds, while every model must stay reachable on few
//! engines. Each step of a round picks the single load, with the evictions that it needs, that
//! lowers the total cost most. The cost adds up the engines' squared utilisation and the models
//! that no engine holds; a model in demand that no engine holds costs most.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::config::{EngineSpec, ModelSpec};
use super::engine::EngineReport;
use super::target::TargetId;
use crate::placement::LoadLimiter;

/// How long an engine may take to show the effect of a command before it may get another one.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How far ahead the benefit of a copy counts; demand has moved on by then.
const HORIZON: Duration = Duration::from_secs(12);
/// Smallest share of the horizon for which a copy counts, however long its load takes.
const MIN_HORIZON_SHARE: f64 = 0.1;
/// Half-life of the baseline against which a rise in demand is measured.
const BASELINE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Further rise expected during a load, as a multiple of the rise above the baseline.
const RISE_FACTOR: f64 = 1.0;
/// Cost of a model that no engine holds, regardless of its demand.
const ABSENT_COST: f64 = 0.07;
/// Additional cost of a model that no engine holds, for each unit of demand.
const ABSENT_DEMAND_COST: f64 = 12.0;
/// Additional cost of a model that no engine holds and that callers request.
const REQUESTED_COST: f64 = 0.12;
/// Share of the cost of an absent model that remains if an instance has a copy of its weights.
const CACHED_COST_SHARE: f64 = 0.5;
/// Demand above which a model counts as requested, in engines.
const REQUESTED_DEMAND: f64 = 0.002;
/// Smallest gain for which a model is loaded from the weight store, in squared utilisation.
const MIN_STORE_GAIN: f64 = 0.1;
/// Smallest gain for which a model is loaded from a copy on the instance.
const MIN_LOCAL_GAIN: f64 = 0.06;
/// Demand per remaining copy of a model up to which one of its copies may be evicted.
const MAX_EVICT_DEMAND: f64 = 0.6;
/// Demand up to which a copy at an engine with a limit counts, in engines.
const MAX_LIMITED_DEMAND: f64 = 0.1;
/// Maximum number of models considered for a further copy in one step.
const MAX_CANDIDATES: usize = 6;
/// Share of the weight store's load rate that is used.
const RATE_SHARE: f64 = 0.9;
/// Loads from the weight store that may start at once at any rate; the platform allows three above its
/// rate.
const MIN_BURST: f64 = 3.0;
/// Time whose loads may start at once besides: more than one round, or the rate could not be used. With
/// the share that is used they stay within what the platform allows in its window of several seconds.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Maximum number of commands in one round.
const MAX_COMMANDS: usize = 32;

/// Tells the agent of one engine to load a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadCommand {
    /// The target whose engine loads the model.
    pub target: TargetId,
    /// The model to load.
    pub model: Arc<str>,
    /// The models to unload first.
    pub evict: Vec<Arc<str>>,
}

/// Limits on loads from the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// Loads that may start per second.
    pub rate: f64,
    /// Loads that may be in progress at once.
    pub concurrency: u16,
    /// Loads that may start at once after an idle time.
    pub burst: f64,
}

impl PlannerSettings {
    /// Returns the limits for a weight store that allows `load_rate` loads per second.
    pub fn for_rate(load_rate: f64, spec: &EngineSpec) -> Self {
        let rate = load_rate * RATE_SHARE;
        Self {
            rate,
            concurrency: spec.max_concurrent_loads(rate),
            burst: MIN_BURST + rate * BURST_TIME.as_secs_f64(),
        }
    }
}

/// The input of one planning round.
#[derive(Debug)]
pub struct PlannerInput<'a> {
    /// The current time.
    pub now: Timestamp,
    /// The demand of all entries for each model, as the number of engines that it keeps busy.
    pub demand: &'a HashMap<Arc<str>, f64>,
    /// The engines that accept work and have reported recently.
    pub engines: &'a BTreeMap<TargetId, EngineReport>,
    /// The engines whose targets name a limit on the rate of requests.
    pub limited: &'a BTreeSet<TargetId>,
    /// Capacity and models of the engines' service.
    pub spec: &'a EngineSpec,
}

/// An engine as the current round has planned it so far.
#[derive(Debug, Clone)]
struct PlannedEngine {
    id: TargetId,
    /// Models that serve now or will once their load has ended.
    held: Vec<Arc<str>>,
    /// Models that serve now.
    serving: Vec<Arc<str>>,
    /// Whether the engine can take a command.
    free: bool,
    /// Whether the engine's target names a limit on the rate of requests.
    limited: bool,
    cached: Vec<Arc<str>>,
}

#[derive(Debug, Clone)]
struct PlannedLoad {
    /// Index of the engine.
    engine: usize,
    model: Arc<str>,
    evict: Vec<Arc<str>>,
    gain: f64,
    from_store: bool,
}

/// Plans model loads in rounds.
#[derive(Debug, Default)]
pub struct Planner {
    limiter: LoadLimiter,
    /// Slowly smoothed demand, against which a rise is measured.
    baseline: HashMap<Arc<str>, f64>,
    updated: Option<Timestamp>,
    /// Commands whose effect the engines have not reported yet.
    sent: HashMap<TargetId, (Timestamp, Arc<str>)>,
}

impl Planner {
    /// Plans one round and returns its commands, the most beneficial first.
    pub fn plan_round(
        &mut self,
        input: &PlannerInput<'_>,
        settings: PlannerSettings,
    ) -> Vec<LoadCommand> {
        let now = input.now;
        let expected = self.extrapolate(input);
        let input = &PlannerInput {
            demand: &expected,
            ..*input
        };
        self.sent.retain(|id, (at, model)| {
            let shown = input.engines.get(id).is_some_and(|r| r.holds(model));
            !shown && now.since(*at) < EFFECT_TIMEOUT
        });
        let mut engines = self.engines(input);
        let loading = input
            .engines
            .values()
            .filter(|r| !r.loading.is_empty())
            .count();
        let loading = loading + self.sent.len();
        let PlannerSettings {
            rate,
            concurrency,
            burst,
        } = settings;
        let mut grant = self.limiter.grant(now, loading, concurrency, rate, burst);
        let copies = engines.iter().flat_map(|engine| &engine.cached);
        let cached: HashSet<Arc<str>> = copies.cloned().collect();
        let mut commands = Vec::new();
        while commands.len() < MAX_COMMANDS {
            let step = Step::new(&engines, input, &cached);
            let Some(best) = step.best_load(grant > 0) else {
                break;
            };
            if best.from_store {
                self.limiter.take();
                grant -= 1;
            }
            let engine = &mut engines[best.engine];
            engine.held.retain(|m| !best.evict.contains(m));
            engine.serving.retain(|m| !best.evict.contains(m));
            engine.held.push(best.model.clone());
            engine.free = false;
            self.sent
                .insert(engine.id.clone(), (now, best.model.clone()));
            commands.push(LoadCommand {
                target: engine.id.clone(),
                model: best.model,
                evict: best.evict,
            });
        }
        commands
    }

    /// Returns the demand that is expected once a load that starts now has ended.
    fn extrapolate(&mut self, input: &PlannerInput<'_>) -> HashMap<Arc<str>, f64> {
        let last = self.updated.replace(input.now).unwrap_or(input.now);
        let elapsed = input.now.since(last).as_secs_f64();
        let keep = 0.5_f64.powf(elapsed / BASELINE_HALF_LIFE.as_secs_f64());
        self.baseline
            .retain(|model, _| input.demand.contains_key(model));
        let expect = |(model, demand): (&Arc<str>, &f64)| {
            let baseline = self.baseline.entry(model.clone()).or_insert(*demand);
            *baseline = *baseline * keep + demand * (1.0 - keep);
            let expected = demand + RISE_FACTOR * (demand - *baseline).max(0.0);
            (model.clone(), expected)
        };
        input.demand.iter().map(expect).collect()
    }

    fn engines(&self, input: &PlannerInput<'_>) -> Vec<PlannedEngine> {
        let engine = |(id, report): (&TargetId, &EngineReport)| {
            let serving: Vec<Arc<str>> = report.models.iter().map(|m| m.name.clone()).collect();
            let mut held = serving.clone();
            let sent = self.sent.get(id).map(|(_, model)| model.clone());
            let limited = input.limited.contains(id);
            let free = report.loading.is_empty() && sent.is_none() && !report.busy && !limited;
            let pending = report.loading.iter().map(|load| load.model.clone());
            for model in pending.chain(sent) {
                if !held.contains(&model) {
                    held.push(model);
                }
            }
            PlannedEngine {
                id: id.clone(),
                held,
                serving,
                free,
                limited,
                cached: report.cached.clone(),
            }
        };
        input.engines.iter().map(engine).collect()
    }
}

/// What the engines as planned so far make of one model.
#[derive(Debug, Default)]
struct ModelState {
    /// Indices of the engines that hold the model, or will.
    holders: Vec<usize>,
    /// Number of holders whose copy counts.
    copies: usize,
    /// Number of engines that serve the model now, as far as its demand goes.
    serving: usize,
    demand: f64,
}

impl ModelState {
    /// Returns the demand for each of `copies`; 0 without a copy.
    fn share(&self, copies: usize) -> f64 {
        if copies == 0 {
            0.0
        } else {
            self.demand / copies as f64
        }
    }
}

/// One step of a round: evaluates the possible loads for the engines as planned so far.
///
/// A load is evaluated by the engines that hold one of its models, and not by all engines, so that a round
/// takes little time in a large fleet.
struct Step<'a> {
    engines: &'a [PlannedEngine],
    input: &'a PlannerInput<'a>,
    /// The models of which an instance caches the weights.
    cached: &'a HashSet<Arc<str>>,
    /// The models that engines hold.
    models: HashMap<&'a str, ModelState>,
    /// The utilisation of each engine.
    utilisation: Vec<f64>,
}

impl<'a> Step<'a> {
    fn new(
        engines: &'a [PlannedEngine],
        input: &'a PlannerInput<'a>,
        cached: &'a HashSet<Arc<str>>,
    ) -> Self {
        let mut models: HashMap<&str, ModelState> = HashMap::new();
        for (index, engine) in engines.iter().enumerate() {
            for name in &engine.held {
                let counts = counts(engine, name, input);
                let model = models.entry(name).or_default();
                model.holders.push(index);
                model.copies += usize::from(counts);
                model.serving += usize::from(counts && engine.serving.contains(name));
            }
        }
        for (name, model) in &mut models {
            model.demand = input.demand.get(*name).copied().unwrap_or(0.0);
        }
        let utilisation = |engine: &PlannedEngine| {
            let shares = engine.held.iter().map(|name| {
                let model = &models[&**name];
                model.share(model.copies)
            });
            shares.sum()
        };
        Self {
            utilisation: engines.iter().map(utilisation).collect(),
            engines,
            input,
            cached,
            models,
        }
    }

    /// Returns whether an engine serves a model now, as far as its demand goes.
    fn serves(&self, engine: &PlannedEngine, model: &Arc<str>) -> bool {
        engine.serving.contains(model) && counts(engine, model, self.input)
    }

    /// Returns the number of engines other than `index` that serve a model now. A copy that is still being
    /// loaded does not count, since it serves no requests for seconds.
    fn serving_elsewhere(&self, model: &Arc<str>, index: usize) -> usize {
        let serving = self.models.get(&**model).map_or(0, |m| m.serving);
        serving - usize::from(self.serves(&self.engines[index], model))
    }

    fn demand(&self, model: &str) -> f64 {
        self.input.demand.get(model).copied().unwrap_or(0.0)
    }

    fn count(&self, model: &str) -> usize {
        self.models.get(model).map_or(0, |m| m.copies)
    }

    fn best_load(&self, store_allowed: bool) -> Option<PlannedLoad> {
        let spec = self.input.spec;
        let mut wanted: Vec<(f64, &ModelSpec)> = (spec.models.values())
            .map(|m| (self.copy_priority(&m.name), m))
            .filter(|(priority, _)| *priority > 0.0)
            .collect();
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0));
        wanted.truncate(MAX_CANDIDATES);
        let mut best: Option<PlannedLoad> = None;
        for (_, model) in wanted {
            for (index, engine) in self.engines.iter().enumerate().filter(|(_, e)| e.free) {
                if engine.held.contains(&model.name) {
                    continue;
                }
                let from_store = !engine.cached.contains(&model.name);
                if from_store && !store_allowed {
                    continue;
                }
                let (min_gain, time) = if from_store {
                    (MIN_STORE_GAIN, model.load)
                } else {
                    (MIN_LOCAL_GAIN, model.disk_load)
                };
                // The copy counts for the part of the horizon that is left when its load ends; the
                // evicted models are missing from now on.
                let share =
                    (1.0 - time.as_secs_f64() / HORIZON.as_secs_f64()).max(MIN_HORIZON_SHARE);
                let sets = evictions(engine, model, spec);
                for evict in sets.into_iter().filter(|e| self.may_evict(e, index, model)) {
                    let after = self.gain(index, Some(&model.name), &evict);
                    let meanwhile = self.gain(index, None, &evict);
                    let gain = after * share + meanwhile * (1.0 - share) - min_gain;
                    if gain > 0.0 && best.as_ref().is_none_or(|b| gain > b.gain) {
                        best = Some(PlannedLoad {
                            engine: index,
                            model: model.name.clone(),
                            evict,
                            gain,
                            from_store,
                        });
                    }
                }
            }
        }
        best
    }

    /// Returns whether the remaining copies of the evicted models can serve their demand until the
    /// new copy serves. A model whose demand per remaining copy is at most half of the new model's
    /// demand per copy may always be evicted. The gain accounts for the loss of a last copy.
    fn may_evict(&self, evict: &[Arc<str>], index: usize, model: &ModelSpec) -> bool {
        let serving = self.models.get(&*model.name).map_or(0, |m| m.serving);
        let per_copy = self.demand(&model.name) / serving.max(1) as f64;
        evict.iter().all(|name| {
            let left = self.serving_elsewhere(name, index);
            let load = self.demand(name) / left.max(1) as f64;
            left == 0 || load <= MAX_EVICT_DEMAND.max(per_copy / 2.0)
        })
    }

    /// Returns the priority of a further copy of a model: its demand per copy, and far more if no
    /// engine holds it.
    fn copy_priority(&self, model: &str) -> f64 {
        let demand = self.demand(model);
        match self.count(model) {
            0 => 1_000.0 * demand + ABSENT_COST,
            count => demand / count as f64,
        }
    }

    /// Returns the cost of a model that no engine holds. It is lower if an instance has a copy of
    /// the weights, since an engine could soon load the model again.
    fn absent_cost(&self, model: &Arc<str>) -> f64 {
        let demand = self.demand(model);
        let requested = if demand > REQUESTED_DEMAND {
            REQUESTED_COST
        } else {
            0.0
        };
        let cost = ABSENT_COST + requested + ABSENT_DEMAND_COST * demand;
        if self.cached.contains(model) {
            cost * CACHED_COST_SHARE
        } else {
            cost
        }
    }

    /// Returns by how much the total cost falls if engine `index` holds a copy of `model`, if any,
    /// and no longer holds the models in `evict`.
    fn gain(&self, index: usize, model: Option<&Arc<str>>, evict: &[Arc<str>]) -> f64 {
        let no_copies = ModelState {
            demand: model.map_or(0.0, |m| self.demand(m)),
            ..ModelState::default()
        };
        let state = |m: &Arc<str>| self.models.get(&**m).unwrap_or(&no_copies);
        let after = |m: &Arc<str>| {
            let added = usize::from(Some(m) == model);
            state(m).copies + added - usize::from(evict.contains(m))
        };
        let affected: Vec<&Arc<str>> = model.into_iter().chain(evict).collect();
        let mut engines: Vec<usize> = affected
            .iter()
            .flat_map(|m| state(m).holders.iter().copied())
            .chain([index])
            .collect();
        engines.sort_unstable();
        engines.dedup();
        let mut gain = 0.0;
        for i in engines.into_iter().filter(|i| !self.engines[*i].limited) {
            let mut change = 0.0;
            for m in &affected {
                let held = self.engines[i].held.contains(m);
                let kept = held && !(i == index && evict.contains(m));
                if held {
                    change -= state(m).share(state(m).copies);
                }
                if kept || (i == index && Some(*m) == model) {
                    change += state(m).share(after(m));
                }
            }
            let old = self.utilisation[i];
            gain += utilisation_cost(old) - utilisation_cost(old + change);
        }
        if let Some(model) = model.filter(|m| state(m).copies == 0) {
            gain += self.absent_cost(model);
        }
        for evicted in evict
            .iter()
            .filter(|m| self.serving_elsewhere(m, index) == 0)
        {
            gain -= self.absent_cost(evicted);
        }
        gain
    }
}

/// Returns whether an engine's copy of a model counts: one behind a limit can't serve a model in
/// demand.
fn counts(engine: &PlannedEngine, model: &Arc<str>, input: &PlannerInput<'_>) -> bool {
    let demand = input.demand.get(model).copied().unwrap_or(0.0);
    !engine.limited || demand <= MAX_LIMITED_DEMAND
}

/// Returns the cost of an engine's utilisation: its square, continued by the tangent above 1, so
/// that a model in great demand never costs less while no engine holds it.
fn utilisation_cost(utilisation: f64) -> f64 {
    if utilisation <= 1.0 {
        utilisation * utilisation
    } else {
        2.0 * utilisation - 1.0
    }
}

/// Returns the memory for a model and the adapters that may be loaded for it, in megabytes.
fn footprint_mb(model: &ModelSpec, slots: u32) -> f64 {
    model.weights_mb + model.adapter_mb * f64::from(slots.min(model.adapters))
}

/// Returns the sets of held models whose eviction frees enough memory for `model`: the empty set if
/// it fits as is, else single models, else pairs.
fn evictions(engine: &PlannedEngine, model: &ModelSpec, spec: &EngineSpec) -> Vec<Vec<Arc<str>>> {
    let size = |name: &Arc<str>| {
        let known = spec
            .models
            .get(name)
            .map(|m| footprint_mb(m, spec.adapter_slots));
        known.unwrap_or(spec.weights_mb)
    };
    let used: f64 = engine.held.iter().map(size).sum();
    let need = used + footprint_mb(model, spec.adapter_slots) - spec.weights_mb;
    if need <= 0.0 {
        return vec![Vec::new()];
    }
    let singles: Vec<Vec<Arc<str>>> = (engine.held.iter())
        .filter(|m| size(m) >= need)
        .map(|m| vec![m.clone()])
        .collect();
    if !singles.is_empty() {
        return singles;
    }
    let mut pairs = Vec::new();
    for (i, first) in engine.held.iter().enumerate() {
        for second in &engine.held[i + 1..] {
            if size(first) + size(second) >= need {
                pairs.push(vec![first.clone(), second.clone()]);
            }
        }
    }
    pairs
}
