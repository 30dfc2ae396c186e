//! The configuration that the agent works from.

use std::sync::Arc;

use kumquatkeel_types::Revision;
use kumquatkeel_types::document::Document;

/// A configuration in force.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// The revision.
    pub revision: Revision,
    /// The document.
    pub document: Arc<Document>,
}
