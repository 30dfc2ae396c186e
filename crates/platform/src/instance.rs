//! The platform's list of instances.
//!
//! The list lags behind the instances' real state and must only be used as a hint.

use async_trait::async_trait;
use kumquatkeel_types::{DataCentreName, InstanceName};
use serde::{Deserialize, Serialize};

use crate::StoreError;

/// Lifecycle state of an instance at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance runs and is to stay.
    Live,
    /// The platform is about to remove the instance.
    Leaving,
}

/// Entry of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name that the platform gave to the instance.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Lifecycle state of the instance.
    pub state: InstanceState,
}

/// The platform's list of instances.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached or answers with an unexpected status or body.
    async fn instances(&self) -> Result<Vec<InstanceRecord>, StoreError>;
}
