//! What a placement policy plans from.

use std::collections::{BTreeMap, BTreeSet};

use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::{LoadSummary, ReplicaState};
use kumquatkeel_types::{AdapterName, ModelId, TargetName, Timestamp};

/// A replica as its agent reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedReplica {
    /// The target.
    pub target: TargetName,
    /// The accelerator's index on the target.
    pub accelerator: u16,
    /// The model.
    pub model: ModelId,
    /// How far the replica is.
    pub state: ReplicaState,
    /// The adapters that are ready beside it.
    pub adapters: Vec<AdapterName>,
    /// Its load.
    pub load: LoadSummary,
}

/// The demand for a model, as the entries count it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Requests a second over the last short window.
    pub rate: f64,
    /// Requests that were answered late or not run for want of a replica, a second.
    pub unmet: f64,
    /// Requests in progress.
    pub running: f64,
}

/// All that a planning round may look at.
#[derive(Debug, Clone)]
pub struct PlanInput<'a> {
    /// The present time.
    pub now: Timestamp,
    /// The configuration.
    pub document: &'a Document,
    /// Targets that are alive and stay.
    pub serving: &'a BTreeSet<TargetName>,
    /// Targets that are leaving; their replicas do not count as copies.
    pub leaving: &'a BTreeSet<TargetName>,
    /// The replicas, those of leaving targets included.
    pub replicas: &'a [PlacedReplica],
    /// The demand for each model.
    pub demand: &'a BTreeMap<ModelId, Demand>,
    /// The demand for each adapter.
    pub adapter_demand: &'a BTreeMap<AdapterName, Demand>,
    /// Memory committed on each accelerator in the worst case, in megabytes.
    pub committed_mb: &'a BTreeMap<TargetName, Vec<u32>>,
    /// Targets whose agents have seen the planner's own lease epoch.
    ///
    /// An earlier holder of the lease can unload nothing there any more. Only copies on these
    /// targets let another copy be unloaded.
    pub fenced: &'a BTreeSet<TargetName>,
    /// Model loads in progress over all data centres.
    pub loading: usize,
    /// Whether the store is out or the lease is in doubt: only additive steps are allowed.
    pub additive_only: bool,
}
