//! The entry daemon: caller API, routing, admission, retries, bookings, control leases, console.
//!
//! [`Entry::start`] runs one entry inside the caller's runtime; the program `kumquatkeel-entry` is
//! a thin shell around it. A request passes [`api`] (checks and formats), [`admission`] (the gate
//! of its service) and [`path`] (attempts on targets). Decisions are taken in `kumquatkeel-core`.

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
mod measure;
mod settings;
mod shares;
mod state;

pub use entry::{Entry, EntryError, EntryHandle, EntryParts};
pub use settings::{EntrySettings, RawEntrySettings};
pub use state::EntryState;
