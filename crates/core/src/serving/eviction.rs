//! Selection of the adapter that an engine loads or unloads next.
//!
//! About half of a hot model's requests name one of many adapters, and an engine has few adapter
//! slots.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::engine::EngineReport;

/// How long an adapter counts as in use after an entry named it. An engine that is told to unload
/// an adapter in use refuses requests for it until the running ones have ended.
const IN_USE: Duration = Duration::from_millis(800);

/// An adapter, as the names of its model and of the adapter.
pub type AdapterKey = (Arc<str>, Arc<str>);

/// The next step towards loading an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterStep {
    /// The adapter is loaded or is being loaded.
    Done,
    /// Load the adapter.
    Load,
    /// Unload this adapter first.
    Unload(AdapterKey),
    /// All slots are in use.
    Full,
    /// The engine does not hold the adapter's model.
    ModelAbsent,
}

/// The last use of each adapter of an engine.
#[derive(Debug, Clone, Default)]
pub struct AdapterUse {
    last: HashMap<AdapterKey, Timestamp>,
}

impl AdapterUse {
    /// Records that an adapter is in use or wanted.
    pub fn record(&mut self, adapter: AdapterKey, now: Timestamp) {
        self.last.insert(adapter, now);
    }

    /// Returns the next step towards holding `wanted` in one of the engine's `slots`.
    pub fn next_step(
        &self,
        report: &EngineReport,
        wanted: &AdapterKey,
        slots: u32,
        now: Timestamp,
    ) -> AdapterStep {
        let (model, adapter) = wanted;
        if report.holds_adapter(model, adapter) || report.pending.contains(wanted) {
            return AdapterStep::Done;
        }
        if !report.holds(model) {
            return AdapterStep::ModelAbsent;
        }
        if report.adapter_count() < slots as usize {
            return AdapterStep::Load;
        }
        self.least_recently_used(report, now)
            .map_or(AdapterStep::Full, AdapterStep::Unload)
    }

    /// Returns whether an absent adapter could be loaded at once, in a free slot or in place of an
    /// unused adapter.
    pub fn has_room(&self, report: &EngineReport, slots: u32, now: Timestamp) -> bool {
        report.adapter_count() < slots as usize || self.least_recently_used(report, now).is_some()
    }

    /// Returns the least recently used adapter, or `None` if all are in use.
    fn least_recently_used(&self, report: &EngineReport, now: Timestamp) -> Option<AdapterKey> {
        let held = report.models.iter().flat_map(|m| {
            let key = |adapter: &Arc<str>| (m.name.clone(), adapter.clone());
            m.adapters.iter().map(key)
        });
        let last = |key: &AdapterKey| self.last.get(key).copied();
        let idle = held.filter(|key| last(key).is_none_or(|at| now.since(at) >= IN_USE));
        idle.min_by_key(|key| last(key).unwrap_or(Timestamp::ZERO))
    }
}
