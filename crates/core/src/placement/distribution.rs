//! The expected distribution of requests over replicas and accelerators.

use super::layout::Layout;
use super::model_row::Availability;

/// Fraction of an accelerator's slots to which requests are assigned.
const TARGET_UTILISATION: f64 = 0.7;
/// Passes over the models; each assigns the remaining requests to replicas with free slots.
const PASSES: usize = 4;

/// The replicas on which the expected requests run, and the requests without a slot.
#[derive(Debug, Clone)]
pub(super) struct Distribution {
    /// Free slots of each accelerator.
    pub(super) free_slots: Vec<f64>,
    /// Requests of each model that have no slot.
    pub(super) shortfall: Vec<f64>,
    /// Requests on each replica, by model and in the order of the model's replicas.
    assigned: Vec<Vec<f64>>,
}

impl Distribution {
    /// Distributes the expected requests in progress of each model over its replicas.
    pub(super) fn new(layout: &Layout, concurrency: &[f64]) -> Self {
        let max_slots = layout.models.iter().map(|m| m.slots).fold(1.0, f64::max);
        let assigned = layout.models.iter().map(|m| vec![0.0; m.replicas.len()]);
        let mut distribution = Self {
            free_slots: layout
                .accelerators
                .iter()
                .map(|a| a.slots().map_or(max_slots, |s| s.min(max_slots)) * TARGET_UTILISATION)
                .collect(),
            shortfall: concurrency.to_vec(),
            assigned: assigned.collect(),
        };
        for _ in 0..PASSES {
            for model in 0..layout.models.len() {
                distribution.distribute(layout, model);
            }
        }
        distribution
    }

    /// Distributes a model's remaining requests in proportion to the free slots of its replicas.
    fn distribute(&mut self, layout: &Layout, model: usize) {
        let row = &layout.models[model];
        let remaining = self.shortfall[model];
        if remaining <= 0.0 {
            return;
        }
        let capacities: Vec<f64> = row
            .replicas
            .iter()
            .enumerate()
            .map(|(i, replica)| {
                if replica.availability == Availability::Unreliable {
                    return 0.0;
                }
                let unused = row.slots - self.assigned[model][i];
                self.free_slots[replica.accelerator].min(unused).max(0.0)
            })
            .collect();
        let total: f64 = capacities.iter().sum();
        if total <= 0.0 {
            return;
        }
        let fraction = (remaining / total).min(1.0);
        for (i, capacity) in capacities.iter().enumerate() {
            let taken = capacity * fraction;
            self.assigned[model][i] += taken;
            self.free_slots[row.replicas[i].accelerator] -= taken;
            self.shortfall[model] -= taken;
        }
    }

    /// Returns the requests on the replica of a model on an accelerator; 0 without a replica.
    pub(super) fn requests_on(&self, layout: &Layout, model: usize, accel: usize) -> f64 {
        layout.models[model]
            .replica_index(accel)
            .and_then(|index| self.assigned[model].get(index))
            .copied()
            .unwrap_or(0.0)
    }

    /// Returns the requests that would have no slot if the replica on an accelerator were unloaded.
    pub(super) fn loss(&self, layout: &Layout, model: usize, accel: usize) -> f64 {
        let elsewhere: f64 = layout.models[model]
            .replicas
            .iter()
            .filter(|r| r.accelerator != accel && r.availability != Availability::Unreliable)
            .map(|r| self.free_slots[r.accelerator].max(0.0))
            .sum();
        (self.requests_on(layout, model, accel) - elsewhere).max(0.0)
    }
}
