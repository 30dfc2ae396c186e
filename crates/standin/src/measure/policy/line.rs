//! One line of the measurement.

use serde::{Deserialize, Serialize};

use super::Workload;

/// What one policy reached on one workload.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyLine {
    /// The workload.
    pub workload: Workload,
    /// The placement and routing policies.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Requests sent by callers.
    pub requests: u64,
    /// Requests answered whole within their limits.
    pub attained: u64,
    /// The share of requests answered whole within their limits.
    pub attainment: f64,
    /// Accelerators of the fleet.
    pub accelerators: u64,
    /// Attained requests for each accelerator.
    pub attainment_per_accelerator: f64,
    /// Loads and unloads of models that engines executed.
    pub moves: u64,
    /// Bytes over the regional link, both ways.
    pub link_bytes: u64,
    /// Seconds for which no entry reached a ready copy, summed over the models.
    pub unreachable_seconds: u64,
    /// Loads that an engine's memory could not hold.
    pub memory_violations: u64,
    /// Calls that ran more than once under one idempotency key.
    pub doubled: u64,
    /// Requests without an answer, and answers without a run.
    pub lost: u64,
    /// Requests that ran although their caller was told that they did not.
    pub false_not_run: u64,
}
