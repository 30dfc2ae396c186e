//! Planning steps that restore the floors of deployments and unload retired versions.

use super::layout::{MinReplicas, UnloadCheck};
use super::model_row::{Availability, Requirement};
use super::round::{Round, Urgency};

/// Replicas that are unloaded from an accelerator to make room for a load.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Eviction {
    /// Index into the layout's accelerators.
    pub(super) accel: usize,
    /// The models whose replicas on the accelerator are unloaded.
    pub(super) victims: Vec<usize>,
    /// The summed value of the replicas, in requests in progress.
    pub(super) cost: f64,
}

impl Round<'_> {
    /// Plans loads for all requirements whose floor is not met, the largest models first.
    ///
    /// `replica_values` holds the value of one replica of each model, in requests in progress.
    pub(super) fn repair(&mut self, replica_values: &[f64]) {
        let mut below_floor: Vec<usize> = (0..self.layout.models.len())
            .filter(|&m| self.urgency(m) < Urgency::Demand)
            .collect();
        below_floor.sort_by_key(|&m| {
            let row = &self.layout.models[m];
            (std::cmp::Reverse(row.need_mb()), row.priority, m)
        });
        for model in below_floor {
            for requirement in self.layout.models[model].requirements.clone() {
                self.restore_floor(model, &requirement, replica_values);
            }
        }
    }

    /// Plans the missing replicas of one requirement.
    ///
    /// A replica is placed on free memory, else in place of the least valuable surplus replicas. If
    /// neither is possible, a model that blocks the load is relocated.
    fn restore_floor(&mut self, model: usize, requirement: &Requirement, replica_values: &[f64]) {
        let missing = requirement
            .floor
            .saturating_sub(self.available_replicas(model, requirement));
        for _ in 0..missing {
            if let Some(accel) = self.best_accelerator(model, requirement) {
                self.plan_load(model, accel, replica_values[model]);
                continue;
            }
            let min_replicas = if self.available_replicas(model, requirement) == 0 {
                MinReplicas::One
            } else {
                MinReplicas::Floor
            };
            if !self.evict_and_load(model, requirement, min_replicas, replica_values) {
                self.relocate_blocking_model(model, requirement, replica_values);
                return;
            }
        }
    }

    /// Returns the number of ready and expected replicas for a requirement.
    fn available_replicas(&self, model: usize, requirement: &Requirement) -> usize {
        let row = &self.layout.models[model];
        row.replicas
            .iter()
            .filter(|r| r.availability != Availability::Unreliable)
            .filter(|r| requirement.centres[self.layout.accelerators[r.accelerator].centre])
            .count()
    }

    /// Returns the accelerator with free memory whose failure would affect the model least.
    ///
    /// Replicas are spread over data centres, then over targets, then over the accelerators with
    /// the fewest models.
    pub(super) fn best_accelerator(
        &self,
        model: usize,
        requirement: &Requirement,
    ) -> Option<usize> {
        let row = &self.layout.models[model];
        let mut in_centre = vec![0_usize; self.layout.centres];
        let mut targets = Vec::new();
        for replica in &row.replicas {
            let accelerator = &self.layout.accelerators[replica.accelerator];
            targets.push(&accelerator.target);
            if replica.availability != Availability::Unreliable {
                in_centre[accelerator.centre] += 1;
            }
        }
        let need_mb = row.need_mb();
        let accelerators = self.layout.accelerators.iter().enumerate();
        accelerators
            .filter(|(_, a)| {
                a.usable && requirement.centres[a.centre] && a.unreserved_mb >= need_mb
            })
            .filter(|&(accel, _)| !row.is_on(accel))
            .min_by_key(|(accel, a)| {
                let same_target = targets.contains(&&a.target);
                (in_centre[a.centre], same_target, a.models.len(), *accel)
            })
            .map(|(accel, _)| accel)
    }

    /// Unloads the least valuable surplus replicas that make room for a model and plans its load.
    ///
    /// Returns `false` if no such replicas exist or an unload is not yet possible.
    fn evict_and_load(
        &mut self,
        model: usize,
        requirement: &Requirement,
        min_replicas: MinReplicas,
        replica_values: &[f64],
    ) -> bool {
        let eviction = (0..self.layout.accelerators.len())
            .filter(|&accel| requirement.centres[self.layout.accelerators[accel].centre])
            .filter_map(|accel| {
                self.find_eviction(model, accel, min_replicas, |m| replica_values[m])
            })
            .min_by(|a, b| {
                let cost = a.cost.total_cmp(&b.cost);
                cost.then((a.victims.len(), a.accel).cmp(&(b.victims.len(), b.accel)))
            });
        let Some(eviction) = eviction else {
            return false;
        };
        for &victim in &eviction.victims {
            if !self.unload(victim, eviction.accel, min_replicas) {
                return false;
            }
        }
        self.plan_load(model, eviction.accel, replica_values[model]);
        true
    }

    /// Returns the least valuable replicas whose unload makes room for a model on an accelerator.
    ///
    /// Returns an eviction without victims if there is room already, and `None` if no room can be
    /// made or the model has a replica there.
    pub(super) fn find_eviction(
        &self,
        model: usize,
        accel: usize,
        min_replicas: MinReplicas,
        replica_value: impl Fn(usize) -> f64,
    ) -> Option<Eviction> {
        let accelerator = &self.layout.accelerators[accel];
        let row = &self.layout.models[model];
        if !accelerator.usable || row.is_on(accel) {
            return None;
        }
        let mut missing_mb = row.need_mb() - accelerator.unreserved_mb - accelerator.releasing_mb;
        let mut eviction = Eviction {
            accel,
            victims: Vec::new(),
            cost: 0.0,
        };
        if missing_mb <= 0 {
            return Some(eviction);
        }
        let mut candidates: Vec<usize> = accelerator
            .models
            .iter()
            .copied()
            .filter(|&m| self.is_evictable(m, accel, min_replicas))
            .collect();
        candidates.sort_by(|&a, &b| {
            replica_value(a)
                .total_cmp(&replica_value(b))
                .then(a.cmp(&b))
        });
        for victim in candidates {
            missing_mb -= self.layout.models[victim].need_mb();
            eviction.victims.push(victim);
            eviction.cost += replica_value(victim);
            if missing_mb <= 0 {
                return Some(eviction);
            }
        }
        None
    }

    /// Returns whether a replica is ready and may be unloaded, possibly after fencing.
    fn is_evictable(&self, model: usize, accel: usize, min_replicas: MinReplicas) -> bool {
        let row = &self.layout.models[model];
        let ready = row
            .replica_index(accel)
            .is_some_and(|i| row.replicas[i].availability == Availability::Ready);
        ready && self.layout.check_unload(model, accel, min_replicas) != UnloadCheck::Needed
    }

    /// Plans a replica elsewhere of a model whose needed replica occupies the memory for `model`.
    ///
    /// Once the new replica is ready, the old one is no longer needed, and a later round evicts it.
    fn relocate_blocking_model(
        &mut self,
        model: usize,
        requirement: &Requirement,
        replica_values: &[f64],
    ) {
        let row = &self.layout.models[model];
        let need_mb = row.need_mb();
        let found = self
            .layout
            .accelerators
            .iter()
            .enumerate()
            .filter(|(accel, a)| a.usable && requirement.centres[a.centre] && !row.is_on(*accel))
            .flat_map(|(accel, a)| a.models.iter().map(move |&victim| (accel, a, victim)))
            .filter(|(_, a, victim)| {
                let other = &self.layout.models[*victim];
                let enough = a.unreserved_mb + a.releasing_mb + other.need_mb() >= need_mb;
                enough && other.is_served() && other.count(Availability::Expected) == 0
            })
            .filter_map(|(accel, _, victim)| {
                let other = &self.layout.models[victim];
                let centre = self.layout.accelerators[accel].centre;
                let requirement = other.requirements.iter().find(|r| r.centres[centre])?;
                let destination = self.best_accelerator(victim, requirement)?;
                Some((victim, destination))
            })
            .min_by_key(|(victim, _)| (self.layout.models[*victim].need_mb(), *victim));
        if let Some((victim, destination)) = found {
            self.plan_load(victim, destination, replica_values[victim]);
        }
    }

    /// Unloads the versions that no deployment serves, once the served versions are ready.
    pub(super) fn retire(&mut self) {
        for model in 0..self.layout.models.len() {
            if self.layout.models[model].is_served() {
                continue;
            }
            let ready: Vec<usize> = self.layout.models[model]
                .replicas
                .iter()
                .filter(|r| r.availability == Availability::Ready)
                .map(|r| r.accelerator)
                .collect();
            for accel in ready {
                self.unload(model, accel, MinReplicas::Floor);
            }
        }
    }
}
