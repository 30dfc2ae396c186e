//! The platform's list of instances, which lags and is only a hint.

use async_trait::async_trait;
use kumquatkeel_types::{DataCentreName, InstanceName};
use serde::{Deserialize, Serialize};

use crate::StoreError;

/// Whether the platform keeps an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance will be taken away.
    Leaving,
}

/// One instance of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The platform's name of the instance.
    pub name: InstanceName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Whether it stays.
    pub state: InstanceState,
}

/// The platform's list of instances.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    async fn instances(&self) -> Result<Vec<InstanceRecord>, StoreError>;
}
