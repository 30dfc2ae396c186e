//! A plain service's stand-in, which records every call by its idempotency key.

mod faults;
mod server;
mod service;

pub use faults::{PlainFault, PlainFaults};
pub use server::PlainServer;
pub use service::{PlainAnswer, PlainCall, PlainError, PlainService};
