//! Which engine loads which model next.
//!
//! Load pattern: demand moves between models within seconds while all must stay reachable on few
//! engines. A round looks for the single load, with the models that make way for it, that most
//! lowers the cost of the engines' loads; a model in demand that nobody holds weighs most.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::config::{EngineSpec, ModelSpec};
use super::engine::EngineReport;
use super::target::TargetId;
use crate::placement::LoadLimiter;

/// How long an engine may take to show a command's effect before it is considered again.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How far ahead the gain of a copy counts; demand moves on by then.
const HORIZON: Duration = Duration::from_secs(12);
/// The least share of the horizon for which a copy counts, however long its load takes.
const MIN_SHARE: f64 = 0.1;
/// Half-life of the demand against which a rise shows.
const BASE_HALF_LIFE: Duration = Duration::from_secs(5);
/// How much of a rise is expected to follow within the time of a load.
const RISE_FACTOR: f64 = 1.0;
/// Cost of a model that nobody holds, whatever its demand.
const ABSENT_COST: f64 = 0.07;
/// Cost of a model in demand that nobody holds, for each unit of demand.
const ABSENT_DEMAND_COST: f64 = 12.0;
/// Cost of a model that is asked for and that nobody holds.
const ASKED_FOR_COST: f64 = 0.12;
/// Share of the cost that remains where an engine could load the model from its own copy.
const CACHED_COST_SHARE: f64 = 0.5;
/// Demand above which a model counts as asked for, in engines.
const ASKED_FOR: f64 = 0.002;
/// Least gain of a load from the weight store, in squared engine loads.
const STORE_LOAD_GAIN: f64 = 0.1;
/// Least gain of a load from the target's own copy.
const LOCAL_LOAD_GAIN: f64 = 0.06;
/// Load of a model's remaining copies up to which one of them may make way.
const EVICT_LOAD: f64 = 0.6;
/// Models considered for a further copy in one round.
const MAX_CANDIDATES: usize = 6;
/// Commands in one round.
const MAX_COMMANDS: usize = 8;

/// Orders one engine to load a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadCommand {
    /// The target.
    pub target: TargetId,
    /// The model.
    pub model: Arc<str>,
    /// The models that make way first.
    pub evict: Vec<Arc<str>>,
}

/// What a deployment allows of loads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// Loads from the weight store that may begin each second.
    pub rate: f64,
    /// Loads from the weight store that may be in progress.
    pub concurrency: u16,
    /// Loads from the weight store that may begin at once after a quiet time.
    pub burst: f64,
}

/// What one round looks at.
#[derive(Debug)]
pub struct PlannerInput<'a> {
    /// The present time.
    pub now: Timestamp,
    /// The demand of all entries for each model, in engines that it keeps busy.
    pub demand: &'a HashMap<Arc<str>, f64>,
    /// The engines that take work and have reported lately.
    pub engines: &'a BTreeMap<TargetId, EngineReport>,
    /// What the engines' service offers.
    pub spec: &'a EngineSpec,
}

#[derive(Debug, Clone)]
struct Slot {
    id: TargetId,
    /// Models that serve now or will once their load is over.
    held: Vec<Arc<str>>,
    /// Models that serve now.
    serving: Vec<Arc<str>>,
    free: bool,
    cached: Vec<Arc<str>>,
}

#[derive(Debug, Clone)]
struct Move {
    slot: usize,
    model: Arc<str>,
    evict: Vec<Arc<str>>,
    gain: f64,
    from_store: bool,
}

/// Plans loads round by round.
#[derive(Debug, Default)]
pub struct Planner {
    limiter: LoadLimiter,
    /// Slowly smoothed demand, against which a rise shows.
    base: HashMap<Arc<str>, f64>,
    updated: Option<Timestamp>,
    sent: HashMap<TargetId, (Timestamp, Arc<str>)>,
}

impl Planner {
    /// Plans one round.
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
            !shown && now.since(*at) < COMMAND_TIMEOUT
        });
        let mut slots = self.slots(input);
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
        let mut commands = Vec::new();
        while commands.len() < MAX_COMMANDS {
            let view = View::new(&slots, input);
            let Some(best) = view.best_move(grant > 0) else {
                break;
            };
            if best.from_store {
                self.limiter.take();
                grant -= 1;
            }
            let slot = &mut slots[best.slot];
            slot.held.retain(|m| !best.evict.contains(m));
            slot.serving.retain(|m| !best.evict.contains(m));
            slot.held.push(best.model.clone());
            slot.free = false;
            self.sent.insert(slot.id.clone(), (now, best.model.clone()));
            commands.push(LoadCommand {
                target: slot.id.clone(),
                model: best.model,
                evict: best.evict,
            });
        }
        commands
    }

    /// Returns the demand that is expected once a load that begins now is over.
    fn extrapolate(&mut self, input: &PlannerInput<'_>) -> HashMap<Arc<str>, f64> {
        let last = self.updated.replace(input.now).unwrap_or(input.now);
        let elapsed = input.now.since(last).as_secs_f64();
        let keep = 0.5_f64.powf(elapsed / BASE_HALF_LIFE.as_secs_f64());
        self.base
            .retain(|model, _| input.demand.contains_key(model));
        let rise = |(model, demand): (&Arc<str>, &f64)| {
            let base = self.base.entry(model.clone()).or_insert(*demand);
            *base = *base * keep + demand * (1.0 - keep);
            let expected = demand + RISE_FACTOR * (demand - *base).max(0.0);
            (model.clone(), expected)
        };
        input.demand.iter().map(rise).collect()
    }

    fn slots(&self, input: &PlannerInput<'_>) -> Vec<Slot> {
        let slot = |(id, report): (&TargetId, &EngineReport)| {
            let serving: Vec<Arc<str>> = report.models.iter().map(|m| m.name.clone()).collect();
            let mut held = serving.clone();
            let sent = self.sent.get(id).map(|(_, model)| model.clone());
            let free = report.loading.is_empty() && sent.is_none() && !report.busy;
            let pending = report.loading.iter().map(|load| load.model.clone());
            for model in pending.chain(sent) {
                if !held.contains(&model) {
                    held.push(model);
                }
            }
            Slot {
                id: id.clone(),
                held,
                serving,
                free,
                cached: report.cached.clone(),
            }
        };
        input.engines.iter().map(slot).collect()
    }
}

/// The engines and the demand as one step of a round sees them.
struct View<'a> {
    slots: &'a [Slot],
    input: &'a PlannerInput<'a>,
    copies: HashMap<Arc<str>, usize>,
}

impl<'a> View<'a> {
    fn new(slots: &'a [Slot], input: &'a PlannerInput<'a>) -> Self {
        let mut copies = HashMap::new();
        for model in slots.iter().flat_map(|s| &s.held) {
            *copies.entry(model.clone()).or_insert(0) += 1;
        }
        Self {
            slots,
            input,
            copies,
        }
    }

    fn demand(&self, model: &str) -> f64 {
        self.input.demand.get(model).copied().unwrap_or(0.0)
    }

    fn count(&self, model: &str) -> usize {
        self.copies.get(model).copied().unwrap_or(0)
    }

    fn best_move(&self, store_allowed: bool) -> Option<Move> {
        let spec = self.input.spec;
        let mut wanted: Vec<(f64, &ModelSpec)> = (spec.models.values())
            .map(|m| (self.pressure(&m.name), m))
            .filter(|(pressure, _)| *pressure > 0.0)
            .collect();
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0));
        wanted.truncate(MAX_CANDIDATES);
        let mut best: Option<Move> = None;
        for (_, model) in wanted {
            for (index, slot) in self.slots.iter().enumerate().filter(|(_, s)| s.free) {
                if slot.held.contains(&model.name) {
                    continue;
                }
                let from_store = !slot.cached.contains(&model.name);
                if from_store && !store_allowed {
                    continue;
                }
                let (least, time) = if from_store {
                    (STORE_LOAD_GAIN, model.load)
                } else {
                    (LOCAL_LOAD_GAIN, model.disk_load)
                };
                // The copy counts for what is left of the horizon once it serves; what makes way is
                // missed from now on.
                let share = (1.0 - time.as_secs_f64() / HORIZON.as_secs_f64()).max(MIN_SHARE);
                let sets = evictions(slot, model, spec);
                for evict in sets.into_iter().filter(|e| self.may_evict(e, index, model)) {
                    let after = self.gain(index, Some(&model.name), &evict);
                    let meanwhile = self.gain(index, None, &evict);
                    let gain = after * share + meanwhile * (1.0 - share) - least;
                    if gain > 0.0 && best.as_ref().is_none_or(|b| gain > b.gain) {
                        best = Some(Move {
                            slot: index,
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

    /// Says whether the copies that go on serving can carry what the evicted ones did, until the
    /// new copy serves; those of a model with less demand a copy than the new one has always may go.
    fn may_evict(&self, evict: &[Arc<str>], index: usize, model: &ModelSpec) -> bool {
        let serving = |name: &Arc<str>, without: Option<usize>| {
            let others = self
                .slots
                .iter()
                .enumerate()
                .filter(|(i, _)| Some(*i) != without);
            others
                .filter(|(_, slot)| slot.serving.contains(name))
                .count()
        };
        let pressure = self.demand(&model.name) / serving(&model.name, None).max(1) as f64;
        evict.iter().all(|name| {
            let left = serving(name, Some(index));
            let load = self.demand(name) / left.max(1) as f64;
            left == 0 || load <= EVICT_LOAD.max(pressure / 2.0)
        })
    }

    /// Returns how much a further copy of a model could help.
    fn pressure(&self, model: &str) -> f64 {
        let demand = self.demand(model);
        match self.count(model) {
            0 => 1_000.0 * demand + ABSENT_COST,
            count => demand / count as f64,
        }
    }

    /// Returns the cost of holding a model nowhere; an engine with a copy of its weights could bring
    /// it back soon.
    fn absent_cost(&self, model: &Arc<str>) -> f64 {
        let demand = self.demand(model);
        let asked = if demand > ASKED_FOR {
            ASKED_FOR_COST
        } else {
            0.0
        };
        let cost = ABSENT_COST + asked + ABSENT_DEMAND_COST * demand;
        let cached = self.slots.iter().any(|s| s.cached.contains(model));
        if cached {
            cost * CACHED_COST_SHARE
        } else {
            cost
        }
    }

    /// Says whether an engine other than `index` serves a model now; a copy that is still being
    /// loaded serves nobody for seconds.
    fn serves_beside(&self, model: &Arc<str>, index: usize) -> bool {
        let others = self.slots.iter().enumerate().filter(|(i, _)| *i != index);
        others
            .map(|(_, slot)| slot)
            .any(|slot| slot.serving.contains(model))
    }

    /// Returns by how much a copy of `model`, and none of those evicted, lowers the sum of squared
    /// engine loads and absent models.
    fn gain(&self, index: usize, model: Option<&Arc<str>>, evict: &[Arc<str>]) -> f64 {
        let before = |m: &Arc<str>| self.count(m);
        let added = |m: &Arc<str>| usize::from(Some(m) == model);
        let after = |m: &Arc<str>| before(m) + added(m) - usize::from(evict.contains(m));
        let share = |m: &Arc<str>, count: usize| {
            if count == 0 {
                0.0
            } else {
                self.demand(m) / count as f64
            }
        };
        let mut gain = 0.0;
        for (i, slot) in self.slots.iter().enumerate() {
            let touched = |m: &Arc<str>| Some(m) == model || evict.contains(m);
            if i != index && !slot.held.iter().any(touched) {
                continue;
            }
            let old: f64 = slot.held.iter().map(|m| share(m, before(m))).sum();
            let mut new: f64 = (slot.held.iter())
                .filter(|m| i != index || !evict.contains(m))
                .map(|m| share(m, after(m)))
                .sum();
            if let Some(model) = model.filter(|_| i == index) {
                new += share(model, after(model));
            }
            gain += load_cost(old) - load_cost(new);
        }
        if let Some(model) = model.filter(|m| before(m) == 0) {
            gain += self.absent_cost(model);
        }
        for evicted in evict.iter().filter(|m| !self.serves_beside(m, index)) {
            gain -= self.absent_cost(evicted);
        }
        gain
    }
}

/// Returns the cost of an engine's load: its square, and beyond saturation its tangent, so that a
/// model in great demand is never better held nowhere.
fn load_cost(load: f64) -> f64 {
    if load <= 1.0 {
        load * load
    } else {
        2.0 * load - 1.0
    }
}

/// Returns the memory that a model takes with the adapters that may come to it, in megabytes.
fn footprint(model: &ModelSpec, slots: u32) -> f64 {
    model.weights_mb + model.adapter_mb * f64::from(slots.min(model.adapters))
}

/// Lists the sets of held models that may make way, smallest first.
fn evictions(slot: &Slot, model: &ModelSpec, spec: &EngineSpec) -> Vec<Vec<Arc<str>>> {
    let size = |name: &Arc<str>| {
        let known = spec
            .models
            .get(name)
            .map(|m| footprint(m, spec.adapter_slots));
        known.unwrap_or(spec.weights_mb)
    };
    let used: f64 = slot.held.iter().map(size).sum();
    let need = used + footprint(model, spec.adapter_slots) - spec.weights_mb;
    if need <= 0.0 {
        return vec![Vec::new()];
    }
    let singles: Vec<Vec<Arc<str>>> = (slot.held.iter())
        .filter(|m| size(m) >= need)
        .map(|m| vec![m.clone()])
        .collect();
    if !singles.is_empty() {
        return singles;
    }
    let mut pairs = Vec::new();
    for (i, first) in slot.held.iter().enumerate() {
        for second in &slot.held[i + 1..] {
            if size(first) + size(second) >= need {
                pairs.push(vec![first.clone(), second.clone()]);
            }
        }
    }
    pairs
}
