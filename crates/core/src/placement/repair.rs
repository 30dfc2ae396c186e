//! Steps that keep every model reachable and every floor kept.

use super::board::{Keep, UnloadCheck};
use super::model_row::{CopyState, Want};
use super::round::{Round, Urgency};

/// Copies that are to be unloaded from an accelerator to make room.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Room {
    /// The accelerator.
    pub(super) place: usize,
    /// The models whose copies go.
    pub(super) victims: Vec<usize>,
    /// What the copies are worth, in requests in progress.
    pub(super) value: f64,
}

impl Round<'_> {
    /// Plans the loads that make models reachable and keep floors, the largest models first.
    ///
    /// `worth` gives the requests that one copy of a model is expected to run.
    pub(super) fn repair(&mut self, worth: &[f64]) {
        let mut short: Vec<usize> = (0..self.board.models.len())
            .filter(|&m| self.urgency(m) < Urgency::Demand)
            .collect();
        short.sort_by_key(|&m| {
            let row = &self.board.models[m];
            (std::cmp::Reverse(row.need_mb()), row.priority, m)
        });
        for model in short {
            for want in self.board.models[model].wants.clone() {
                self.keep_floor(model, &want, worth);
            }
        }
    }

    fn keep_floor(&mut self, model: usize, want: &Want, worth: &[f64]) {
        let missing = want.floor.saturating_sub(self.standing(model, want));
        for _ in 0..missing {
            if let Some(place) = self.best_spot(model, want) {
                self.plan_load(model, place, worth[model]);
                continue;
            }
            let keep = if self.standing(model, want) == 0 {
                Keep::One
            } else {
                Keep::Floor
            };
            if !self.swap(model, want, keep, worth) {
                self.relocate_for(model, want, worth);
                return;
            }
        }
    }

    /// Returns the copies for a want that are ready or on their way.
    fn standing(&self, model: usize, want: &Want) -> usize {
        let row = &self.board.models[model];
        row.copies
            .iter()
            .filter(|c| c.state != CopyState::Doubtful)
            .filter(|c| want.centres[self.board.accelerators[c.accelerator].centre])
            .count()
    }

    /// Returns the accelerator with room whose loss would hurt the model least.
    ///
    /// Copies are spread over data centres, then over targets, then over the accelerators with the
    /// fewest models.
    pub(super) fn best_spot(&self, model: usize, want: &Want) -> Option<usize> {
        let row = &self.board.models[model];
        let mut in_centre = vec![0_usize; self.board.centres];
        let mut targets = Vec::new();
        for copy in &row.copies {
            let accelerator = &self.board.accelerators[copy.accelerator];
            targets.push(&accelerator.target);
            if copy.state != CopyState::Doubtful {
                in_centre[accelerator.centre] += 1;
            }
        }
        let need_mb = row.need_mb();
        let accelerators = self.board.accelerators.iter().enumerate();
        accelerators
            .filter(|(_, a)| a.usable && want.centres[a.centre] && a.free_mb >= need_mb)
            .filter(|&(place, _)| !row.is_on(place))
            .min_by_key(|(place, a)| {
                let same_target = targets.contains(&&a.target);
                (in_centre[a.centre], same_target, a.models.len(), *place)
            })
            .map(|(place, _)| place)
    }

    /// Unloads the least valuable extra copies that make room for a model, and plans its load.
    fn swap(&mut self, model: usize, want: &Want, keep: Keep, worth: &[f64]) -> bool {
        let room = (0..self.board.accelerators.len())
            .filter(|&place| want.centres[self.board.accelerators[place].centre])
            .filter_map(|place| self.room_on(model, place, keep, |m| worth[m]))
            .min_by(|a, b| {
                let value = a.value.total_cmp(&b.value);
                value.then((a.victims.len(), a.place).cmp(&(b.victims.len(), b.place)))
            });
        let Some(room) = room else {
            return false;
        };
        for &victim in &room.victims {
            if !self.unload(victim, room.place, keep) {
                return false;
            }
        }
        self.plan_load(model, room.place, worth[model]);
        true
    }

    /// Returns the least valuable copies whose unload makes room for a model on an accelerator.
    pub(super) fn room_on(
        &self,
        model: usize,
        place: usize,
        keep: Keep,
        worth: impl Fn(usize) -> f64,
    ) -> Option<Room> {
        let accelerator = &self.board.accelerators[place];
        let row = &self.board.models[model];
        if !accelerator.usable || row.is_on(place) {
            return None;
        }
        let mut missing_mb = row.need_mb() - accelerator.free_mb - accelerator.going_mb;
        let mut room = Room {
            place,
            victims: Vec::new(),
            value: 0.0,
        };
        if missing_mb <= 0 {
            return Some(room);
        }
        let mut spare: Vec<usize> = accelerator
            .models
            .iter()
            .copied()
            .filter(|&m| self.is_spare(m, place, keep))
            .collect();
        spare.sort_by(|&a, &b| worth(a).total_cmp(&worth(b)).then(a.cmp(&b)));
        for victim in spare {
            missing_mb -= self.board.models[victim].need_mb();
            room.victims.push(victim);
            room.value += worth(victim);
            if missing_mb <= 0 {
                return Some(room);
            }
        }
        None
    }

    fn is_spare(&self, model: usize, place: usize, keep: Keep) -> bool {
        let row = &self.board.models[model];
        let ready = row
            .copy_on(place)
            .is_some_and(|c| row.copies[c].state == CopyState::Ready);
        ready && self.board.check_unload(model, place, keep) != UnloadCheck::Needed
    }

    /// Plans another copy, elsewhere, of a model that stands in the way of one without room.
    ///
    /// Once that copy is ready the one in the way is spare, and a later round swaps it.
    fn relocate_for(&mut self, model: usize, want: &Want, worth: &[f64]) {
        let row = &self.board.models[model];
        let need_mb = row.need_mb();
        let found = self
            .board
            .accelerators
            .iter()
            .enumerate()
            .filter(|(place, a)| a.usable && want.centres[a.centre] && !row.is_on(*place))
            .flat_map(|(place, a)| a.models.iter().map(move |&victim| (place, a, victim)))
            .filter(|(_, a, victim)| {
                let other = &self.board.models[*victim];
                let enough = a.free_mb + a.going_mb + other.need_mb() >= need_mb;
                enough && other.is_served() && other.count(CopyState::Coming) == 0
            })
            .filter_map(|(place, _, victim)| {
                let other = &self.board.models[victim];
                let here = self.board.accelerators[place].centre;
                let want = other.wants.iter().find(|w| w.centres[here])?;
                let spot = self.best_spot(victim, want)?;
                Some((victim, spot))
            })
            .min_by_key(|(victim, _)| (self.board.models[*victim].need_mb(), *victim));
        if let Some((victim, spot)) = found {
            self.plan_load(victim, spot, worth[victim]);
        }
    }

    /// Unloads versions that no deployment serves, once their successors are ready.
    pub(super) fn retire(&mut self) {
        for model in 0..self.board.models.len() {
            if self.board.models[model].is_served() {
                continue;
            }
            let ready: Vec<usize> = self.board.models[model]
                .copies
                .iter()
                .filter(|c| c.state == CopyState::Ready)
                .map(|c| c.accelerator)
                .collect();
            for place in ready {
                self.unload(model, place, Keep::Floor);
            }
        }
    }
}
