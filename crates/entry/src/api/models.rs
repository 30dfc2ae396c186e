//! The response of `/v1/models`.

use kumquatkeel_types::document::{CallerEntry, Document};
use serde::Serialize;

/// The models and adapters available to a caller.
#[derive(Debug, Serialize)]
pub(super) struct ModelList {
    object: &'static str,
    data: Vec<ModelObject>,
}

/// One model or adapter.
#[derive(Debug, Serialize)]
struct ModelObject {
    id: String,
    object: &'static str,
    owned_by: String,
}

/// Lists the names that the caller may use in the `model` field.
pub(super) fn list_models(document: &Document, caller: &CallerEntry) -> ModelList {
    let mut data = Vec::new();
    for (name, offers) in document.all_offers() {
        let Some(offer) = offers.iter().find(|o| caller.services.contains(&o.service)) else {
            continue;
        };
        data.push(ModelObject {
            id: name.into(),
            object: "model",
            owned_by: offer.service.to_string(),
        });
    }
    ModelList {
        object: "list",
        data,
    }
}
