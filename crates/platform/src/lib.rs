//! Clients of the platform: a store of versioned objects and a list of instances.
//!
//! The rest of the workspace uses the traits [`ObjectStore`] and [`InstanceList`]. Daemons run with
//! the HTTP clients, tests with in-memory implementations.

mod count;
mod error;
mod http;
mod instance;
mod object;
mod put;
mod write_ids;

pub mod wire;

pub use count::{CallCounts, CallKind, CallTotals};
pub use error::{StoreError, StoreFault};
pub use http::{HttpInstanceList, HttpObjectStore, HttpOptions};
pub use instance::{InstanceList, InstanceRecord, InstanceState};
pub use object::{
    Object, ObjectKey, ObjectStore, ObjectVersion, Precondition, WatchReply, WriteId,
};
pub use put::{PutOutcome, put_resolved};
pub use write_ids::WriteIdGenerator;
