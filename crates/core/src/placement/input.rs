//! The input of a planning round.

use std::collections::{BTreeMap, BTreeSet};

use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::{LoadSummary, ReplicaState};
use kumquatkeel_types::{AdapterName, ModelId, TargetName, Timestamp};

/// A replica as its agent reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedReplica {
    /// The target that holds the replica.
    pub target: TargetName,
    /// The accelerator's index on the target.
    pub accelerator: u16,
    /// The name and version of the model.
    pub model: ModelId,
    /// The reported state; only a ready replica serves requests.
    pub state: ReplicaState,
    /// The adapters that are loaded on the replica and ready.
    pub adapters: Vec<AdapterName>,
    /// The requests that the replica runs and queues, and its slots.
    pub load: LoadSummary,
}

/// The demand for a model or an adapter, summed over the entries.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Requests per second over the most recent, short window.
    pub rate: f64,
    /// Requests per second that were answered late, or not run because no replica was available.
    pub unmet: f64,
    /// Requests in progress.
    pub running: f64,
}

/// Everything that a planning round takes into account.
#[derive(Debug, Clone)]
pub struct PlanInput<'a> {
    /// The current time.
    pub now: Timestamp,
    /// The configuration in force.
    pub document: &'a Document,
    /// Targets that are alive and not leaving.
    pub serving: &'a BTreeSet<TargetName>,
    /// Targets that are leaving; their replicas do not count towards a floor.
    pub leaving: &'a BTreeSet<TargetName>,
    /// All reported replicas, including those on leaving targets.
    pub replicas: &'a [PlacedReplica],
    /// The demand for each model; a missing model has none.
    pub demand: &'a BTreeMap<ModelId, Demand>,
    /// The demand for each adapter; a missing adapter has none.
    pub adapter_demand: &'a BTreeMap<AdapterName, Demand>,
    /// Worst-case committed memory of each target, in megabytes by accelerator index.
    ///
    /// Targets without an entry have not reported and receive no loads.
    pub committed_mb: &'a BTreeMap<TargetName, Vec<u32>>,
    /// Targets whose agents have seen the planner's lease epoch.
    ///
    /// These agents refuse orders of earlier lease holders, so no such order can unload a replica
    /// there. Only replicas on these targets count when another replica is to be unloaded.
    pub fenced: &'a BTreeSet<TargetName>,
    /// Number of model loads in progress, over all data centres.
    pub loading: usize,
    /// Whether only loads are allowed, because the store is unavailable or the lease is in doubt.
    pub additive_only: bool,
}
