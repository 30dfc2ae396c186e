//! The `greedy` policy, which recomputes the whole placement in each round.

use std::collections::BTreeSet;

use super::estimate::Estimator;
use super::layout::{Layout, MinReplicas};
use super::model_row::Availability;
use super::policy::PlacementPlugin;
use super::round::{PlannerState, Round};
use super::static_policy::Assignment;
use super::{PlacementPolicy, PlanInput, PlannedOrder};

inventory::submit! {
    PlacementPlugin {
        name: "greedy",
        make: || Box::<GreedyPlacement>::default(),
    }
}

/// Recomputes the placement from the current demand, whatever moves it takes.
#[derive(Debug, Default)]
struct GreedyPlacement {
    state: PlannerState,
    estimator: Estimator,
}

impl PlacementPolicy for GreedyPlacement {
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<PlannedOrder> {
        self.estimator.observe(input);
        self.state.clear_planned_loads();
        let mut round = Round::start(input, &mut self.state);
        let concurrency = concurrency(&round, &self.estimator);
        let wanted = greedy_assignments(&round.layout, input, &concurrency);
        unload_unwanted(&mut round, &wanted);
        load_missing(&mut round, &wanted, &concurrency);
        round.repair(&concurrency);
        round.retire();
        round.place_adapters();
        round.finish()
    }
}

/// Returns the offered concurrency of each model, without smoothing of the rate.
fn concurrency(round: &Round<'_>, estimator: &Estimator) -> Vec<f64> {
    let models = round.layout.models.iter();
    models
        .map(|row| {
            let demand = round.input.demand.get(&row.id);
            demand.map_or(0.0, |d| d.rate * estimator.service_secs(&row.id))
        })
        .collect()
}

/// Returns the wanted replicas as pairs of model and accelerator.
///
/// Floors are assigned first, largest models first. Each further replica goes to the model with the
/// most requests per replica, until none fits any more.
fn greedy_assignments(
    layout: &Layout,
    input: &PlanInput<'_>,
    concurrency: &[f64],
) -> BTreeSet<(usize, usize)> {
    let mut greedy = GreedyAssignment {
        layout,
        free_mb: capacity_mb(layout, input),
        assigned: vec![Vec::new(); layout.accelerators.len()],
        assignments: Vec::new(),
    };
    let mut replicas = vec![0.0; concurrency.len()];
    let mut remaining: Vec<usize> = (0..concurrency.len())
        .filter(|&m| layout.models[m].is_served())
        .collect();
    remaining.sort_by_key(|&m| std::cmp::Reverse(layout.models[m].need_mb()));
    for &model in &remaining {
        for _ in 0..layout.models[model]
            .requirements
            .iter()
            .map(|r| r.floor)
            .max()
            .unwrap_or(0)
        {
            if greedy.add(model) {
                replicas[model] += 1.0;
            }
        }
    }
    while let Some(model) = most_loaded(&remaining, concurrency, &replicas) {
        if greedy.add(model) {
            replicas[model] += 1.0;
        } else {
            remaining.retain(|&m| m != model);
        }
    }
    greedy
        .assignments
        .iter()
        .map(|a| (a.model, a.accel))
        .collect()
}

/// Returns the model that would have the most requests per replica after one more replica.
fn most_loaded(remaining: &[usize], concurrency: &[f64], replicas: &[f64]) -> Option<usize> {
    let load = |m: usize| concurrency[m] / (replicas[m] + 1.0);
    remaining
        .iter()
        .copied()
        .max_by(|&a, &b| load(a).total_cmp(&load(b)).then(b.cmp(&a)))
}

/// Returns the memory of each usable accelerator in megabytes, and 0 for the others.
fn capacity_mb(layout: &Layout, input: &PlanInput<'_>) -> Vec<i64> {
    let capacity = |a: &super::layout::Accelerator| {
        let target = input.document.target(&a.target).filter(|_| a.usable);
        target.map_or(0, |t| i64::from(t.accelerator_mb))
    };
    layout.accelerators.iter().map(capacity).collect()
}

/// The state of the greedy assignment.
struct GreedyAssignment<'a> {
    layout: &'a Layout,
    /// Unassigned memory of each accelerator, in megabytes.
    free_mb: Vec<i64>,
    /// The models assigned to each accelerator.
    assigned: Vec<Vec<usize>>,
    assignments: Vec<Assignment>,
}

impl GreedyAssignment<'_> {
    /// Assigns a replica to the accelerator with the most unassigned memory; returns `false` if it
    /// fits on none.
    fn add(&mut self, model: usize) -> bool {
        let row = &self.layout.models[model];
        let best = (0..self.free_mb.len())
            .filter(|&p| row.is_allowed_in(self.layout.accelerators[p].centre))
            .filter(|&p| self.free_mb[p] >= row.need_mb() && !self.assigned[p].contains(&model))
            .max_by_key(|&p| (self.free_mb[p], std::cmp::Reverse(p)));
        let Some(accel) = best else {
            return false;
        };
        self.free_mb[accel] -= row.need_mb();
        self.assigned[accel].push(model);
        self.assignments.push(Assignment { model, accel });
        true
    }
}

/// Unloads the ready replicas that are not wanted, as far as the floors allow.
fn unload_unwanted(round: &mut Round<'_>, wanted: &BTreeSet<(usize, usize)>) {
    for model in 0..round.layout.models.len() {
        let ready: Vec<usize> = round.layout.models[model]
            .replicas
            .iter()
            .filter(|r| r.availability == Availability::Ready)
            .map(|r| r.accelerator)
            .filter(|&accel| !wanted.contains(&(model, accel)))
            .collect();
        for accel in ready {
            round.unload(model, accel, MinReplicas::Floor);
        }
    }
}

/// Plans the wanted replicas that are missing and fit, counting memory about to be freed.
fn load_missing(round: &mut Round<'_>, wanted: &BTreeSet<(usize, usize)>, concurrency: &[f64]) {
    for &(model, accel) in wanted {
        let row = &round.layout.models[model];
        let accelerator = &round.layout.accelerators[accel];
        let fits = accelerator.unreserved_mb + accelerator.releasing_mb >= row.need_mb();
        if fits && !row.is_on(accel) {
            round.plan_load(model, accel, concurrency[model]);
        }
    }
}
