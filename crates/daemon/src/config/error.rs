//! Errors of reading and committing the configuration.

use derive_more::{Display, Error, From};
use kumquatkeel_platform::StoreError;
use kumquatkeel_types::document::Faults;

/// Error of reading or committing the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum ConfigError {
    /// The document is invalid; nothing was written.
    #[display("the document has faults:\n{_0}")]
    Invalid(#[error(source)] Faults),
    /// The store failed or refused a request.
    #[display("{_0}")]
    Store(#[error(source)] StoreError),
    /// An object of the configuration can't be decoded, is missing, or does not match its digest.
    #[display("{step}: {key}: {reason}")]
    #[from(skip)]
    Corrupt {
        /// The step that failed.
        step: &'static str,
        /// Key of the object.
        key: String,
        /// What is wrong with the object.
        reason: String,
    },
    /// The reply to a commit was lost, and reading the store did not settle its outcome: the
    /// document may be in force or not.
    #[display("{_0}; the document may have been accepted, read the revision again")]
    #[from(skip)]
    Unresolved(#[error(source)] StoreError),
}

impl ConfigError {
    /// Creates a [`ConfigError::Corrupt`].
    pub(super) fn corrupt(
        step: &'static str,
        key: impl Into<String>,
        reason: impl Into<String>,
    ) -> Self {
        Self::Corrupt {
            step,
            key: key.into(),
            reason: reason.into(),
        }
    }
}
