//! Which adapter an engine loads or drops next.
//!
//! Load pattern: half of a hot model's requests name one of many adapters, and an engine has few
//! places for them.

use std::collections::HashMap;
use std::sync::Arc;

use kumquatkeel_types::Timestamp;

use super::engine::EngineReport;

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
    /// The adapter's model is not held here.
    ModelAbsent,
}

/// Decides the next step towards holding `wanted`, given when each adapter was last wanted.
pub fn next_adapter_step(
    report: &EngineReport,
    wanted: &AdapterKey,
    used: &HashMap<AdapterKey, Timestamp>,
    slots: u32,
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
    let held = report.models.iter().flat_map(|m| {
        let key = |adapter: &Arc<str>| (m.name.clone(), adapter.clone());
        m.adapters.iter().map(key)
    });
    let oldest = held.min_by_key(|key| used.get(key).copied().unwrap_or(Timestamp::ZERO));
    oldest.map_or(AdapterStep::Done, AdapterStep::Unload)
}
