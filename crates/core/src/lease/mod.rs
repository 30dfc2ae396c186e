//! Control leases, held through conditional updates of one object in the platform's store.
//!
//! Clocks of different processes are never compared. The holder counts the lease duration from
//! before it sent a renewal, and the other processes count it from when they first read that
//! renewal, so the lease ends for the holder first. Two processes can still believe that they hold
//! the lease, because one can be paused between its check and its action. Receivers therefore fence
//! by the epoch, which each takeover raises.
//!
//! A store that is restored from a copy shows an earlier record, or none. Epochs therefore start anew
//! above all earlier ones with each era of the store, and the lease is taken only after its duration.

mod record;
mod state;
mod step;

pub use record::LeaseRecord;
pub use state::Lease;
pub use step::{ActionKind, LeaseOptions, LeaseRead, LeaseStatus, LeaseStep, LeaseWrite};
