//! A model with its copies, as one planning round sees it.

use kumquatkeel_types::document::Document;
use kumquatkeel_types::{AdapterName, ModelId};

/// Priority of a model that no deployment serves any more.
const LAST_PRIORITY: u8 = 9;

/// How far a copy may be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CopyState {
    /// It serves, on a target that stays.
    Ready,
    /// It is being loaded, or will be once there is room.
    Coming,
    /// It may be gone at any time, or is on a target that leaves.
    Doubtful,
}

/// A copy of a model on an accelerator.
#[derive(Debug, Clone)]
pub(super) struct Copy {
    /// The accelerator, by its place on the board.
    pub(super) accelerator: usize,
    /// How far it may be relied on.
    pub(super) state: CopyState,
    /// The adapters that are ready beside it.
    pub(super) adapters: Vec<AdapterName>,
}

/// What one deployment asks of a model.
#[derive(Debug, Clone)]
pub(super) struct Want {
    /// Copies that are kept at all times.
    pub(super) floor: usize,
    /// Whether each data centre, by its place on the board, may hold copies.
    pub(super) centres: Vec<bool>,
}

/// An adapter and the memory it takes.
#[derive(Debug, Clone)]
pub(super) struct AdapterNeed {
    /// The adapter.
    pub(super) name: AdapterName,
    /// Memory on an accelerator, in megabytes.
    pub(super) memory_mb: i64,
}

/// A model with its copies.
#[derive(Debug, Clone)]
pub(super) struct ModelRow {
    /// The model.
    pub(super) id: ModelId,
    /// Memory of a copy without its adapters, in megabytes.
    pub(super) replica_mb: i64,
    /// Requests that one copy runs at a time.
    pub(super) slots: f64,
    /// The highest priority of the deployments that serve it.
    pub(super) priority: u8,
    /// What the deployments ask; empty when none serves the model any more.
    pub(super) wants: Vec<Want>,
    /// The adapters that are served on it.
    pub(super) adapters: Vec<AdapterNeed>,
    /// The copies.
    pub(super) copies: Vec<Copy>,
}

impl ModelRow {
    /// Makes the row of a model that no deployment has named yet.
    pub(super) fn new(id: ModelId, document: &Document) -> Self {
        let model = document.model(&id);
        Self {
            replica_mb: model.map_or(0, |m| i64::from(m.replica_mb())),
            slots: model.map_or(1.0, |m| f64::from(m.slots)),
            priority: LAST_PRIORITY,
            wants: Vec::new(),
            adapters: Vec::new(),
            copies: Vec::new(),
            id,
        }
    }

    /// Returns the memory of a copy with all its adapters, in megabytes.
    pub(super) fn need_mb(&self) -> i64 {
        self.replica_mb + self.adapters.iter().map(|a| a.memory_mb).sum::<i64>()
    }

    /// Says whether a deployment serves the model.
    pub(super) const fn is_served(&self) -> bool {
        !self.wants.is_empty()
    }

    /// Says whether a copy may be placed in a data centre.
    pub(super) fn may_be_in(&self, centre: usize) -> bool {
        self.wants
            .iter()
            .any(|want| want.centres.get(centre).copied().unwrap_or(false))
    }

    /// Returns the number of copies in a state.
    pub(super) fn count(&self, state: CopyState) -> usize {
        self.copies.iter().filter(|c| c.state == state).count()
    }

    /// Says whether the model has a copy on an accelerator, in whatever state.
    pub(super) fn is_on(&self, accelerator: usize) -> bool {
        self.copies.iter().any(|c| c.accelerator == accelerator)
    }

    /// Returns the place of the copy on an accelerator.
    pub(super) fn copy_on(&self, accelerator: usize) -> Option<usize> {
        self.copies
            .iter()
            .position(|c| c.accelerator == accelerator)
    }
}
