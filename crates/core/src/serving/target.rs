//! One target as the platform lists it.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// The platform's id of one incarnation of a target.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(Arc<str>, String, &str)]
#[serde(transparent)]
pub struct TargetId(Arc<str>);

impl TargetId {
    /// Returns the id as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Finishes what it has and leaves.
    Leaving,
}

/// One target as listed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Target {
    /// The incarnation's id.
    pub id: TargetId,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// When this incarnation started, in Unix milliseconds; 0 if not told.
    pub born: u64,
    /// The models that it held when the list was written.
    pub models: Vec<Arc<str>>,
}
