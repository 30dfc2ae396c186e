//! The working picture of one planning round.

use std::collections::BTreeMap;

use kumquatkeel_types::document::{Document, TargetKind};
use kumquatkeel_types::message::{LoadSummary, ReplicaState};
use kumquatkeel_types::{DataCentreName, ModelId, ModelName, TargetName};

use super::PlanInput;
use super::model_row::{AdapterNeed, Copy, CopyState, ModelRow, Want};
use super::pending::{CopyKey, Pending};

/// An accelerator and what is free on it.
#[derive(Debug, Clone)]
pub(super) struct Accelerator {
    /// The target.
    pub(super) target: TargetName,
    /// The accelerator's index on the target.
    pub(super) index: u16,
    /// The data centre, by its place in the document.
    pub(super) centre: usize,
    /// Memory that is free now in the worst case, in megabytes.
    pub(super) room_mb: i64,
    /// Memory that is neither taken nor promised to a planned load, in megabytes.
    pub(super) free_mb: i64,
    /// Memory that unloads in progress will free, in megabytes.
    pub(super) going_mb: i64,
    /// Whether its target is alive, stays and has reported its memory.
    pub(super) usable: bool,
    /// Whether the agent has seen the planner's lease epoch.
    pub(super) fenced: bool,
    /// The models with a copy on it, by their place on the board.
    pub(super) models: Vec<usize>,
    /// Requests that run on it.
    pub(super) running: f64,
    /// Requests that it could run besides, as its agent reports; none before a report.
    pub(super) spare: Option<f64>,
}

impl Accelerator {
    /// Returns the requests that the accelerator runs at a time, or none while no report tells.
    pub(super) fn slots(&self) -> Option<f64> {
        self.spare.map(|spare| self.running + spare)
    }

    /// Takes in the load of a ready copy.
    fn note_load(&mut self, load: &LoadSummary) {
        if load.slots == 0 {
            return;
        }
        let spare = f64::from(load.slots.saturating_sub(load.running));
        self.running += f64::from(load.running);
        self.spare = Some(self.spare.map_or(spare, |known| known.max(spare)));
    }
}

/// Whether a copy may be unloaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum UnloadCheck {
    /// Enough other copies remain.
    Allowed,
    /// Enough copies would remain once these accelerators' agents know the planner's epoch.
    FenceFirst(Vec<usize>),
    /// The copy is needed.
    Needed,
}

impl UnloadCheck {
    fn from_unfenced(places: Vec<usize>) -> Self {
        if places.is_empty() {
            Self::Allowed
        } else {
            Self::FenceFirst(places)
        }
    }
}

/// How many copies an unload must leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Keep {
    /// Each deployment's floor.
    Floor,
    /// One copy for each deployment; only to make another model reachable.
    One,
}

impl Keep {
    /// Returns the ready copies that must remain for a want.
    pub(super) fn least(self, want: &Want) -> usize {
        match self {
            Self::Floor => want.floor,
            Self::One => want.floor.min(1),
        }
    }
}

/// The accelerators and models of one planning round.
#[derive(Debug, Clone)]
pub(super) struct Board {
    /// The accelerators of all engines, by target and index.
    pub(super) accelerators: Vec<Accelerator>,
    /// The models that are served or resident, by their identity.
    pub(super) models: Vec<ModelRow>,
    /// The number of data centres.
    pub(super) centres: usize,
    /// Whether only additive steps are allowed.
    pub(super) additive_only: bool,
    model_index: BTreeMap<ModelId, usize>,
    first_of: BTreeMap<TargetName, usize>,
}

impl Board {
    /// Sets out the picture from reports and the orders in flight.
    pub(super) fn new(input: &PlanInput<'_>, pending: &Pending) -> Self {
        let centres = centres_of(input.document);
        let mut board = Self {
            accelerators: Vec::new(),
            models: Vec::new(),
            centres: centres.len(),
            additive_only: input.additive_only,
            model_index: BTreeMap::new(),
            first_of: BTreeMap::new(),
        };
        board.add_accelerators(input, &centres);
        board.add_wants(input.document, &centres);
        board.add_replicas(input, pending);
        for key in pending.loads() {
            board.add_ordered_load(key, input.document);
        }
        board
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
            self.first_of
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
                    room_mb: free_mb,
                    free_mb,
                    going_mb: 0,
                    usable: serves && used_mb.is_some(),
                    fenced: input.fenced.contains(&target.name),
                    models: Vec::new(),
                    running: 0.0,
                    spare: None,
                });
            }
        }
    }

    fn add_wants(&mut self, document: &Document, centres: &BTreeMap<DataCentreName, usize>) {
        for deployment in &document.deployments {
            let mut allowed = vec![false; centres.len()];
            for name in &deployment.data_centres {
                if let Some(&centre) = centres.get(name) {
                    allowed[centre] = true;
                }
            }
            for served in &deployment.models {
                let model = self.model_at(&served.id(), document);
                let row = &mut self.models[model];
                row.priority = row.priority.min(deployment.priority);
                row.wants.push(Want {
                    floor: usize::from(served.floor.max(1)),
                    centres: allowed.clone(),
                });
                for name in &deployment.adapters {
                    add_adapter(row, name, document);
                }
            }
        }
    }

    fn add_replicas(&mut self, input: &PlanInput<'_>, pending: &Pending) {
        for replica in input.replicas {
            let Some(place) = self.accelerator_at(&replica.target, replica.accelerator) else {
                continue;
            };
            let model = self.model_at(&replica.model, input.document);
            let key = CopyKey {
                target: replica.target.clone(),
                accelerator: replica.accelerator,
                model: replica.model.clone(),
            };
            let going = pending.is_unloading(&key) || replica.state == ReplicaState::Unloading;
            let state = match replica.state {
                _ if going || !self.accelerators[place].usable => CopyState::Doubtful,
                ReplicaState::Ready => CopyState::Ready,
                ReplicaState::Loading => CopyState::Coming,
                ReplicaState::Unloading | ReplicaState::Uncertain => CopyState::Doubtful,
            };
            let row = &mut self.models[model];
            if row.is_on(place) {
                continue;
            }
            let missing_mb: i64 = row
                .adapters
                .iter()
                .filter(|a| !replica.adapters.contains(&a.name))
                .map(|a| a.memory_mb)
                .sum();
            let accelerator = &mut self.accelerators[place];
            if going {
                accelerator.going_mb += row.need_mb() - missing_mb;
            } else {
                accelerator.free_mb -= missing_mb;
                accelerator.room_mb -= missing_mb;
            }
            accelerator.models.push(model);
            if replica.state == ReplicaState::Ready {
                accelerator.note_load(&replica.load);
            }
            row.copies.push(Copy {
                accelerator: place,
                state,
                adapters: replica.adapters.clone(),
            });
        }
    }

    fn add_ordered_load(&mut self, key: &CopyKey, document: &Document) {
        let Some(place) = self.accelerator_at(&key.target, key.accelerator) else {
            return;
        };
        let model = self.model_at(&key.model, document);
        self.accelerators[place].room_mb -= self.models[model].need_mb();
        self.begin_load(model, place);
    }

    /// Returns the place of a model, added if it isn't on the board.
    fn model_at(&mut self, id: &ModelId, document: &Document) -> usize {
        if let Some(&model) = self.model_index.get(id) {
            return model;
        }
        let model = self.models.len();
        self.models.push(ModelRow::new(id.clone(), document));
        self.model_index.insert(id.clone(), model);
        model
    }

    /// Returns the place of a model.
    pub(super) fn model_of(&self, id: &ModelId) -> Option<usize> {
        self.model_index.get(id).copied()
    }

    /// Returns the place of an accelerator.
    pub(super) fn accelerator_at(&self, target: &TargetName, index: u16) -> Option<usize> {
        let place = self.first_of.get(target)? + usize::from(index);
        let found = self.accelerators.get(place)?;
        (found.target == *target).then_some(place)
    }

    /// Returns the key of a copy.
    pub(super) fn key(&self, model: usize, accelerator: usize) -> CopyKey {
        CopyKey {
            target: self.accelerators[accelerator].target.clone(),
            accelerator: self.accelerators[accelerator].index,
            model: self.models[model].id.clone(),
        }
    }

    /// Counts a copy that is being loaded, or will be, with its memory.
    pub(super) fn begin_load(&mut self, model: usize, place: usize) {
        if self.models[model].is_on(place) {
            return;
        }
        let need_mb = self.models[model].need_mb();
        let accelerator = &mut self.accelerators[place];
        let state = if accelerator.usable {
            CopyState::Coming
        } else {
            CopyState::Doubtful
        };
        accelerator.free_mb -= need_mb;
        accelerator.models.push(model);
        self.models[model].copies.push(Copy {
            accelerator: place,
            state,
            adapters: Vec::new(),
        });
    }

    /// Stops relying on a copy; its memory stays counted until a report shows it free.
    pub(super) fn begin_unload(&mut self, model: usize, place: usize) {
        let need_mb = self.models[model].need_mb();
        self.accelerators[place].going_mb += need_mb;
        let row = &mut self.models[model];
        if let Some(copy) = row.copy_on(place) {
            row.copies[copy].state = CopyState::Doubtful;
        }
    }

    /// Returns the ready copies that satisfy a want, without the one on `except`.
    pub(super) fn ready_for<'a>(
        &'a self,
        model: usize,
        want: &'a Want,
        except: Option<usize>,
    ) -> impl Iterator<Item = usize> + 'a {
        self.models[model]
            .copies
            .iter()
            .filter(|c| c.state == CopyState::Ready)
            .map(|c| c.accelerator)
            .filter(move |&place| Some(place) != except)
            .filter(|&place| want.centres[self.accelerators[place].centre])
    }

    /// Says whether the copy of a model on an accelerator may be unloaded.
    pub(super) fn check_unload(&self, model: usize, place: usize, keep: Keep) -> UnloadCheck {
        if self.additive_only || !self.accelerators[place].usable {
            return UnloadCheck::Needed;
        }
        let row = &self.models[model];
        if row.is_served() {
            return self.check_remaining(model, &row.wants, Some(place), keep);
        }
        self.check_retired(model, place, keep)
    }

    /// Checks a copy of a version that no deployment serves any more.
    fn check_retired(&self, model: usize, place: usize, keep: Keep) -> UnloadCheck {
        let mut fence = Vec::new();
        for successor in self.served_versions(&self.models[model].id.name) {
            let wants = &self.models[successor].wants;
            let mut check = self.check_remaining(successor, wants, None, keep);
            if check == UnloadCheck::Needed && keep == Keep::One {
                check = self.check_remaining(model, wants, Some(place), keep);
            }
            match check {
                UnloadCheck::Allowed => {}
                UnloadCheck::FenceFirst(places) => fence.extend(places),
                UnloadCheck::Needed => return UnloadCheck::Needed,
            }
        }
        UnloadCheck::from_unfenced(fence)
    }

    /// Returns the served versions of a model.
    fn served_versions<'a>(&'a self, name: &'a ModelName) -> impl Iterator<Item = usize> + 'a {
        (0..self.models.len())
            .filter(move |&m| self.models[m].id.name == *name && self.models[m].is_served())
    }

    fn check_remaining(
        &self,
        model: usize,
        wants: &[Want],
        except: Option<usize>,
        keep: Keep,
    ) -> UnloadCheck {
        let mut fence = Vec::new();
        for want in wants {
            let least = keep.least(want);
            let remaining: Vec<usize> = self.ready_for(model, want, except).collect();
            if remaining.len() < least {
                return UnloadCheck::Needed;
            }
            let fenced = |place: &&usize| self.accelerators[**place].fenced;
            if remaining.iter().filter(fenced).count() < least {
                fence.extend(remaining.iter().filter(|p| !fenced(p)));
            }
        }
        UnloadCheck::from_unfenced(fence)
    }
}

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

fn centres_of(document: &Document) -> BTreeMap<DataCentreName, usize> {
    document
        .regions
        .iter()
        .flat_map(|region| &region.data_centres)
        .enumerate()
        .map(|(i, name)| (name.clone(), i))
        .collect()
}
