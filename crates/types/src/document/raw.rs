//! The document as operators write it, before it is checked.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::secret::KeyDigest;
use crate::{
    AdapterName, CallerName, DataCentreName, DeploymentName, ModelId, ModelName, ModelVersion,
    RegionName, ServiceName, TargetName,
};

/// The whole document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawDocument {
    /// The regions and their data centres.
    pub regions: Vec<Region>,
    /// The base models, one item for each version.
    pub models: Vec<Model>,
    /// The adapters on base models.
    pub adapters: Vec<Adapter>,
    /// The services that callers use.
    pub services: Vec<Service>,
    /// Which models and adapters serve which services, where, and at what priority.
    pub deployments: Vec<Deployment>,
    /// The targets and their agents.
    pub targets: Vec<Target>,
    /// Who may call.
    pub callers: Vec<CallerEntry>,
    /// Who may change the document.
    pub operators: Vec<Operator>,
    /// How decisions are taken.
    pub policy: Policy,
}

/// A region and its data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region's name.
    pub name: RegionName,
    /// The data centres in it.
    pub data_centres: Vec<DataCentreName>,
}

/// A base model at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The model's name, as callers use it.
    pub name: ModelName,
    /// The version of its weights.
    pub version: ModelVersion,
    /// Memory of the weights on an accelerator, in megabytes.
    pub memory_mb: u32,
    /// Memory kept for the KV cache of one replica, in megabytes.
    pub kv_mb: u32,
    /// Requests that one replica runs at a time within the limits.
    #[serde(default = "default_slots")]
    pub slots: u16,
}

impl Model {
    /// Returns the model's identity.
    pub fn id(&self) -> ModelId {
        ModelId {
            name: self.name.clone(),
            version: self.version.clone(),
        }
    }

    /// Returns the memory that one replica commits, in megabytes.
    pub const fn replica_mb(&self) -> u32 {
        self.memory_mb.saturating_add(self.kv_mb)
    }
}

/// An adapter on a base model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The adapter's name, as callers use it in place of a model's.
    pub name: AdapterName,
    /// The base model.
    pub model: ModelName,
    /// Memory on an accelerator, in megabytes.
    pub memory_mb: u32,
}

/// What kind of calls a service takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Completions by models.
    Completions,
    /// Calls passed to a plain service.
    Plain,
}

/// A service that callers use, with its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// What kind of calls it takes.
    pub kind: ServiceKind,
    /// The limit for the first token, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u32,
    /// The limit between tokens, in milliseconds.
    #[serde(default = "default_token_gap_ms")]
    pub token_gap_ms: u32,
    /// The limit for the whole answer when the caller names none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Requests that an entry keeps waiting.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Requests a second over all entries; none means no limit.
    #[serde(default)]
    pub rate: Option<u32>,
    /// The share of requests to be answered whole within the limits, for the burn report.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// Retries allowed, as a share of the service's traffic.
    #[serde(default = "default_retry_share")]
    pub retry_share: f64,
    /// Whether a call may run more than once without harm.
    #[serde(default = "default_true")]
    pub idempotent: bool,
}

/// One model of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServedModel {
    /// The model's name.
    pub name: ModelName,
    /// The version to serve.
    pub version: ModelVersion,
    /// Replicas that are kept at all times over the deployment's data centres.
    #[serde(default = "default_floor")]
    pub floor: u16,
}

impl ServedModel {
    /// Returns the model's identity.
    pub fn id(&self) -> ModelId {
        ModelId {
            name: self.name.clone(),
            version: self.version.clone(),
        }
    }
}

/// Which models and adapters serve a service, where, and at what priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The deployment's name.
    pub name: DeploymentName,
    /// The service it serves.
    pub service: ServiceName,
    /// The models.
    #[serde(default)]
    pub models: Vec<ServedModel>,
    /// The adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// The data centres in which replicas may be placed.
    pub data_centres: Vec<DataCentreName>,
    /// The priority from 0 (first) to 9 (last).
    #[serde(default = "default_priority")]
    pub priority: u8,
}

/// What stands behind an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine on accelerators.
    Engine,
    /// A plain service.
    Plain,
}

/// Whether an engine refuses orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Orders with an old fencing number are refused.
    Enforced,
    /// Fencing numbers are ignored; a late order may still be executed.
    #[default]
    Ignored,
}

/// A target and the agent beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The target's name.
    pub name: TargetName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// What it is.
    pub kind: TargetKind,
    /// The agent's address for work and orders.
    pub agent: SocketAddr,
    /// The accelerators; none for a plain service.
    #[serde(default)]
    pub accelerators: u16,
    /// Memory of each accelerator, in megabytes.
    #[serde(default)]
    pub accelerator_mb: u32,
    /// Whether the engine checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// The plain services it offers; engines name none.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Calls that a plain service runs at a time.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// Whether a plain service drops repeated calls with the same idempotency key by itself.
    #[serde(default)]
    pub dedupes: bool,
}

/// A caller's right to use services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerEntry {
    /// The caller's name.
    pub name: CallerName,
    /// The digest of the caller's key.
    pub key_sha256: KeyDigest,
    /// The services that the caller may use.
    pub services: Vec<ServiceName>,
}

/// An operator's right to read status and change the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The operator's name.
    pub name: CallerName,
    /// The digest of the operator's key.
    pub key_sha256: KeyDigest,
}

/// How decisions are taken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The registered routing policy.
    pub routing: String,
    /// The registered placement policy.
    pub placement: String,
    /// The weight of moves against attainment, from 0 (only attainment) to 1 (only moves).
    pub moves_weight: f64,
    /// Bytes a second that the system may send over the regional link each way.
    pub link_bytes: u32,
    /// Model loads a second that the weight store allows, over all data centres.
    pub load_rate: f64,
    /// Model loads at a time at the weight store's full speed.
    pub load_flight: u16,
    /// Adapter loads at a time at the weight store's full speed.
    pub adapter_flight: u16,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            routing: "least-loaded".into(),
            placement: "demand".into(),
            moves_weight: 0.5,
            link_bytes: 1_500_000,
            load_rate: 1.0,
            load_flight: 5,
            adapter_flight: 40,
        }
    }
}

const fn default_slots() -> u16 {
    32
}

const fn default_first_token_ms() -> u32 {
    680
}

const fn default_token_gap_ms() -> u32 {
    49
}

const fn default_deadline_ms() -> u32 {
    60_000
}

const fn default_queue() -> u32 {
    256
}

const fn default_objective() -> f64 {
    0.95
}

const fn default_retry_share() -> f64 {
    0.1
}

const fn default_floor() -> u16 {
    1
}

const fn default_priority() -> u8 {
    5
}

const fn default_true() -> bool {
    true
}
