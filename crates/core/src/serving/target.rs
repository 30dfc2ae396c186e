//! A target as the platform lists it.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::incarnation::Incarnation;

/// The platform's id of a target, under which it may start again.
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

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Accepts new work.
    Ready,
    /// Finishes the work that it has and then stops.
    Leaving,
}

/// A target as the platform lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Target {
    /// The target's id.
    pub id: TargetId,
    /// The service to which the target belongs.
    pub service: Arc<str>,
    /// The version of the target's software; empty if not stated.
    pub version: Arc<str>,
    /// The address at which the target listens.
    pub address: SocketAddr,
    /// The data centre in which the target runs.
    pub data_centre: Arc<str>,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Whether the target accepts new work.
    pub state: TargetState,
    /// Start of this incarnation, in Unix milliseconds; 0 if not stated.
    pub born: u64,
    /// The models that the target held when the list was written.
    pub models: Vec<Arc<str>>,
}

impl Target {
    /// Returns the incarnation that the list shows.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }
}
