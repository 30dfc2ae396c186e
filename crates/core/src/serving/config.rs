//! The validated configuration of routes, services and engines.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::account::{Account, AccountDirectory};

/// Whether a route's requests may run more than once, and whether they stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// Streams a model's output as a series of events.
    Stream,
}

/// A service that receives a weighted share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteShare {
    /// The name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other services; not negative.
    pub weight: f64,
}

/// Longest time for which a caller that waits beyond its route's deadline is expected to resume a stream, in
/// multiples of the deadline.
const MAX_PATIENCE_FACTOR: u32 = 4;
/// Time for which a caller may still come back after the deadline.
const RESUME_MARGIN: Duration = Duration::from_secs(10);

/// A route: the requests that it matches, their limits and the services that handle them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// The name that the operator gave the route.
    pub name: Arc<str>,
    /// Host name to match, without a port and regardless of case.
    pub host: Arc<str>,
    /// Path prefix to match; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once, and whether they stream.
    pub kind: CallKind,
    /// Maximum time that a caller is kept waiting.
    pub deadline: Duration,
    /// Latency objective; for generations, the time to the first token.
    pub objective: Duration,
    /// Longest pause between events that still meets the objective; `None` if not configured.
    pub gap: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of targets to which one attempt of a caller may be sent.
    pub attempts: u8,
    /// Whether an interrupted stream may continue on another target.
    pub resumable: bool,
    /// Whether requests need no account.
    pub anonymous: bool,
    /// The services by weight; at least one.
    pub shares: Vec<RouteShare>,
}

impl Route {
    /// Returns for how long after an attempt has come its caller may resume the stream. `timeout` is how long the
    /// caller says it waits.
    pub fn stream_life(&self, timeout: Option<Duration>) -> Duration {
        let longest = self.deadline.saturating_mul(MAX_PATIENCE_FACTOR);
        let wait = timeout.unwrap_or_default().clamp(self.deadline, longest);
        wait.saturating_add(RESUME_MARGIN)
    }
}

/// A model that an engine service offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ModelSpec {
    /// The model's name.
    pub name: Arc<str>,
    /// Size of the weights, in megabytes.
    pub weights_mb: f64,
    /// Time to load the model from the weight store.
    pub load: Duration,
    /// Time to load the model from a target's disk.
    pub disk_load: Duration,
    /// Number of adapters of the model.
    pub adapters: u32,
    /// Size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// Capacity and models of a service's engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineSpec {
    /// Memory of each engine for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Maximum number of adapters on one engine, over all its models.
    pub adapter_slots: u32,
    /// Loads from the weight store that may start per second, over all targets.
    pub load_rate: f64,
    /// The models by name.
    pub models: BTreeMap<Arc<str>, ModelSpec>,
}

impl EngineSpec {
    /// Returns the number of concurrent loads from the weight store that `rate`, in loads per
    /// second, sustains at full speed: the rate times the mean load time, and at least 1.
    pub fn max_concurrent_loads(&self, rate: f64) -> u16 {
        let times = self.models.values().map(|m| m.load.as_secs_f64());
        let mean = times.sum::<f64>() / self.models.len().max(1) as f64;
        (rate * mean).round().clamp(1.0, f64::from(u16::MAX)) as u16
    }
}

/// A service, with or without engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceSpec {
    /// The service's name.
    pub name: Arc<str>,
    /// Engine configuration; `None` if the service runs no models.
    pub engine: Option<EngineSpec>,
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum idle time of a keep-alive connection.
    pub idle_timeout: Duration,
}

/// A complete configuration, which takes effect as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServingConfig {
    /// Version number set by the operator.
    pub version: u64,
    /// The routes, in the order of the configuration.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: BTreeMap<Arc<str>, ServiceSpec>,
    /// Limits on callers.
    pub limits: ClientLimits,
    /// The client accounts; `None` if requests need none.
    pub accounts: Option<Vec<Arc<Account>>>,
}

/// The configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("invalid configuration: {field}: {reason}")]
pub struct ConfigError {
    /// Path of the invalid field, such as `routes.chat`.
    pub field: String,
    /// What is wrong with the field.
    pub reason: String,
}

impl ServingConfig {
    /// Returns the engine configuration of a service, or `None` if the service is unknown or runs
    /// no models.
    pub fn engine(&self, service: &str) -> Option<&EngineSpec> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Returns the services that have routes of streams.
    pub fn stream_services(&self) -> BTreeSet<&Arc<str>> {
        let is_stream = |route: &&Arc<Route>| route.kind == CallKind::Stream;
        let routes = self.routes.iter().filter(is_stream);
        let shares = routes.flat_map(|route| &route.shares);
        shares.map(|share| &share.service).collect()
    }

    /// Returns the longest time for which a caller may resume a stream, over all routes.
    pub fn stream_life(&self) -> Duration {
        let resumable = self.routes.iter().filter(|route| route.resumable);
        let lives = resumable.map(|route| route.stream_life(Some(Duration::MAX)));
        lives.max().unwrap_or_default()
    }

    /// Checks what the types don't enforce: the routes' path prefixes, services and weights, and the
    /// accounts' names and keys.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid route or account.
    pub fn check(self) -> Result<Self, ConfigError> {
        for route in &self.routes {
            let fault = |reason: &str| ConfigError {
                field: format!("routes.{}", route.name),
                reason: reason.to_owned(),
            };
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(fault("the path prefix must begin and end with a slash"));
            }
            if route.shares.is_empty() {
                return Err(fault("the route names no service"));
            }
            if route
                .shares
                .iter()
                .any(|s| s.weight.is_nan() || s.weight < 0.0)
            {
                return Err(fault("a service weight is negative or not a number"));
            }
        }
        self.directory()?;
        Ok(self)
    }

    /// Returns the accounts by key; `None` if requests need no account.
    ///
    /// # Errors
    ///
    /// Returns an error if two accounts have the same name or key, or one has no name.
    pub fn directory(&self) -> Result<Option<AccountDirectory>, ConfigError> {
        let accounts = self.accounts.as_deref();
        accounts.map(AccountDirectory::try_from).transpose()
    }
}
