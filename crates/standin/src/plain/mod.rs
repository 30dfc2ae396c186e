//! Stand-in of a plain service (one that is called over HTTP and runs no model), with fault
//! injection.
//!
//! It records each call that takes effect with its idempotency key, so that tests can detect calls
//! that were executed twice.

mod faults;
mod server;
mod service;

pub use faults::{PlainFault, PlainFaults};
pub use server::PlainServer;
pub use service::{PlainAnswer, PlainCall, PlainError, PlainService};
