//! Control leases held through conditional updates of an object in the platform's store.
//!
//! Time is never compared between processes. The holder counts from before it sent a renewal, the
//! others from when they first read it, so that the holder's time always ends first. Two
//! processes may still both believe that they hold the lease, for one can be paused between its
//! check and its step: receivers fence by the epoch, which each take-over raises.

mod record;
mod state;
mod step;

pub use record::LeaseRecord;
pub use state::Lease;
pub use step::{ActionKind, LeaseOptions, LeaseRead, LeaseStatus, LeaseStep, LeaseWrite};
