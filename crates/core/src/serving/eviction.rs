//! Which adapter an engine loads or drops next.
//!
//! Load pattern: half of a hot model's requests name one of many adapters, and an engine has few
//! places for them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::engine::EngineReport;

/// How long an adapter counts as in use after entries named it. An engine that is told to drop an
/// adapter in use refuses requests for it until its runs are over.
const IN_USE: Duration = Duration::from_millis(800);

/// An adapter of a model.
pub type AdapterKey = (Arc<str>, Arc<str>);

/// The next order for adapters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterStep {
    /// Nothing is to be done.
    Done,
    /// The wanted adapter can be loaded.
    Load,
    /// This adapter makes way.
    Unload(AdapterKey),
    /// All places are in use.
    Full,
    /// The adapter's model is not held here.
    ModelAbsent,
}

/// When entries last named each adapter.
#[derive(Debug, Clone, Default)]
pub struct AdapterUse {
    last: HashMap<AdapterKey, Timestamp>,
}

impl AdapterUse {
    /// Notes that an adapter is in use or wanted.
    pub fn note(&mut self, adapter: AdapterKey, now: Timestamp) {
        self.last.insert(adapter, now);
    }

    /// Decides the next step towards holding `wanted` in one of `slots` places.
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
        self.least_used(report, now)
            .map_or(AdapterStep::Full, AdapterStep::Unload)
    }

    /// Says whether an adapter that is not held could be loaded at once.
    pub fn has_room(&self, report: &EngineReport, slots: u32, now: Timestamp) -> bool {
        report.adapter_count() < slots as usize || self.least_used(report, now).is_some()
    }

    /// Returns the adapter that has been out of use for longest.
    fn least_used(&self, report: &EngineReport, now: Timestamp) -> Option<AdapterKey> {
        let held = report.models.iter().flat_map(|m| {
            let key = |adapter: &Arc<str>| (m.name.clone(), adapter.clone());
            m.adapters.iter().map(key)
        });
        let last = |key: &AdapterKey| self.last.get(key).copied();
        let idle = held.filter(|key| last(key).is_none_or(|at| now.since(at) >= IN_USE));
        idle.min_by_key(|key| last(key).unwrap_or(Timestamp::ZERO))
    }
}
