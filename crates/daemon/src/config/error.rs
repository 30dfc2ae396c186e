//! Errors of the configuration in the store.

use derive_more::{Display, Error, From};
use kumquatkeel_platform::StoreError;
use kumquatkeel_types::document::Faults;

/// Says why the configuration could not be read or committed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum ConfigError {
    /// The document has faults; nothing was written.
    #[display("the document has faults:\n{_0}")]
    Invalid(#[error(source)] Faults),
    /// The store failed.
    #[display("{_0}")]
    Store(#[error(source)] StoreError),
    /// An object of the configuration can't be understood or does not have its digest.
    #[display("{step}: {key}: {reason}")]
    #[from(skip)]
    Corrupt {
        /// The step.
        step: &'static str,
        /// The object's key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The commit's answer was lost and could not be settled: it may be in force or not.
    #[display("{_0}; the document may have been accepted, read the revision again")]
    #[from(skip)]
    Open(#[error(source)] StoreError),
}

impl ConfigError {
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
