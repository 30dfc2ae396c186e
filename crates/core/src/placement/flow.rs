//! The expected distribution of requests over accelerators.

use super::board::Board;
use super::model_row::CopyState;

/// Share of an accelerator's slots that the plan fills.
const FILL: f64 = 0.7;
/// Passes over the models; each moves what is left to copies with slots left.
const PASSES: usize = 4;

/// Where the expected requests run, and how many find no slot.
#[derive(Debug, Clone)]
pub(super) struct Flow {
    /// Slots left on each accelerator.
    pub(super) left: Vec<f64>,
    /// Requests of each model that find no slot.
    pub(super) short: Vec<f64>,
    /// Requests on each copy, in the order of the model's copies.
    shares: Vec<Vec<f64>>,
}

impl Flow {
    /// Distributes the expected requests of each model over its copies.
    pub(super) fn new(board: &Board, levels: &[f64]) -> Self {
        let slots = board.models.iter().map(|m| m.slots).fold(1.0, f64::max);
        let shares = board.models.iter().map(|m| vec![0.0; m.copies.len()]);
        let mut flow = Self {
            left: board
                .accelerators
                .iter()
                .map(|a| a.slots().map_or(slots, |s| s.min(slots)) * FILL)
                .collect(),
            short: levels.to_vec(),
            shares: shares.collect(),
        };
        for _ in 0..PASSES {
            for model in 0..board.models.len() {
                flow.fill(board, model);
            }
        }
        flow
    }

    /// Distributes what is left of a model in proportion to the slots left beside its copies.
    fn fill(&mut self, board: &Board, model: usize) {
        let row = &board.models[model];
        let want = self.short[model];
        if want <= 0.0 {
            return;
        }
        let rooms: Vec<f64> = row
            .copies
            .iter()
            .enumerate()
            .map(|(i, copy)| {
                if copy.state == CopyState::Doubtful {
                    return 0.0;
                }
                let own = row.slots - self.shares[model][i];
                self.left[copy.accelerator].min(own).max(0.0)
            })
            .collect();
        let total: f64 = rooms.iter().sum();
        if total <= 0.0 {
            return;
        }
        let share = (want / total).min(1.0);
        for (i, room) in rooms.iter().enumerate() {
            let taken = room * share;
            self.shares[model][i] += taken;
            self.left[row.copies[i].accelerator] -= taken;
            self.short[model] -= taken;
        }
    }

    /// Returns the requests on the copy of a model on an accelerator.
    pub(super) fn on(&self, board: &Board, model: usize, place: usize) -> f64 {
        board.models[model]
            .copy_on(place)
            .and_then(|copy| self.shares[model].get(copy))
            .copied()
            .unwrap_or(0.0)
    }

    /// Returns the requests that find no slot elsewhere when a copy goes.
    pub(super) fn loss(&self, board: &Board, model: usize, place: usize) -> f64 {
        let elsewhere: f64 = board.models[model]
            .copies
            .iter()
            .filter(|c| c.accelerator != place && c.state != CopyState::Doubtful)
            .map(|c| self.left[c.accelerator].max(0.0))
            .sum();
        (self.on(board, model, place) - elsewhere).max(0.0)
    }
}
