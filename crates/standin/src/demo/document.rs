//! The demo's document.

use kumquatkeel_types::NameError;
use kumquatkeel_types::document::{Fault, RawDocument};
use kumquatkeel_types::jsonc;

use super::DemoError;
use crate::fleet::{EntryPlan, FleetPlan};

/// The document as an operator would write it.
const SAMPLE: &str = include_str!("sample.jsonc");

/// The entries, each with its data centre.
const ENTRIES: [(&str, &str); 2] = [("entry-amman-a", "amman-a"), ("entry-irbid-a", "irbid-a")];

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

/// Returns the demo's fleet: its document and two entries.
///
/// # Errors
///
/// Fails when the document can't be read.
pub fn sample_plan() -> Result<FleetPlan, DemoError> {
    let plan = |(name, centre): (&str, &str)| -> Result<EntryPlan, NameError> {
        Ok(EntryPlan {
            name: name.try_into()?,
            data_centre: centre.try_into()?,
        })
    };
    let entries = ENTRIES.into_iter().map(plan).collect::<Result<_, _>>()?;
    let document = sample_document()?;
    Ok(FleetPlan { document, entries })
}
