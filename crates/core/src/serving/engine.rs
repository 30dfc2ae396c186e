//! What is known of one engine: what it holds, what it runs and what waits there.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

/// Silence of both the agent and the engine that shows that their machine stands still.
const STALLED_AFTER: Duration = Duration::from_millis(1_000);

/// A model that an engine holds, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResidentModel {
    /// The model.
    pub name: Arc<str>,
    /// Its adapters in the engine's memory.
    pub adapters: Vec<Arc<str>>,
}

/// A load that an engine carries out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadProgress {
    /// The model.
    pub model: Arc<str>,
    /// The expected time until it serves, in milliseconds.
    pub left_ms: u32,
}

/// One engine's state as its agent read it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineReport {
    /// The models held.
    pub models: Vec<ResidentModel>,
    /// Adapters on their way, as model and adapter.
    pub pending: Vec<(Arc<str>, Arc<str>)>,
    /// Whether an adapter that is not held could be loaded at once.
    pub adapter_room: bool,
    /// The load in progress.
    pub loading: Option<LoadProgress>,
    /// Models whose weights lie in the target's memory or on its disk.
    pub cached: Vec<Arc<str>>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders accepted by this incarnation.
    pub order_seq: u64,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub active: u32,
    /// KV memory that can't yield, in tokens.
    pub kv_used: u64,
    /// KV memory, in tokens.
    pub kv_total: u64,
}

impl EngineReport {
    /// Says whether the engine holds a model.
    pub fn holds(&self, model: &str) -> bool {
        self.models.iter().any(|m| &*m.name == model)
    }

    /// Says whether the engine holds an adapter of a model.
    pub fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        let resident = self.models.iter().find(|m| &*m.name == model);
        resident.is_some_and(|m| m.adapters.iter().any(|a| &**a == adapter))
    }

    /// Counts the adapters held or on their way.
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|m| m.adapters.len()).sum::<usize>() + self.pending.len()
    }
}

/// Prefill time that was sent to an engine and has not produced a first token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Backlog {
    /// Work that is expected to meet a short objective, in microseconds.
    pub urgent_us: u64,
    /// Work that the engine admits after all urgent work, in microseconds.
    pub deferred_us: u64,
}

impl Backlog {
    /// Adds work of one band.
    pub fn add(&mut self, work: Duration, urgent: bool) {
        *self.band(urgent) += work.as_micros() as u64;
    }

    /// Takes off work that has produced its first token or ended.
    pub fn remove(&mut self, work: Duration, urgent: bool) {
        let band = self.band(urgent);
        *band = band.saturating_sub(work.as_micros() as u64);
    }

    /// Returns the work ahead of a new request.
    pub const fn ahead(self, urgent: bool) -> Duration {
        let deferred = if urgent { 0 } else { self.deferred_us };
        Duration::from_micros(self.urgent_us + deferred)
    }

    /// Returns the sum of two backlogs.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            urgent_us: self.urgent_us + other.urgent_us,
            deferred_us: self.deferred_us + other.deferred_us,
        }
    }

    const fn band(&mut self, urgent: bool) -> &mut u64 {
        if urgent {
            &mut self.urgent_us
        } else {
            &mut self.deferred_us
        }
    }
}

/// One engine as an entry sees it: the last report and the work sent since.
#[derive(Debug, Clone, Default)]
pub struct EngineState {
    /// The last report.
    pub report: EngineReport,
    /// When the report arrived; `None` before the first.
    pub reported: Option<Timestamp>,
    /// Work that this entry has sent.
    pub own: Backlog,
    /// Work that other entries have sent, as of the last report.
    pub peers: Backlog,
    /// Requests of this entry that are unfinished at the engine.
    pub running: u32,
    /// When this entry last received a byte of an answer.
    pub heard: Option<Timestamp>,
}

impl EngineState {
    /// Returns the expected prefill time ahead of a new request.
    pub const fn ahead(&self, urgent: bool) -> Duration {
        self.own.plus(self.peers).ahead(urgent)
    }

    /// Says whether the engine's machine stands still: its agent has fallen silent, and so has the
    /// engine itself. A request that waits there gains nothing from waiting longer.
    pub fn is_stalled(&self, now: Timestamp) -> bool {
        let silent = |at: Timestamp| now.since(at) >= STALLED_AFTER;
        self.reported.is_some_and(silent) && self.heard.is_none_or(silent)
    }

    /// Returns the age of the report.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.reported.map(|at| now.since(at))
    }
}
