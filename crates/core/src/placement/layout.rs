//! The layout of replicas on accelerators within one planning round.
//!
//! The layout starts from the reported replicas and the unconfirmed orders, and follows the loads
//! and unloads that the round plans. Functions of the placement module identify models and
//! accelerators by their index in the layout, as `model` and `accel`.

use std::collections::BTreeMap;

use kumquatkeel_types::document::{Document, TargetKind};
use kumquatkeel_types::message::{LoadSummary, ReplicaState};
use kumquatkeel_types::{DataCentreName, ModelId, ModelName, TargetName};

use super::PlanInput;
use super::model_row::{AdapterNeed, Availability, ModelRow, Replica, Requirement};
use super::pending::{PendingOrders, ReplicaKey};

/// An accelerator with its free memory and its requests.
#[derive(Debug, Clone)]
pub(super) struct Accelerator {
    /// The target that has the accelerator.
    pub(super) target: TargetName,
    /// The accelerator's index on the target.
    pub(super) index: u16,
    /// The data centre, by its position in the configuration.
    pub(super) centre: usize,
    /// Worst-case free memory after the ordered loads, in megabytes; a load is ordered if it fits.
    pub(super) headroom_mb: i64,
    /// Worst-case free memory after the ordered and planned loads, in megabytes.
    pub(super) unreserved_mb: i64,
    /// Memory that unloads in progress will free, in megabytes; not part of the free memory.
    pub(super) releasing_mb: i64,
    /// Whether the target is alive, is not leaving and has reported its memory.
    pub(super) usable: bool,
    /// Whether the agent has seen the planner's lease epoch.
    pub(super) fenced: bool,
    /// Indices of the models with a replica on the accelerator.
    pub(super) models: Vec<usize>,
    /// Requests in progress on the accelerator.
    pub(super) running: f64,
    /// Further requests that the accelerator can run; `None` unless a ready replica reports slots.
    pub(super) spare_slots: Option<f64>,
}

impl Accelerator {
    /// Returns the requests that the accelerator can run concurrently; `None` if not reported.
    pub(super) fn slots(&self) -> Option<f64> {
        self.spare_slots
            .map(|spare_slots| self.running + spare_slots)
    }

    /// Adds the reported load of a ready replica.
    ///
    /// The free slots of the accelerator are the most that one of its ready replicas reports.
    fn record_load_summary(&mut self, load: &LoadSummary) {
        if load.slots == 0 {
            return;
        }
        let spare_slots = f64::from(load.slots.saturating_sub(load.running));
        self.running += f64::from(load.running);
        self.spare_slots = Some(
            self.spare_slots
                .map_or(spare_slots, |known| known.max(spare_slots)),
        );
    }
}

/// Whether a replica may be unloaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum UnloadCheck {
    /// Enough other replicas remain.
    Allowed,
    /// Enough other replicas remain, but too few of them on targets whose agents have seen the
    /// planner's epoch; these accelerators belong to the other targets.
    FenceFirst(Vec<usize>),
    /// The replica is needed, or unloads are not allowed.
    Needed,
}

impl UnloadCheck {
    /// Creates the result from the accelerators that must be fenced before the unload.
    fn from_unfenced(accels: Vec<usize>) -> Self {
        if accels.is_empty() {
            Self::Allowed
        } else {
            Self::FenceFirst(accels)
        }
    }
}

/// The number of ready replicas that must remain after an unload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MinReplicas {
    /// The floor of each deployment.
    Floor,
    /// One replica for each deployment; used only to make room for an unreachable model, and to
    /// check unloads that are ordered again.
    One,
}

impl MinReplicas {
    /// Returns the number of ready replicas that must remain for a requirement.
    pub(super) fn required(self, requirement: &Requirement) -> usize {
        match self {
            Self::Floor => requirement.floor,
            Self::One => requirement.floor.min(1),
        }
    }
}

/// The accelerators, models and replicas of one planning round.
#[derive(Debug, Clone)]
pub(super) struct Layout {
    /// The accelerators of all engines, in the order of the configuration and of their index.
    pub(super) accelerators: Vec<Accelerator>,
    /// One row for each model version that is served, loaded or ordered.
    pub(super) models: Vec<ModelRow>,
    /// The number of data centres.
    pub(super) centres: usize,
    /// Whether unloads are not allowed.
    pub(super) additive_only: bool,
    model_index: BTreeMap<ModelId, usize>,
    /// The index of each target's first accelerator.
    first_index: BTreeMap<TargetName, usize>,
}

impl Layout {
    /// Builds the layout from the reports, the configuration and the unconfirmed orders.
    pub(super) fn new(input: &PlanInput<'_>, pending: &PendingOrders) -> Self {
        let centres = centre_indices(input.document);
        let mut layout = Self {
            accelerators: Vec::new(),
            models: Vec::new(),
            centres: centres.len(),
            additive_only: input.additive_only,
            model_index: BTreeMap::new(),
            first_index: BTreeMap::new(),
        };
        layout.add_accelerators(input, &centres);
        layout.add_requirements(input.document, &centres);
        layout.add_replicas(input, pending);
        for key in pending.loads() {
            layout.add_ordered_load(key, input.document);
        }
        layout
    }

    fn add_accelerators(
        &mut self,
        input: &PlanInput<'_>,
        centres: &BTreeMap<DataCentreName, usize>,
    ) {
        for target in &input.document.targets {
            let Some(&centre) = centres.get(&target.data_centre) else {
                continue;
            };
            if target.kind != TargetKind::Engine {
                continue;
            }
            let committed = input.committed_mb.get(&target.name);
            let serves =
                input.serving.contains(&target.name) && !input.leaving.contains(&target.name);
            self.first_index
                .insert(target.name.clone(), self.accelerators.len());
            for index in 0..target.accelerators {
                let used_mb = committed.and_then(|c| c.get(usize::from(index)));
                let free_mb = used_mb.map_or(0, |used| {
                    i64::from(target.accelerator_mb) - i64::from(*used)
                });
                self.accelerators.push(Accelerator {
                    target: target.name.clone(),
                    index,
                    centre,
                    headroom_mb: free_mb,
                    unreserved_mb: free_mb,
                    releasing_mb: 0,
                    usable: serves && used_mb.is_some(),
                    fenced: input.fenced.contains(&target.name),
                    models: Vec::new(),
                    running: 0.0,
                    spare_slots: None,
                });
            }
        }
    }

    fn add_requirements(&mut self, document: &Document, centres: &BTreeMap<DataCentreName, usize>) {
        for deployment in &document.deployments {
            let mut allowed = vec![false; centres.len()];
            for name in &deployment.data_centres {
                if let Some(&centre) = centres.get(name) {
                    allowed[centre] = true;
                }
            }
            for served in &deployment.models {
                let model = self.find_or_add_model(&served.id(), document);
                let row = &mut self.models[model];
                row.priority = row.priority.min(deployment.priority);
                row.requirements.push(Requirement {
                    floor: usize::from(served.floor.max(1)),
                    centres: allowed.clone(),
                });
                for name in &deployment.adapters {
                    add_adapter(row, name, document);
                }
            }
        }
    }

    fn add_replicas(&mut self, input: &PlanInput<'_>, pending: &PendingOrders) {
        for replica in input.replicas {
            let Some(accel) = self.find_accelerator(&replica.target, replica.accelerator) else {
                continue;
            };
            let model = self.find_or_add_model(&replica.model, input.document);
            let key = ReplicaKey {
                target: replica.target.clone(),
                accelerator: replica.accelerator,
                model: replica.model.clone(),
            };
            let unloading = pending.is_unloading(&key) || replica.state == ReplicaState::Unloading;
            let availability = match replica.state {
                _ if unloading || !self.accelerators[accel].usable => Availability::Unreliable,
                ReplicaState::Ready => Availability::Ready,
                ReplicaState::Loading => Availability::Expected,
                ReplicaState::Unloading | ReplicaState::Uncertain => Availability::Unreliable,
            };
            let row = &mut self.models[model];
            if row.is_on(accel) {
                continue;
            }
            let missing_mb: i64 = row
                .adapters
                .iter()
                .filter(|a| !replica.adapters.contains(&a.name))
                .map(|a| a.memory_mb)
                .sum();
            let accelerator = &mut self.accelerators[accel];
            if unloading {
                accelerator.releasing_mb += row.need_mb() - missing_mb;
            } else {
                accelerator.unreserved_mb -= missing_mb;
                accelerator.headroom_mb -= missing_mb;
            }
            accelerator.models.push(model);
            if replica.state == ReplicaState::Ready {
                accelerator.record_load_summary(&replica.load);
            }
            row.replicas.push(Replica {
                accelerator: accel,
                availability,
                adapters: replica.adapters.clone(),
            });
        }
    }

    fn add_ordered_load(&mut self, key: &ReplicaKey, document: &Document) {
        let Some(accel) = self.find_accelerator(&key.target, key.accelerator) else {
            return;
        };
        let model = self.find_or_add_model(&key.model, document);
        self.accelerators[accel].headroom_mb -= self.models[model].need_mb();
        self.add_expected_replica(model, accel);
    }

    /// Returns the index of a model, which is added if missing.
    fn find_or_add_model(&mut self, id: &ModelId, document: &Document) -> usize {
        if let Some(&model) = self.model_index.get(id) {
            return model;
        }
        let model = self.models.len();
        self.models.push(ModelRow::new(id.clone(), document));
        self.model_index.insert(id.clone(), model);
        model
    }

    /// Returns the index of a model.
    pub(super) fn find_model(&self, id: &ModelId) -> Option<usize> {
        self.model_index.get(id).copied()
    }

    /// Returns the index of an accelerator; `None` if the target has no such accelerator.
    pub(super) fn find_accelerator(&self, target: &TargetName, index: u16) -> Option<usize> {
        let accel = self.first_index.get(target)? + usize::from(index);
        let found = self.accelerators.get(accel)?;
        (found.target == *target).then_some(accel)
    }

    /// Returns the key of a replica.
    pub(super) fn replica_key(&self, model: usize, accelerator: usize) -> ReplicaKey {
        ReplicaKey {
            target: self.accelerators[accelerator].target.clone(),
            accelerator: self.accelerators[accelerator].index,
            model: self.models[model].id.clone(),
        }
    }

    /// Adds a replica whose load is ordered or planned, and reserves its memory.
    pub(super) fn add_expected_replica(&mut self, model: usize, accel: usize) {
        if self.models[model].is_on(accel) {
            return;
        }
        let need_mb = self.models[model].need_mb();
        let accelerator = &mut self.accelerators[accel];
        let availability = if accelerator.usable {
            Availability::Expected
        } else {
            Availability::Unreliable
        };
        accelerator.unreserved_mb -= need_mb;
        accelerator.models.push(model);
        self.models[model].replicas.push(Replica {
            accelerator: accel,
            availability,
            adapters: Vec::new(),
        });
    }

    /// Marks a replica as unreliable; its memory stays committed until a report shows it free.
    pub(super) fn mark_unloading(&mut self, model: usize, accel: usize) {
        let need_mb = self.models[model].need_mb();
        self.accelerators[accel].releasing_mb += need_mb;
        let row = &mut self.models[model];
        if let Some(index) = row.replica_index(accel) {
            row.replicas[index].availability = Availability::Unreliable;
        }
    }

    /// Returns the accelerators of the ready replicas in a requirement's data centres, but for
    /// `except`.
    pub(super) fn ready_for<'a>(
        &'a self,
        model: usize,
        requirement: &'a Requirement,
        except: Option<usize>,
    ) -> impl Iterator<Item = usize> + 'a {
        self.models[model]
            .replicas
            .iter()
            .filter(|r| r.availability == Availability::Ready)
            .map(|r| r.accelerator)
            .filter(move |&accel| Some(accel) != except)
            .filter(|&accel| requirement.centres[self.accelerators[accel].centre])
    }

    /// Checks whether the replica of a model on an accelerator may be unloaded.
    pub(super) fn check_unload(
        &self,
        model: usize,
        accel: usize,
        min_replicas: MinReplicas,
    ) -> UnloadCheck {
        if self.additive_only || !self.accelerators[accel].usable {
            return UnloadCheck::Needed;
        }
        let row = &self.models[model];
        if row.is_served() {
            return self.check_remaining(model, &row.requirements, Some(accel), min_replicas);
        }
        self.check_retired(model, accel, min_replicas)
    }

    /// Checks a replica of a version that no deployment serves any more.
    ///
    /// Each served version of the model must have enough ready replicas. With
    /// [`MinReplicas::One`], other replicas of the retired version may stand in for it.
    fn check_retired(&self, model: usize, accel: usize, min_replicas: MinReplicas) -> UnloadCheck {
        let mut unfenced = Vec::new();
        for successor in self.served_versions(&self.models[model].id.name) {
            let requirements = &self.models[successor].requirements;
            let mut check = self.check_remaining(successor, requirements, None, min_replicas);
            if check == UnloadCheck::Needed && min_replicas == MinReplicas::One {
                check = self.check_remaining(model, requirements, Some(accel), min_replicas);
            }
            match check {
                UnloadCheck::Allowed => {}
                UnloadCheck::FenceFirst(accels) => unfenced.extend(accels),
                UnloadCheck::Needed => return UnloadCheck::Needed,
            }
        }
        UnloadCheck::from_unfenced(unfenced)
    }

    /// Returns the indices of the served versions of a model.
    fn served_versions<'a>(&'a self, name: &'a ModelName) -> impl Iterator<Item = usize> + 'a {
        (0..self.models.len())
            .filter(move |&m| self.models[m].id.name == *name && self.models[m].is_served())
    }

    /// Checks that enough ready replicas of a model remain for all requirements without `except`.
    fn check_remaining(
        &self,
        model: usize,
        requirements: &[Requirement],
        except: Option<usize>,
        min_replicas: MinReplicas,
    ) -> UnloadCheck {
        let mut unfenced = Vec::new();
        for requirement in requirements {
            let required = min_replicas.required(requirement);
            let remaining: Vec<usize> = self.ready_for(model, requirement, except).collect();
            if remaining.len() < required {
                return UnloadCheck::Needed;
            }
            let fenced = |accel: &&usize| self.accelerators[**accel].fenced;
            if remaining.iter().filter(fenced).count() < required {
                unfenced.extend(remaining.iter().filter(|p| !fenced(p)));
            }
        }
        UnloadCheck::from_unfenced(unfenced)
    }
}

/// Adds an adapter that a deployment serves to its base model, if it belongs to this model.
fn add_adapter(row: &mut ModelRow, name: &kumquatkeel_types::AdapterName, document: &Document) {
    let Some(adapter) = document.adapter(name) else {
        return;
    };
    if adapter.model != row.id.name || row.adapters.iter().any(|a| a.name == *name) {
        return;
    }
    row.adapters.push(AdapterNeed {
        name: name.clone(),
        memory_mb: i64::from(adapter.memory_mb),
    });
}

/// Returns the position of each data centre in the configuration.
fn centre_indices(document: &Document) -> BTreeMap<DataCentreName, usize> {
    document
        .regions
        .iter()
        .flat_map(|region| &region.data_centres)
        .enumerate()
        .map(|(i, name)| (name.clone(), i))
        .collect()
}
