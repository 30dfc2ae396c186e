//! Where a stream began.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The service and software version whose target sent the first event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StreamOrigin {
    /// The service.
    pub service: Arc<str>,
    /// The version of the target's software.
    pub version: Arc<str>,
}
