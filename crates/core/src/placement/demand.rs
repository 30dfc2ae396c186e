//! The policy that follows demand where a move pays.

use std::time::Duration;

use super::board::Keep;
use super::estimate::Estimator;
use super::flow::Flow;
use super::policy::PlacementPlugin;
use super::round::{PlannerState, Round};
use super::{PlacementPolicy, PlanInput, PlannedOrder};

/// Time over which a move has to pay.
const HORIZON: Duration = Duration::from_mins(2);
/// Requests that a move must gain over the horizon when both measures weigh the same.
const REQUESTS_PER_MOVE: f64 = 10.0;
/// Least gain for which a copy is added, in requests in progress.
const LEAST_GAIN: f64 = 0.5;
/// Models without enough slots that a round looks at.
const MODELS_A_ROUND: usize = 32;
/// Last priority that a deployment may have.
const LAST_PRIORITY: u8 = 9;

inventory::submit! {
    PlacementPlugin {
        name: "demand",
        make: || Box::<DemandPlacement>::default(),
    }
}

/// Follows demand where a move pays, and keeps what is there otherwise.
#[derive(Debug, Default)]
struct DemandPlacement {
    state: PlannerState,
    estimator: Estimator,
}

impl PlacementPolicy for DemandPlacement {
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<PlannedOrder> {
        self.estimator.observe(input);
        let mut round = Round::start(input, &mut self.state);
        let levels = levels(&round, &self.estimator);
        let worth = worth(&round, &levels);
        round.repair(&worth);
        round.retire();
        follow(&mut round, &levels, &self.estimator);
        round.place_adapters();
        round.finish()
    }
}

/// Returns the requests that each model on the board is expected to have in progress.
fn levels(round: &Round<'_>, estimator: &Estimator) -> Vec<f64> {
    let models = round.board.models.iter();
    models.map(|row| estimator.level(&row.id)).collect()
}

/// Returns the requests that one copy of each model is expected to run.
fn worth(round: &Round<'_>, levels: &[f64]) -> Vec<f64> {
    let rows = round.board.models.iter().zip(levels);
    rows.map(|(row, level)| level * weight(row.priority) / row.copies.len().max(1) as f64)
        .collect()
}

/// Returns the weight of a request of a priority.
fn weight(priority: u8) -> f64 {
    1.0 + f64::from(LAST_PRIORITY.saturating_sub(priority)) / f64::from(LAST_PRIORITY)
}

/// A load with the unloads that make room for it.
#[derive(Debug, Clone)]
struct Move {
    model: usize,
    place: usize,
    victims: Vec<usize>,
    gain: f64,
}

/// Adds copies where demand finds no slot, as long as the moves pay.
fn follow(round: &mut Round<'_>, levels: &[f64], estimator: &Estimator) {
    let limit = usize::from(round.input.document.policy.load_flight.max(1));
    let mut passed = vec![false; levels.len()];
    while round.intents() < limit {
        let flow = Flow::new(&round.board, levels);
        let best = shortest(round, &flow, &passed)
            .into_iter()
            .find_map(|model| {
                let found = best_move(round, &flow, model, estimator);
                passed[model] = found.is_none();
                found
            });
        let Some(best) = best else {
            return;
        };
        if !apply(round, &best) {
            passed[best.model] = true;
        }
    }
}

/// Returns the models that lack slots, by priority and then by how many they lack.
fn shortest(round: &Round<'_>, flow: &Flow, passed: &[bool]) -> Vec<usize> {
    let mut models: Vec<usize> = (0..passed.len())
        .filter(|&m| round.board.models[m].is_served() && !passed[m])
        .filter(|&m| flow.short[m] >= LEAST_GAIN)
        .collect();
    models.sort_by(|&a, &b| {
        let priority = |m: usize| round.board.models[m].priority;
        let short = flow.short[b].total_cmp(&flow.short[a]);
        priority(a).cmp(&priority(b)).then(short).then(a.cmp(&b))
    });
    models.truncate(MODELS_A_ROUND);
    models
}

/// Returns the move that gains most for a model, if one pays.
fn best_move(round: &Round<'_>, flow: &Flow, model: usize, estimator: &Estimator) -> Option<Move> {
    let row = &round.board.models[model];
    let service = estimator.service(&row.id);
    (0..round.board.accelerators.len())
        .filter(|&place| row.may_be_in(round.board.accelerators[place].centre))
        .filter_map(|place| move_to(round, flow, model, place))
        .filter(|m| pays(round, m, service))
        .max_by(|a, b| {
            let gain = per_move(a).total_cmp(&per_move(b));
            gain.then(b.place.cmp(&a.place))
        })
}

fn per_move(m: &Move) -> f64 {
    m.gain / (1 + m.victims.len()) as f64
}

/// Works out what a copy on an accelerator would gain.
fn move_to(round: &Round<'_>, flow: &Flow, model: usize, place: usize) -> Option<Move> {
    let board = &round.board;
    let worth = |m: usize| flow.loss(board, m, place) * weight(board.models[m].priority);
    let room = round.room_on(model, place, Keep::Floor, worth)?;
    let freed: f64 = room.victims.iter().map(|&v| flow.on(board, v, place)).sum();
    let slots = (flow.left[place] + freed).min(board.models[model].slots);
    let gained = flow.short[model].min(slots.max(0.0));
    Some(Move {
        model,
        place,
        victims: room.victims,
        gain: gained * weight(board.models[model].priority) - room.value,
    })
}

/// Says whether a move gains enough requests for the loads and unloads that it takes.
fn pays(round: &Round<'_>, m: &Move, service: f64) -> bool {
    let weight = round.input.document.policy.moves_weight.clamp(0.0, 1.0);
    let requests = m.gain / service * HORIZON.as_secs_f64();
    let moves = (1 + m.victims.len()) as f64;
    m.gain >= LEAST_GAIN
        && requests * (1.0 - weight) >= moves * REQUESTS_PER_MOVE * weight
        && weight < 1.0
}

fn apply(round: &mut Round<'_>, m: &Move) -> bool {
    for &victim in &m.victims {
        if !round.unload(victim, m.place, Keep::Floor) {
            return false;
        }
    }
    round.plan_load(m.model, m.place, m.gain);
    true
}
