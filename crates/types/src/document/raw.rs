//! The document as operators write it, before validation.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::secret::KeyDigest;
use crate::{
    AdapterName, CallerName, DataCentreName, DeploymentName, ModelId, ModelName, ModelVersion,
    RegionName, ServiceName, TargetName,
};

/// The document before validation; fields that are left out get their defaults.
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
    /// The deployments of models and adapters for services.
    pub deployments: Vec<Deployment>,
    /// The targets and their agents.
    pub targets: Vec<Target>,
    /// The callers, with the services that they may use.
    pub callers: Vec<CallerEntry>,
    /// The operators, who may read the status and change the document.
    pub operators: Vec<Operator>,
    /// The policies for routing and placement, and the limits that they keep.
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

/// A base model at one version, with its resource needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The model's name, as callers use it in the `model` field.
    pub name: ModelName,
    /// The version of the model's weights.
    pub version: ModelVersion,
    /// Memory for the weights on an accelerator, in megabytes.
    pub memory_mb: u32,
    /// Memory reserved for the KV cache of one replica, in megabytes.
    pub kv_mb: u32,
    /// Number of requests that one replica runs concurrently within the service's limits.
    #[serde(default = "default_slots")]
    pub slots: u16,
}

impl Model {
    /// Returns the model's name and version.
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
    /// The name of the base model.
    pub model: ModelName,
    /// Memory for the adapter on an accelerator, in megabytes.
    pub memory_mb: u32,
}

/// The kind of calls that a service accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Completions by models.
    Completions,
    /// Calls that are forwarded to a plain service.
    Plain,
}

/// A service that callers use, with its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The kind of calls that the service accepts.
    pub kind: ServiceKind,
    /// The limit on the time to the first token, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u32,
    /// The limit on the mean time between tokens, in milliseconds.
    #[serde(default = "default_token_gap_ms")]
    pub token_gap_ms: u32,
    /// The limit on the time to the whole answer when the caller sets no deadline, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Number of requests that an entry queues.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// The limit on requests per second, over all entries; `None` means no limit.
    #[serde(default)]
    pub rate: Option<u32>,
    /// The share of requests to be answered completely and within the limits: the objective against
    /// which the burn report measures.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// The limit on retries, as a share of the service's first attempts.
    #[serde(default = "default_retry_share")]
    pub retry_share: f64,
    /// Whether a call may safely run more than once.
    #[serde(default = "default_true")]
    pub idempotent: bool,
}

/// A model that a deployment serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServedModel {
    /// The model's name.
    pub name: ModelName,
    /// The version to serve.
    pub version: ModelVersion,
    /// Minimum number of replicas to keep at all times, over all of the deployment's data centres.
    #[serde(default = "default_floor")]
    pub floor: u16,
}

impl ServedModel {
    /// Returns the model's name and version.
    pub fn id(&self) -> ModelId {
        ModelId {
            name: self.name.clone(),
            version: self.version.clone(),
        }
    }
}

/// The models and adapters that serve a service, the data centres they run in, and their priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The deployment's name.
    pub name: DeploymentName,
    /// The service that the deployment serves.
    pub service: ServiceName,
    /// The base models that the deployment serves; at least one.
    #[serde(default)]
    pub models: Vec<ServedModel>,
    /// The adapters that the deployment serves; each needs its base model in `models`.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// The data centres in which replicas may be placed.
    pub data_centres: Vec<DataCentreName>,
    /// The priority, from 0 (first) to 9 (last).
    #[serde(default = "default_priority")]
    pub priority: u8,
}

/// The kind of back end behind an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// An inference engine with accelerators.
    Engine,
    /// A plain service.
    Plain,
}

/// Whether an engine refuses orders with an outdated fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Orders with an outdated fencing token are refused.
    Enforced,
    /// Fencing tokens are ignored; a late order may still be executed.
    #[default]
    Ignored,
}

/// A target (the back end behind one agent) and the address of its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The target's name.
    pub name: TargetName,
    /// The data centre in which the target runs.
    pub data_centre: DataCentreName,
    /// The kind of back end.
    pub kind: TargetKind,
    /// The address on which the agent accepts work and orders.
    pub agent: SocketAddr,
    /// Number of accelerators; 0 for a plain service.
    #[serde(default)]
    pub accelerators: u16,
    /// Memory of each accelerator, in megabytes.
    #[serde(default)]
    pub accelerator_mb: u32,
    /// Whether the engine checks fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// The plain services that the target runs; empty for an engine, whose services follow from the
    /// deployments.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Number of calls that a plain service runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// Whether a plain service itself deduplicates calls with the same idempotency key.
    #[serde(default)]
    pub dedupes: bool,
}

/// A caller and the services that it may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerEntry {
    /// The caller's name.
    pub name: CallerName,
    /// The SHA-256 digest of the caller's key.
    pub key_sha256: KeyDigest,
    /// The services that the caller may use.
    pub services: Vec<ServiceName>,
}

/// An operator, who may read the status and change the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The operator's name.
    pub name: CallerName,
    /// The SHA-256 digest of the operator's key.
    pub key_sha256: KeyDigest,
}

/// The policies for routing and placement, and the limits that they keep.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The name of a registered routing policy.
    pub routing: String,
    /// The name of a registered placement policy.
    pub placement: String,
    /// The weight of the cost of moves (loads and unloads) against attainment of the services'
    /// limits in placement, from 0 (only attainment) to 1 (only moves).
    pub moves_weight: f64,
    /// The limit on bytes per second that the system sends over the regional link, each way.
    pub link_bytes: u32,
    /// Model loads per second that the weight store allows, over all data centres.
    pub load_rate: f64,
    /// Number of concurrent model loads at which the weight store reaches its full speed.
    pub load_flight: u16,
    /// Number of concurrent adapter loads at which the weight store reaches its full speed.
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
