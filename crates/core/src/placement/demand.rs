//! The `demand` policy, which adds replicas where the expected gain outweighs the moves.
//!
//! A move is a load or an unload. The policy first restores floors, then unloads retired versions,
//! then adds replicas for models whose expected requests exceed their slots.

use std::time::Duration;

use super::distribution::Distribution;
use super::estimate::Estimator;
use super::layout::MinReplicas;
use super::policy::PlacementPlugin;
use super::round::{PlannerState, Round};
use super::{PlacementPolicy, PlanInput, PlannedOrder};

/// Time over which the gain of a move is counted.
const PAYBACK_HORIZON: Duration = Duration::from_mins(2);
/// Requests that a move must gain within [`PAYBACK_HORIZON`] at a moves weight of one half.
const MIN_REQUESTS_PER_MOVE: f64 = 10.0;
/// Minimum shortfall and gain for which a replica is added, in requests in progress.
const MIN_GAIN: f64 = 0.5;
/// Maximum number of models with a shortfall of slots that are considered for one move.
const MAX_CANDIDATES: usize = 32;
/// Lowest priority of a deployment.
const LOWEST_PRIORITY: u8 = 9;

inventory::submit! {
    PlacementPlugin {
        name: "demand",
        make: || Box::<DemandPlacement>::default(),
    }
}

/// Adds replicas where demand exceeds the slots and a move pays off; keeps the placement otherwise.
#[derive(Debug, Default)]
struct DemandPlacement {
    state: PlannerState,
    estimator: Estimator,
}

impl PlacementPolicy for DemandPlacement {
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<PlannedOrder> {
        self.estimator.observe(input);
        let mut round = Round::start(input, &mut self.state);
        let concurrency = concurrency(&round, &self.estimator);
        let replica_values = replica_values(&round, &concurrency);
        round.repair(&replica_values);
        round.retire();
        add_replicas(&mut round, &concurrency, &self.estimator);
        round.place_adapters();
        round.finish()
    }
}

/// Returns the expected requests in progress of each model of the layout.
fn concurrency(round: &Round<'_>, estimator: &Estimator) -> Vec<f64> {
    let models = round.layout.models.iter();
    models.map(|row| estimator.concurrency(&row.id)).collect()
}

/// Returns the expected requests in progress per replica of each model, weighted by priority.
fn replica_values(round: &Round<'_>, concurrency: &[f64]) -> Vec<f64> {
    let rows = round.layout.models.iter().zip(concurrency);
    rows.map(|(row, expected)| {
        expected * priority_weight(row.priority) / row.replicas.len().max(1) as f64
    })
    .collect()
}

/// Returns the weight of a request: 2 at the highest priority, 1 at the lowest.
fn priority_weight(priority: u8) -> f64 {
    1.0 + f64::from(LOWEST_PRIORITY.saturating_sub(priority)) / f64::from(LOWEST_PRIORITY)
}

/// A load together with the unloads that make room for it.
#[derive(Debug, Clone)]
struct Move {
    model: usize,
    accel: usize,
    /// The models whose replicas on the accelerator are unloaded.
    victims: Vec<usize>,
    /// Additional requests in progress, weighted by priority and less those that the victims lose.
    gain: f64,
}

/// Plans replicas for models with a shortfall of slots, as long as the moves pay off.
///
/// Stops when as many loads are planned as may be in flight.
fn add_replicas(round: &mut Round<'_>, concurrency: &[f64], estimator: &Estimator) {
    let limit = usize::from(round.input.document.policy.load_flight.max(1));
    let mut skipped = vec![false; concurrency.len()];
    while round.planned_loads() < limit {
        let distribution = Distribution::new(&round.layout, concurrency);
        let best = models_short_of_slots(round, &distribution, &skipped)
            .into_iter()
            .find_map(|model| {
                let found = best_move(round, &distribution, model, estimator);
                skipped[model] = found.is_none();
                found
            });
        let Some(best) = best else {
            return;
        };
        if !apply(round, &best) {
            skipped[best.model] = true;
        }
    }
}

/// Returns the served models with a shortfall of slots, by priority and then by shortfall.
fn models_short_of_slots(
    round: &Round<'_>,
    distribution: &Distribution,
    skipped: &[bool],
) -> Vec<usize> {
    let mut models: Vec<usize> = (0..skipped.len())
        .filter(|&m| round.layout.models[m].is_served() && !skipped[m])
        .filter(|&m| distribution.shortfall[m] >= MIN_GAIN)
        .collect();
    models.sort_by(|&a, &b| {
        let priority = |m: usize| round.layout.models[m].priority;
        let shortfall = distribution.shortfall[b].total_cmp(&distribution.shortfall[a]);
        priority(a)
            .cmp(&priority(b))
            .then(shortfall)
            .then(a.cmp(&b))
    });
    models.truncate(MAX_CANDIDATES);
    models
}

/// Returns the move with the highest gain per load and unload for a model, if one pays off.
fn best_move(
    round: &Round<'_>,
    distribution: &Distribution,
    model: usize,
    estimator: &Estimator,
) -> Option<Move> {
    let row = &round.layout.models[model];
    let service_secs = estimator.service_secs(&row.id);
    (0..round.layout.accelerators.len())
        .filter(|&accel| row.is_allowed_in(round.layout.accelerators[accel].centre))
        .filter_map(|accel| evaluate_move(round, distribution, model, accel))
        .filter(|m| pays_off(round, m, service_secs))
        .max_by(|a, b| {
            let gain = gain_per_move(a).total_cmp(&gain_per_move(b));
            gain.then(b.accel.cmp(&a.accel))
        })
}

fn gain_per_move(m: &Move) -> f64 {
    m.gain / (1 + m.victims.len()) as f64
}

/// Returns the move that places a replica on an accelerator; `None` if no room can be made there.
fn evaluate_move(
    round: &Round<'_>,
    distribution: &Distribution,
    model: usize,
    accel: usize,
) -> Option<Move> {
    let layout = &round.layout;
    let loss =
        |m: usize| distribution.loss(layout, m, accel) * priority_weight(layout.models[m].priority);
    let eviction = round.find_eviction(model, accel, MinReplicas::Floor, loss)?;
    let freed: f64 = eviction
        .victims
        .iter()
        .map(|&v| distribution.requests_on(layout, v, accel))
        .sum();
    let slots = (distribution.free_slots[accel] + freed).min(layout.models[model].slots);
    let gained = distribution.shortfall[model].min(slots.max(0.0));
    Some(Move {
        model,
        accel,
        victims: eviction.victims,
        gain: gained * priority_weight(layout.models[model].priority) - eviction.cost,
    })
}

/// Returns whether a move gains enough requests for its loads and unloads.
///
/// The moves weight sets the price: 0 accepts every gain from [`MIN_GAIN`] on, 1 accepts no move.
fn pays_off(round: &Round<'_>, m: &Move, service_secs: f64) -> bool {
    let moves_weight = round.input.document.policy.moves_weight.clamp(0.0, 1.0);
    let requests = m.gain / service_secs * PAYBACK_HORIZON.as_secs_f64();
    let moves = (1 + m.victims.len()) as f64;
    m.gain >= MIN_GAIN
        && requests * (1.0 - moves_weight) >= moves * MIN_REQUESTS_PER_MOVE * moves_weight
        && moves_weight < 1.0
}

/// Orders the unloads of a move and plans its load; returns `false` if an unload is not possible.
fn apply(round: &mut Round<'_>, m: &Move) -> bool {
    for &victim in &m.victims {
        if !round.unload(victim, m.accel, MinReplicas::Floor) {
            return false;
        }
    }
    round.plan_load(m.model, m.accel, m.gain);
    true
}
