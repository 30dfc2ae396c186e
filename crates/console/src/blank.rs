//! Blank items of each section. They are what `Add` appends, and the templates that give the fields
//! of a form and their types.

use serde_json::{Value, json};

use crate::Section;

/// Returns a blank item of a section, with the default values that a form starts from.
pub(crate) fn blank_item(section: Section) -> Value {
    match section {
        Section::Regions => json!({ "name": "", "data_centres": [""] }),
        Section::Models => {
            json!({ "name": "", "version": "", "memory_mb": 0, "kv_mb": 0, "slots": 32 })
        }
        Section::Adapters => json!({ "name": "", "model": "", "memory_mb": 0 }),
        Section::Services => json!({
            "name": "", "kind": "completions", "first_token_ms": 680, "token_gap_ms": 49,
            "deadline_ms": 60_000, "queue": 256, "rate": null, "objective": 0.95,
            "retry_share": 0.1, "idempotent": true
        }),
        Section::Deployments => json!({
            "name": "", "service": "",
            "models": [{ "name": "", "version": "", "floor": 1 }],
            "adapters": [""], "data_centres": [""], "priority": 5
        }),
        Section::Targets => json!({
            "name": "", "data_centre": "", "kind": "engine", "agent": "", "accelerators": 0,
            "accelerator_mb": 0, "fencing": "ignored", "services": [""], "slots": 32,
            "dedupes": false
        }),
        Section::Callers => json!({ "name": "", "key_sha256": "", "services": [""] }),
        Section::Operators => json!({ "name": "", "key_sha256": "" }),
        Section::Policy => json!({
            "routing": "", "placement": "", "moves_weight": 0.5, "link_bytes": 0,
            "load_rate": 1.0, "load_flight": 1, "adapter_flight": 1
        }),
    }
}

/// Returns the template of a section: a list of one blank item, or the policy's single blank item.
pub(crate) fn template_of(section: Section) -> Value {
    match section {
        Section::Policy => blank_item(section),
        _ => Value::Array(vec![blank_item(section)]),
    }
}
