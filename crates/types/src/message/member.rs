//! What the system's processes tell about themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::LoadSummary;
use crate::{
    AdapterName, DataCentreName, EntryName, Epoch, Incarnation, ModelId, Revision, TargetName,
};

/// What a process is and what it is called.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry daemon.
    Entry(EntryName),
    /// The agent beside a target.
    Agent(TargetName),
}

impl Role {
    /// Says whether the process is an agent.
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

/// Orders the reports of one process: only that process writes them.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberVersion {
    /// The process's life.
    pub incarnation: Incarnation,
    /// The report's number within that life.
    pub sequence: u64,
}

/// Whether a process takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The process has started and does not serve yet.
    Starting,
    /// The process serves.
    Serving,
    /// The process takes no new work and will stop.
    Draining,
    /// The process has stopped, or is taken for dead.
    Gone,
}

/// One process's report of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Which process.
    pub role: Role,
    /// The report's version.
    pub version: MemberVersion,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Its address for the system's own messages.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: MemberState,
    /// The configuration revision that it works from.
    pub revision: Revision,
    /// An agent's target; none for an entry.
    pub target: Option<TargetStatus>,
}

/// How far a replica is from serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// The weights are being loaded.
    Loading,
    /// The replica serves.
    Ready,
    /// The replica finishes its work and is unloaded.
    Unloading,
    /// An order's answer was lost; the replica may or may not be there.
    Uncertain,
}

/// A replica of a model on an accelerator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residency {
    /// The model.
    pub model: ModelId,
    /// The accelerator's index on the target.
    pub accelerator: u16,
    /// How far it is.
    pub state: ReplicaState,
    /// The adapters that are ready beside it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterName>,
    /// The load of this replica, as the agent counts it.
    #[serde(default)]
    pub load: LoadSummary,
}

/// The state of the target behind an agent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The replicas.
    pub replicas: Vec<Residency>,
    /// Memory committed on each accelerator in the worst case, in megabytes.
    pub committed_mb: Vec<u32>,
    /// The load over the whole target.
    pub load: LoadSummary,
    /// The highest lease epoch that the agent has seen.
    pub epoch: Epoch,
}
