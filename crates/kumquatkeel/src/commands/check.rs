//! `check FILE`: validates a document.

use std::path::Path;

use kumquatkeel::types::document::{Document, Faults, RawDocument};
use kumquatkeel::types::jsonc;

use crate::error::CommandError;

/// Validates the document and prints its size.
pub(super) fn run(file: &Path) -> Result<(), CommandError> {
    let document = read_document(file)?;
    println!(
        "ok: {} models, {} adapters, {} services, {} deployments, {} targets",
        document.models.len(),
        document.adapters.len(),
        document.services.len(),
        document.deployments.len(),
        document.targets.len(),
    );
    Ok(())
}

/// Reads and checks a document.
pub(super) fn read_document(file: &Path) -> Result<Document, CommandError> {
    let bytes = std::fs::read(file).map_err(|source| CommandError::File {
        step: "reading",
        path: file.into(),
        source,
    })?;
    let raw = jsonc::parse_bytes::<RawDocument>(bytes).map_err(Faults::from)?;
    Ok(Document::try_from(raw)?)
}
