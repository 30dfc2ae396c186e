//! What is known of one engine: what it holds, what it runs and what waits there.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

/// Reports of an agent that are missing when its target is avoided.
const SILENT_BEATS: f64 = 3.25;
/// Reports of an agent that are missing when its machine may stand still.
const STALLED_BEATS: f64 = 5.0;
/// Silence of an agent that is enough whatever its pause between reports; callers leave a stream
/// without a first event after three seconds or so.
const MAX_SILENCE: Duration = Duration::from_millis(1_900);
/// Silence of an engine that shows, with that of its agent, that their machine stands still.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// A model that an engine holds, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResidentModel {
    /// The model.
    pub name: Arc<str>,
    /// Its adapters in the engine's memory.
    pub adapters: Vec<Arc<str>>,
}

/// A load that an engine carries out or is about to.
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
    /// The loads in progress and those that follow them.
    pub loading: Vec<LoadProgress>,
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

    /// Says whether the target's machine keeps a copy of a model's weights.
    pub fn is_cached(&self, model: &str) -> bool {
        self.cached.iter().any(|name| &**name == model)
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

/// Which waiting work an engine admits first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Band {
    /// Meets a short objective on a route of the first rank.
    First,
    /// Meets a short objective on any other route.
    Urgent,
    /// Has a long objective, or misses a short one.
    Deferred,
}

/// Prefill time that was sent to an engine and has not produced a first token, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Backlog {
    /// Work of the first band.
    pub first: u64,
    /// Work of the urgent band.
    pub urgent: u64,
    /// Work of the deferred band.
    pub deferred: u64,
}

impl Backlog {
    /// Adds work of one band.
    pub const fn add(&mut self, work: Duration, band: Band) {
        *self.band(band) += work.as_micros() as u64;
    }

    /// Takes off work that has produced its first token or ended.
    pub const fn remove(&mut self, work: Duration, band: Band) {
        let sum = self.band(band);
        *sum = sum.saturating_sub(work.as_micros() as u64);
    }

    /// Returns the work ahead of a new request of a band.
    pub const fn ahead(self, band: Band) -> Duration {
        let micros = match band {
            Band::First => self.first,
            Band::Urgent => self.first + self.urgent,
            Band::Deferred => self.first + self.urgent + self.deferred,
        };
        Duration::from_micros(micros)
    }

    /// Returns the sum of two backlogs.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            first: self.first + other.first,
            urgent: self.urgent + other.urgent,
            deferred: self.deferred + other.deferred,
        }
    }

    /// Returns what is left without a part.
    #[must_use]
    pub const fn minus(self, part: Self) -> Self {
        Self {
            first: self.first.saturating_sub(part.first),
            urgent: self.urgent.saturating_sub(part.urgent),
            deferred: self.deferred.saturating_sub(part.deferred),
        }
    }

    const fn band(&mut self, band: Band) -> &mut u64 {
        match band {
            Band::First => &mut self.first,
            Band::Urgent => &mut self.urgent,
            Band::Deferred => &mut self.deferred,
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
    pub own_backlog: Backlog,
    /// Work that other entries have sent, as last told by the agent.
    pub peer_backlog: Backlog,
    /// When the agent last told it.
    pub peers_updated: Option<Timestamp>,
    /// Requests of this entry that are unfinished at the engine.
    pub running: u32,
    /// The pause between the agent's reports.
    pub report_interval: Duration,
    /// When this entry last received a byte of an answer.
    pub last_byte: Option<Timestamp>,
}

impl EngineState {
    /// Returns the expected prefill time ahead of a new request.
    pub const fn ahead(&self, band: Band) -> Duration {
        self.own_backlog.plus(self.peer_backlog).ahead(band)
    }

    /// Says whether the engine's machine stands still: its agent has fallen silent, and so has the
    /// engine itself. A request that waits there gains nothing from waiting longer.
    pub fn is_stalled(&self, now: Timestamp) -> bool {
        let silent = |at: Timestamp| now.since(at) >= STALLED_AFTER;
        self.misses(STALLED_BEATS, now) && self.last_byte.is_none_or(silent)
    }

    /// Says whether the agent has been silent, so that its target is better avoided.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        self.misses(SILENT_BEATS, now)
    }

    fn misses(&self, beats: f64, now: Timestamp) -> bool {
        let limit = self.report_interval.mul_f64(beats).min(MAX_SILENCE);
        self.age(now).is_some_and(|age| age >= limit)
    }

    /// Says whether the other entries' work was told at or after `since`.
    pub fn peers_updated_since(&self, since: Timestamp) -> bool {
        self.peers_updated.is_some_and(|at| at >= since)
    }

    /// Returns the age of the report.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.reported.map(|at| now.since(at))
    }
}
