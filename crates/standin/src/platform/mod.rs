//! Stand-in of the platform: an in-memory store of versioned objects and the list of instances,
//! with fault injection.
//!
//! Tests use [`MemoryStore`] directly or over HTTP through [`PlatformServer`]:
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! use kumquatkeel_platform::{ObjectStore, Precondition};
//! use kumquatkeel_standin::platform::{CallFault, CallKind, MemoryStore};
//!
//! let store = MemoryStore::new();
//! store.faults().script(CallKind::Put, 1, CallFault::LostAfter);
//! let put = store
//!     .put(&"a".into(), Precondition::Absent, &"w1".into(), "1".into())
//!     .await;
//! assert!(put.unwrap_err().may_have_written());
//! assert!(store.get(&"a".into()).await.unwrap().is_some());
//! # }
//! ```

mod calls;
mod faults;
mod limiter;
mod server;
mod store;
mod table;

pub use calls::{CallCounts, CallKind};
pub use faults::{CallFault, PlatformFaults};
pub use limiter::TokenBucket;
pub use server::PlatformServer;
pub use store::{MemoryStore, StoreCopy};
