//! Domain types, the configuration document and the messages between the system's processes.
//!
//! The crate does no I/O. Raw input is converted to validated types by `TryFrom`, and each fault of
//! a document is reported with the path of its field.
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
