//! `check FILE`: validates a configuration.

use std::path::Path;

use kumquatkeel::types::document::{Document, Faults, RawDocument};
use kumquatkeel::types::jsonc;

use crate::error::CommandError;

/// Validates the configuration and prints how many items of each kind it holds.
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

/// Reads a configuration file (JSON with comments) and validates it.
pub(super) fn read_document(file: &Path) -> Result<Document, CommandError> {
    let bytes = std::fs::read(file).map_err(|source| CommandError::File {
        step: "reading",
        path: file.into(),
        source,
    })?;
    let raw = jsonc::parse_bytes::<RawDocument>(bytes).map_err(Faults::from)?;
    Ok(Document::try_from(raw)?)
}
