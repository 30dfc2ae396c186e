//! The state of one engine: the models that it holds, the work that it runs and its backlog.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::heartbeat::statement_ttl;

/// Report intervals without a report after which a target is avoided.
const SILENT_INTERVALS: f64 = 3.25;
/// Report intervals without a report after which the target's instance may be stalled.
const STALLED_INTERVALS: f64 = 5.0;
/// Upper bound on both times where reports are frequent. Callers abandon a stream without a first event
/// after about three seconds.
const MAX_SILENCE: Duration = Duration::from_millis(1_900);
/// Lower bound of [`MAX_SILENCE`] in report intervals: one report may be lost and the next one late.
const MIN_SILENT_INTERVALS: f64 = 2.35;
/// Time between two questions to an agent that count as two: those at one time may be lost together.
const QUESTION_SPACING: Duration = Duration::from_millis(150);
/// Questions without an answer after which a target is avoided, and how long ago the first one was sent.
const SILENT_QUESTIONS: (u32, Duration) = (2, Duration::from_millis(600));
/// The same for a target whose instance may be stalled.
const STALLED_QUESTIONS: (u32, Duration) = (4, Duration::from_secs(1));
/// Time without word of an agent, and without a byte of its engine, after which it is asked whether it is
/// alive while a request waits there.
const PROBE_AFTER: Duration = Duration::from_millis(500);
/// Time without a byte from an engine after which its instance counts as stalled, if its agent is
/// silent too. A request that was just sent waits as long, or an engine without its agent would serve
/// none.
pub const ENGINE_SILENCE: Duration = Duration::from_secs(1);

/// A model that an engine holds, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResidentModel {
    /// The model's name.
    pub name: Arc<str>,
    /// The model's adapters in the engine's memory.
    pub adapters: Vec<Arc<str>>,
}

/// A model load that an engine runs or will start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadProgress {
    /// The model's name.
    pub model: Arc<str>,
    /// Expected time until the model serves requests, in milliseconds.
    pub left_ms: u32,
}

/// The state of an engine as read by its agent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineReport {
    /// The models that the engine holds.
    pub models: Vec<ResidentModel>,
    /// Adapters that are being loaded, as model and adapter.
    pub pending: Vec<(Arc<str>, Arc<str>)>,
    /// Whether an absent adapter could be loaded at once.
    pub adapter_room: bool,
    /// The load in progress and the loads that follow it.
    pub loading: Vec<LoadProgress>,
    /// Models whose weights are in the instance's memory or on its disk.
    pub cached: Vec<Arc<str>>,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// Number of orders that this incarnation has accepted.
    pub order_seq: u64,
    /// Number of waiting requests.
    pub queued: u32,
    /// Number of running requests.
    pub active: u32,
    /// KV memory that can't be reclaimed, in tokens.
    pub kv_used: u64,
    /// Total KV memory, in tokens; 0 if not stated.
    pub kv_total: u64,
}

impl EngineReport {
    /// Returns whether the engine holds a model.
    pub fn holds(&self, model: &str) -> bool {
        self.models.iter().any(|m| &*m.name == model)
    }

    /// Returns whether the target's instance has a copy of a model's weights.
    pub fn is_cached(&self, model: &str) -> bool {
        self.cached.iter().any(|name| &**name == model)
    }

    /// Returns whether the engine holds an adapter of a model.
    pub fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        let resident = self.models.iter().find(|m| &*m.name == model);
        resident.is_some_and(|m| m.adapters.iter().any(|a| &**a == adapter))
    }

    /// Returns the number of adapters that are loaded or being loaded.
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|m| m.adapters.len()).sum::<usize>() + self.pending.len()
    }
}

/// Priority band of a request; an engine admits waiting work band by band, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Band {
    /// Meets a short objective, on a route with priority 0.
    First,
    /// Meets a short objective, on any other route.
    Urgent,
    /// Has a long objective, or misses a short one.
    Deferred,
}

/// Prefill work sent to an engine that has not produced a first token yet, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Backlog {
    /// Work in the first band.
    pub first: u64,
    /// Work in the urgent band.
    pub urgent: u64,
    /// Work in the deferred band.
    pub deferred: u64,
}

impl Backlog {
    /// Adds work in a band.
    pub const fn add(&mut self, work: Duration, band: Band) {
        *self.band(band) += work.as_micros() as u64;
    }

    /// Removes work that has produced its first token or ended.
    pub const fn remove(&mut self, work: Duration, band: Band) {
        let sum = self.band(band);
        *sum = sum.saturating_sub(work.as_micros() as u64);
    }

    /// Returns the work that is processed before a new request in a band: that of the same and of
    /// higher bands.
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

    /// Returns the backlog without `part`, and no less than zero in each band.
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

/// The state of an engine as an entry knows it: the last report and the work sent since.
#[derive(Debug, Clone, Default)]
pub struct EngineState {
    /// The last report.
    pub report: EngineReport,
    /// When the last report arrived; `None` before the first.
    pub reported: Option<Timestamp>,
    /// When a datagram of the agent last arrived; `None` before the first.
    pub heard: Option<Timestamp>,
    /// Work that this entry has sent.
    pub own_backlog: Backlog,
    /// Work that the other entries have sent, as last stated by the agent.
    pub peer_backlog: Backlog,
    /// When the agent last stated the other entries' work; `None` before the first time.
    pub peers_updated: Option<Timestamp>,
    /// Number of this entry's unfinished requests at the engine.
    pub running: u32,
    /// Time between two reports of the agent.
    pub report_interval: Duration,
    /// When this entry last received a byte of an answer; `None` before the first.
    pub last_byte: Option<Timestamp>,
    /// The questions to the agent since it was last heard.
    pub questions: Questions,
}

/// Questions to an agent that has not been heard since the first of them.
///
/// Reports come seldom in a large fleet. The answer to a question shows within a round trip whether an
/// agent is alive, so that a stalled instance is found as soon as in a small one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Questions {
    count: u32,
    first: Timestamp,
    last: Timestamp,
}

impl Questions {
    /// Records a question; one shortly after another counts as the same.
    pub fn record(&mut self, now: Timestamp) {
        if self.count == 0 {
            self.first = now;
        } else if now.since(self.last) < QUESTION_SPACING {
            return;
        }
        self.count += 1;
        self.last = now;
    }

    /// Returns whether as many questions as `least` were sent without an answer, the first long enough ago.
    fn are_unanswered(self, (least, age): (u32, Duration), now: Timestamp) -> bool {
        self.count >= least && now.since(self.first) >= age
    }
}

impl EngineState {
    /// Returns the expected prefill time ahead of a new request in a band.
    pub const fn ahead(&self, band: Band) -> Duration {
        self.own_backlog.plus(self.peer_backlog).ahead(band)
    }

    /// Returns whether the engine's instance is stalled: both its agent and the engine itself are
    /// silent. A request there gains nothing from waiting longer.
    pub fn is_stalled(&self, now: Timestamp) -> bool {
        let agent_silent =
            self.is_overdue(STALLED_INTERVALS, now) || self.is_mute(STALLED_QUESTIONS, now);
        agent_silent && self.is_engine_silent(ENGINE_SILENCE, now)
    }

    /// Returns whether the agent's reports are overdue or questions to it are unanswered, so that its
    /// target should be avoided.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        self.is_overdue(SILENT_INTERVALS, now) || self.is_mute(SILENT_QUESTIONS, now)
    }

    /// Returns whether the agent should be asked whether it is alive, as a request waits at its engine.
    pub fn is_probe_due(&self, now: Timestamp) -> bool {
        let quiet = self.heard.is_some_and(|at| now.since(at) >= PROBE_AFTER);
        self.running > 0 && quiet && self.is_engine_silent(PROBE_AFTER, now)
    }

    /// Records that a datagram of the agent arrived.
    pub fn record_heard(&mut self, now: Timestamp) {
        self.heard = Some(now);
        self.questions = Questions::default();
    }

    fn is_engine_silent(&self, limit: Duration, now: Timestamp) -> bool {
        self.last_byte.is_none_or(|at| now.since(at) >= limit)
    }

    /// Returns whether an agent that has reported leaves questions unanswered.
    fn is_mute(&self, limit: (u32, Duration), now: Timestamp) -> bool {
        self.reported.is_some() && self.questions.are_unanswered(limit, now)
    }

    /// Returns whether nothing was heard of the agent for this number of report intervals, or for
    /// [`MAX_SILENCE`] where reports come often enough for that.
    fn is_overdue(&self, intervals: f64, now: Timestamp) -> bool {
        let interval = self.report_interval;
        let bound = MAX_SILENCE.max(interval.mul_f64(MIN_SILENT_INTERVALS));
        let limit = interval.mul_f64(intervals).min(bound);
        let heard = self.reported.max(self.heard);
        heard.is_some_and(|at| now.since(at) >= limit)
    }

    /// Drops what other entries have sent once the agent has not restated it for too long.
    pub fn expire_peer_backlog(&mut self, now: Timestamp) {
        let ttl = statement_ttl(self.report_interval);
        if self.peers_updated.is_some_and(|at| now.since(at) > ttl) {
            self.peer_backlog = Backlog::default();
        }
    }

    /// Returns whether the other entries' work was last stated at or after `since`.
    pub fn peers_updated_since(&self, since: Timestamp) -> bool {
        self.peers_updated.is_some_and(|at| at >= since)
    }

    /// Returns the age of the last report, or `None` before the first.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.reported.map(|at| now.since(at))
    }
}
