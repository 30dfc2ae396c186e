//! A model's replicas and requirements in a planning round.

use kumquatkeel_types::document::Document;
use kumquatkeel_types::{AdapterName, ModelId};

/// Lowest priority, which a model has unless a deployment gives it a higher one.
const LOWEST_PRIORITY: u8 = 9;

/// How far the planner may count on a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Availability {
    /// It serves requests, on a usable target.
    Ready,
    /// It is being loaded, or its load is planned.
    Expected,
    /// It may disappear at any time, or its target is not usable.
    Unreliable,
}

/// A replica of a model, reported or planned.
#[derive(Debug, Clone)]
pub(super) struct Replica {
    /// Index into [`Layout::accelerators`](super::layout::Layout::accelerators).
    pub(super) accelerator: usize,
    /// How far the planner may count on the replica.
    pub(super) availability: Availability,
    /// The adapters that are loaded on the replica and ready.
    pub(super) adapters: Vec<AdapterName>,
}

/// What one deployment requires of a model.
#[derive(Debug, Clone)]
pub(super) struct Requirement {
    /// Minimum number of ready replicas, at least one.
    pub(super) floor: usize,
    /// Whether replicas may be placed in a data centre, by data centre index.
    pub(super) centres: Vec<bool>,
}

/// An adapter and the memory that it occupies.
#[derive(Debug, Clone)]
pub(super) struct AdapterNeed {
    /// The name of the adapter.
    pub(super) name: AdapterName,
    /// Memory for each replica that holds the adapter, in megabytes.
    pub(super) memory_mb: i64,
}

/// A model with its requirements and replicas.
#[derive(Debug, Clone)]
pub(super) struct ModelRow {
    /// The name and version of the model.
    pub(super) id: ModelId,
    /// Memory of a replica without its adapters, in megabytes.
    pub(super) replica_mb: i64,
    /// Requests that one replica runs concurrently.
    pub(super) slots: f64,
    /// The highest priority, which is the smallest number, of the deployments that serve the model.
    pub(super) priority: u8,
    /// The requirements of the deployments; empty if none serves this version.
    pub(super) requirements: Vec<Requirement>,
    /// The adapters that deployments serve on the model.
    pub(super) adapters: Vec<AdapterNeed>,
    /// The reported and planned replicas, at most one on each accelerator.
    pub(super) replicas: Vec<Replica>,
}

impl ModelRow {
    /// Creates a row without requirements and replicas.
    pub(super) fn new(id: ModelId, document: &Document) -> Self {
        let model = document.model(&id);
        Self {
            replica_mb: model.map_or(0, |m| i64::from(m.replica_mb())),
            slots: model.map_or(1.0, |m| f64::from(m.slots)),
            priority: LOWEST_PRIORITY,
            requirements: Vec::new(),
            adapters: Vec::new(),
            replicas: Vec::new(),
            id,
        }
    }

    /// Returns the memory of a replica with all adapters of the model, in megabytes.
    pub(super) fn need_mb(&self) -> i64 {
        self.replica_mb + self.adapters.iter().map(|a| a.memory_mb).sum::<i64>()
    }

    /// Returns whether a deployment serves this version of the model.
    pub(super) const fn is_served(&self) -> bool {
        !self.requirements.is_empty()
    }

    /// Returns whether a deployment allows a replica in a data centre.
    pub(super) fn is_allowed_in(&self, centre: usize) -> bool {
        self.requirements
            .iter()
            .any(|requirement| requirement.centres.get(centre).copied().unwrap_or(false))
    }

    /// Returns the number of replicas of an availability.
    pub(super) fn count(&self, availability: Availability) -> usize {
        self.replicas
            .iter()
            .filter(|r| r.availability == availability)
            .count()
    }

    /// Returns whether the model has a replica on an accelerator, whatever its availability.
    pub(super) fn is_on(&self, accelerator: usize) -> bool {
        self.replicas.iter().any(|r| r.accelerator == accelerator)
    }

    /// Returns the index into `replicas` of the replica on an accelerator.
    pub(super) fn replica_index(&self, accelerator: usize) -> Option<usize> {
        self.replicas
            .iter()
            .position(|r| r.accelerator == accelerator)
    }
}
