//! Domain types, the checked document and the messages between the system's processes.
//!
//! Nothing here does IO. Raw input is turned into checked types by `TryFrom`, and every fault is
//! reported with the path of the field at which it arose.
//!
//! ```
//! use kumquatkeel_types::ModelName;
//!
//! let name = ModelName::try_from("puzzle-8b")?;
//! assert_eq!(name.as_str(), "puzzle-8b");
//! # Ok::<(), kumquatkeel_types::NameError>(())
//! ```

pub mod digest;
pub mod document;
pub mod engine;
pub mod jsonc;
pub mod message;
pub mod operator;
pub mod secret;

mod ids;
mod name;
mod outcome;
mod time;

pub use ids::{AttemptId, Epoch, Incarnation, ModelId, RequestId, Revision};
pub use name::{
    AdapterName, CallerName, DataCentreName, DeploymentName, EntryName, IdempotencyKey,
    InstanceName, MAX_NAME_BYTES, ModelName, ModelVersion, NameError, RegionName, ServiceName,
    TargetName,
};
pub use outcome::{ErrorBody, ErrorCode, Outcome};
pub use time::Timestamp;
