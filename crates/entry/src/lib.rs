//! The entry daemon: accepts callers' requests and routes them to targets.
//!
//! [`Entry::start`] runs one entry inside the current Tokio runtime. [`daemon::EntryDaemon`] adds
//! the store, the exchange of state with other processes and the control leases; it is what the
//! program `kumquatkeel-entry` runs.
//!
//! A request passes through [`api`] (authentication, validation and formats), [`admission`] (the
//! queue of its service) and [`path`] (routing, attempts on targets and retries). Calls with an
//! idempotency key are also recorded in the [`ledger`]. The decision logic of these modules, which
//! does no I/O, is in `kumquatkeel-core`. Operators' endpoints and the console are part of [`api`]
//! as well.

pub mod admission;
pub mod api;
pub mod call;
pub mod control;
pub mod daemon;
pub mod demand;
pub mod fleet;
pub mod ledger;
pub mod operator;
pub mod path;
pub mod relay;

mod entry;
mod request_metrics;
mod settings;
mod shares;
mod state;

pub use entry::{Entry, EntryError, EntryHandle, EntryParts};
pub use settings::{EntrySettings, RawEntrySettings};
pub use state::EntryState;
