//! Faults found in a document or in a daemon's settings.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A fault in one field of the input.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{}: {reason}", if path.is_empty() { "document" } else { path })]
pub struct Fault {
    /// The path of the field, such as `services[2].deadline_ms`; empty for the whole input.
    pub path: String,
    /// What is wrong with the field.
    pub reason: String,
}

impl Fault {
    /// Creates a fault of the field at `path`.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            reason: reason.into(),
        }
    }
}

/// All faults of one input, in the order in which they were found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Faults(#[error(not(source))] pub Vec<Fault>);

impl Faults {
    /// Adds a fault of the field at `path`.
    pub fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.0.push(Fault::new(path, reason));
    }

    /// Returns whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        Self(vec![fault])
    }
}
