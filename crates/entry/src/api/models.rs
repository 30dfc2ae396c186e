//! The list of models and adapters.

use kumquatkeel_types::document::{CallerEntry, Document};
use serde::Serialize;

/// The list as callers get it.
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

/// Lists what a caller may put into the `model` field.
pub(super) fn models_of(document: &Document, caller: &CallerEntry) -> ModelList {
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
