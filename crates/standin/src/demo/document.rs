//! The demo's document.

use kumquatkeel_types::document::{Fault, RawDocument};
use kumquatkeel_types::jsonc;

/// The document as an operator would write it.
const SAMPLE: &str = include_str!("sample.jsonc");

/// The key of the demo's caller.
pub const CALLER_KEY: &str = "demo-caller-key-0001";
/// The key of the demo's operator.
pub const OPERATOR_KEY: &str = "demo-operator-key-0001";

/// Returns the demo's document, whose agents' addresses stand for ports still to be taken.
///
/// # Errors
///
/// Fails when the document can't be read.
pub fn sample_document() -> Result<RawDocument, Fault> {
    jsonc::parse(SAMPLE)
}
