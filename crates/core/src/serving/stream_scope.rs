//! At which targets a stream may begin or go on.
//!
//! What two software versions write doesn't fit together, and targets don't check it.

use std::sync::Arc;

use super::stream_origin::StreamOrigin;

/// The targets of a service at which a stream may begin or go on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum StreamScope {
    /// Any target.
    #[default]
    Any,
    /// Targets of one software version.
    Version(Arc<str>),
    /// No target: the version that began the stream is unknown.
    Nowhere,
}

impl StreamScope {
    /// Decides where a stream that its caller resumes may go on.
    ///
    /// `versions` are all software versions that may have begun it; `None` if not all are known.
    pub fn of_resumed(origin: Option<&StreamOrigin>, versions: Option<&[Arc<str>]>) -> Self {
        match (origin, versions) {
            (Some(origin), _) => Self::Version(origin.version.clone()),
            // A version that is listed from now on did not begin the stream.
            (None, Some([only])) => Self::Version(only.clone()),
            (None, _) => Self::Nowhere,
        }
    }

    /// Returns whether a stream may go on at a target of this software version.
    pub fn admits(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Version(own) => **own == *version,
            Self::Nowhere => false,
        }
    }
}
