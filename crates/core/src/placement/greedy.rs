//! The policy that places anew for the present demand in each round.

use std::collections::BTreeSet;

use super::board::{Board, Keep};
use super::estimate::Estimator;
use super::even::Spot;
use super::model_row::CopyState;
use super::policy::PlacementPlugin;
use super::round::{PlannerState, Round};
use super::{PlacementPolicy, PlanInput, PlannedOrder};

inventory::submit! {
    PlacementPlugin {
        name: "greedy",
        make: || Box::<GreedyPlacement>::default(),
    }
}

/// Places anew for the present demand in each round; copies are moved freely.
#[derive(Debug, Default)]
struct GreedyPlacement {
    state: PlannerState,
    estimator: Estimator,
}

impl PlacementPolicy for GreedyPlacement {
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<PlannedOrder> {
        self.estimator.observe(input);
        self.state.forget_intents();
        let mut round = Round::start(input, &mut self.state);
        let levels = levels(&round, &self.estimator);
        let wanted = place_anew(&round.board, input, &levels);
        unload_others(&mut round, &wanted);
        load_missing(&mut round, &wanted, &levels);
        round.repair(&levels);
        round.retire();
        round.place_adapters();
        round.finish()
    }
}

fn levels(round: &Round<'_>, estimator: &Estimator) -> Vec<f64> {
    let models = round.board.models.iter();
    models
        .map(|row| {
            let demand = round.input.demand.get(&row.id);
            demand.map_or(0.0, |d| d.rate * estimator.service(&row.id))
        })
        .collect()
}

/// Returns the placement that gives each copy to the model with most requests a copy.
fn place_anew(board: &Board, input: &PlanInput<'_>, levels: &[f64]) -> BTreeSet<(usize, usize)> {
    let mut anew = Anew {
        board,
        free_mb: free_of_all(board, input),
        held: vec![Vec::new(); board.accelerators.len()],
        spots: Vec::new(),
    };
    let mut copies = vec![0.0; levels.len()];
    let mut open: Vec<usize> = (0..levels.len())
        .filter(|&m| board.models[m].is_served())
        .collect();
    open.sort_by_key(|&m| std::cmp::Reverse(board.models[m].need_mb()));
    for &model in &open {
        for _ in 0..board.models[model]
            .wants
            .iter()
            .map(|w| w.floor)
            .max()
            .unwrap_or(0)
        {
            if anew.add(model) {
                copies[model] += 1.0;
            }
        }
    }
    while let Some(model) = most_loaded(&open, levels, &copies) {
        if anew.add(model) {
            copies[model] += 1.0;
        } else {
            open.retain(|&m| m != model);
        }
    }
    anew.spots.iter().map(|s| (s.model, s.place)).collect()
}

fn most_loaded(open: &[usize], levels: &[f64], copies: &[f64]) -> Option<usize> {
    let load = |m: usize| levels[m] / (copies[m] + 1.0);
    open.iter()
        .copied()
        .max_by(|&a, &b| load(a).total_cmp(&load(b)).then(b.cmp(&a)))
}

fn free_of_all(board: &Board, input: &PlanInput<'_>) -> Vec<i64> {
    let free = |a: &super::board::Accelerator| {
        let target = input.document.target(&a.target).filter(|_| a.usable);
        target.map_or(0, |t| i64::from(t.accelerator_mb))
    };
    board.accelerators.iter().map(free).collect()
}

/// The placement while it is worked out.
struct Anew<'a> {
    board: &'a Board,
    free_mb: Vec<i64>,
    held: Vec<Vec<usize>>,
    spots: Vec<Spot>,
}

impl Anew<'_> {
    /// Adds a copy on the accelerator with most free memory, and says whether one had room.
    fn add(&mut self, model: usize) -> bool {
        let row = &self.board.models[model];
        let spot = (0..self.free_mb.len())
            .filter(|&p| row.may_be_in(self.board.accelerators[p].centre))
            .filter(|&p| self.free_mb[p] >= row.need_mb() && !self.held[p].contains(&model))
            .max_by_key(|&p| (self.free_mb[p], std::cmp::Reverse(p)));
        let Some(place) = spot else {
            return false;
        };
        self.free_mb[place] -= row.need_mb();
        self.held[place].push(model);
        self.spots.push(Spot { model, place });
        true
    }
}

fn unload_others(round: &mut Round<'_>, wanted: &BTreeSet<(usize, usize)>) {
    for model in 0..round.board.models.len() {
        let ready: Vec<usize> = round.board.models[model]
            .copies
            .iter()
            .filter(|c| c.state == CopyState::Ready)
            .map(|c| c.accelerator)
            .filter(|&place| !wanted.contains(&(model, place)))
            .collect();
        for place in ready {
            round.unload(model, place, Keep::Floor);
        }
    }
}

fn load_missing(round: &mut Round<'_>, wanted: &BTreeSet<(usize, usize)>, levels: &[f64]) {
    for &(model, place) in wanted {
        let row = &round.board.models[model];
        let accelerator = &round.board.accelerators[place];
        let fits = accelerator.free_mb + accelerator.going_mb >= row.need_mb();
        if fits && !row.is_on(place) {
            round.plan_load(model, place, levels[model]);
        }
    }
}
