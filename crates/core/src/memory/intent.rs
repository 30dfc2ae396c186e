//! Write-ahead intents: orders stored before they are sent, for the agent's next incarnation.

use kumquatkeel_types::Incarnation;
use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::OrderAction;
use serde::{Deserialize, Serialize};

/// An order that the engine may execute once the intent is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The load or unload that was ordered.
    pub action: OrderAction,
    /// Memory of the replica or adapter, in megabytes.
    pub mb: u32,
}

/// The object that an agent keeps in the store under the key `agents/<target>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRecord {
    /// The agent incarnation that owns the target; only this one may send orders.
    pub incarnation: Incarnation,
    /// Orders that may still be executed.
    pub intents: Vec<Intent>,
}

/// Returns the memory that an action takes or frees, in megabytes, or `None` if the document does
/// not define the model or adapter.
pub fn action_memory_mb(document: &Document, action: &OrderAction) -> Option<u32> {
    match action {
        OrderAction::Load { model, .. } | OrderAction::Unload { model, .. } => {
            Some(document.model(model)?.replica_mb())
        }
        OrderAction::LoadAdapter { adapter, model, .. }
        | OrderAction::UnloadAdapter { adapter, model, .. } => {
            let adapter = document.adapter(adapter)?;
            (adapter.model == model.name).then_some(adapter.memory_mb)
        }
    }
}
