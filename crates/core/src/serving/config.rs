//! The checked configuration of routes, services and engines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// What may be repeated of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// Answers with a series of events from a model.
    Stream,
}

/// One weighted service of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteShare {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's services.
    pub weight: f64,
}

/// One route: which requests go to which service, and on what terms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// The operator's name of the route.
    pub name: Arc<str>,
    /// The host it answers for.
    pub host: Arc<str>,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time that a caller is kept waiting.
    pub deadline: Duration,
    /// The latency objective.
    pub objective: Duration,
    /// The longest pause between events that still meets the objective.
    pub gap: Option<Duration>,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// Targets to which one caller's attempt may be sent.
    pub attempts: u8,
    /// Whether a broken stream may continue at another target.
    pub resumable: bool,
    /// The services, at least one.
    pub shares: Vec<RouteShare>,
}

/// One model that an engine service offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ModelSpec {
    /// The model's name.
    pub name: Arc<str>,
    /// The size of the weights, in megabytes.
    pub weights_mb: f64,
    /// The time of a load from the weight store.
    pub load: Duration,
    /// The time of a load from a target's disk.
    pub disk_load: Duration,
    /// The number of adapters.
    pub adapters: u32,
    /// The size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// What the engines of a service are and hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineSpec {
    /// Memory for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Places for adapters.
    pub adapter_slots: u32,
    /// Loads from the weight store that may begin each second, over all targets.
    pub load_rate: f64,
    /// The models by name.
    pub models: BTreeMap<Arc<str>, ModelSpec>,
}

impl EngineSpec {
    /// Returns how many loads from the weight store run at full speed together, as the store's rate
    /// and the models' load times imply.
    pub fn max_concurrent_loads(&self, rate: f64) -> u16 {
        let times = self.models.values().map(|m| m.load.as_secs_f64());
        let mean = times.sum::<f64>() / self.models.len().max(1) as f64;
        (rate * mean).round().clamp(1.0, f64::from(u16::MAX)) as u16
    }
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceSpec {
    /// The service's name.
    pub name: Arc<str>,
    /// The engines, where the service runs models.
    pub engine: Option<EngineSpec>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClientLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head.
    pub header_timeout: Duration,
    /// Longest idle time of a kept connection.
    pub idle_timeout: Duration,
}

/// A configuration that is in force as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServingConfig {
    /// The operator's version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: BTreeMap<Arc<str>, ServiceSpec>,
    /// What callers may send.
    pub limits: ClientLimits,
}

/// Says why a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("configuration: {field}: {reason}")]
pub struct ConfigError {
    /// The field at fault.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl ServingConfig {
    /// Returns what the engines of a service are, where it runs models.
    pub fn engine(&self, service: &str) -> Option<&EngineSpec> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Checks what the types can't say: prefixes, shares and service names.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first field at fault.
    pub fn check(self) -> Result<Self, ConfigError> {
        for route in &self.routes {
            let fault = |reason: &str| ConfigError {
                field: format!("routes.{}", route.name),
                reason: reason.to_owned(),
            };
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(fault("the prefix must begin and end with a slash"));
            }
            if route.shares.is_empty() {
                return Err(fault("no service is named"));
            }
            if route
                .shares
                .iter()
                .any(|s| s.weight.is_nan() || s.weight < 0.0)
            {
                return Err(fault("a weight is negative"));
            }
        }
        Ok(self)
    }
}
