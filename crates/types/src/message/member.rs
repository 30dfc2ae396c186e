//! The status reports that entries and agents publish about themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::LoadSummary;
use crate::{
    AdapterName, DataCentreName, EntryName, Epoch, Incarnation, ModelId, Revision, TargetName,
};

/// The kind and name of a process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry daemon.
    Entry(EntryName),
    /// The agent of a target.
    Agent(TargetName),
}

impl Role {
    /// Returns whether the process is an agent.
    pub const fn is_agent(&self) -> bool {
        matches!(self, Self::Agent(_))
    }
}

impl AsRef<str> for Role {
    fn as_ref(&self) -> &str {
        match self {
            Self::Entry(name) => name.as_str(),
            Self::Agent(name) => name.as_str(),
        }
    }
}

/// The version of a process's report, by which newer reports replace older ones.
///
/// Only the process itself assigns versions to its reports.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberVersion {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The report's number within that incarnation.
    pub sequence: u64,
}

/// The lifecycle state of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The process has started but does not accept work yet.
    Starting,
    /// The process accepts work.
    Serving,
    /// The process accepts no new work and will stop.
    Draining,
    /// The process has stopped, or is considered dead.
    Gone,
}

/// The status report of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The kind and name of the process.
    pub role: Role,
    /// The report's version.
    pub version: MemberVersion,
    /// The data centre in which the process runs.
    pub data_centre: DataCentreName,
    /// The address on which the process accepts messages of other processes.
    pub address: SocketAddr,
    /// The lifecycle state of the process.
    pub state: MemberState,
    /// The configuration revision that the process has applied.
    pub revision: Revision,
    /// The state of an agent's target; `None` for an entry, or where the report leaves it out.
    pub target: Option<TargetStatus>,
}

/// The load state of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// The replica's weights are being loaded.
    Loading,
    /// The replica can serve requests.
    Ready,
    /// The replica is being unloaded.
    Unloading,
    /// The engine's reply to an order was lost; the replica may or may not be resident.
    Uncertain,
}

/// The state of one replica of a model on an accelerator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residency {
    /// The model at its version.
    pub model: ModelId,
    /// The accelerator's index on the target.
    pub accelerator: u16,
    /// The load state of the replica.
    pub state: ReplicaState,
    /// The adapters that are loaded on the replica and ready.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterName>,
    /// The load of the replica, as counted by the agent.
    #[serde(default)]
    pub load: LoadSummary,
}

/// The state of the target behind an agent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The replicas on the target's accelerators.
    pub replicas: Vec<Residency>,
    /// Memory that may be in use in the worst case, by accelerator, in megabytes.
    pub committed_mb: Vec<u32>,
    /// The load of the whole target.
    pub load: LoadSummary,
    /// The highest epoch of the placement lease that the agent has seen.
    pub epoch: Epoch,
}
