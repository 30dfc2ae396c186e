//! The configuration that an agent runs with.

use std::sync::Arc;

use kumquatkeel_types::Revision;
use kumquatkeel_types::document::Document;

/// One revision of the configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// The revision of `document`.
    pub revision: Revision,
    /// The validated document.
    pub document: Arc<Document>,
}
