//! The platform as the system sees it: a store of versioned objects and a list of instances.
//!
//! The traits are the border: daemons use the HTTP client, tests a stand-in in memory.

mod error;
mod instance;
mod object;

pub mod wire;

pub use error::{StoreError, StoreFault};
pub use instance::{InstanceList, InstanceRecord, InstanceState};
pub use object::{
    Object, ObjectKey, ObjectStore, ObjectVersion, Precondition, WatchReply, WriteId,
};
