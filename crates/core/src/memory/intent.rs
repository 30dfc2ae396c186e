//! Orders written to the store before they are sent, for the agent's next life.

use kumquatkeel_types::Incarnation;
use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::OrderAction;
use serde::{Deserialize, Serialize};

/// An order that may be executed from now on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// What was ordered.
    pub action: OrderAction,
    /// Memory that a load takes, in megabytes.
    pub mb: u32,
}

/// The object that an agent keeps in the store under `agents/<target>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRecord {
    /// The life that holds the target; only it may send orders.
    pub incarnation: Incarnation,
    /// Orders that may still be executed.
    pub intents: Vec<Intent>,
}

/// Returns the memory that an action adds or frees, in megabytes; none when the document does not
/// know the model or adapter.
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
