//! The ledger of calls that run at most once, kept in the platform's store.
//!
//! A call is claimed before it is sent to a target, and its outcome is recorded after. The claims
//! of one part of the keys stand in one object, [`Partition`], which is changed only by
//! conditional updates: safety rests on these alone. [`Batcher`] joins waiting operations into
//! one update. Which process does so for a partition is a matter of cost, not of safety.
//!
//! ```
//! use kumquatkeel_core::ledger::{OpAnswer, Operation, Partition, WallTime, example_call};
//!
//! let mut partition = Partition::default();
//! let now = WallTime::from_millis(1_000);
//! let first = Operation::Claim(example_call("swap-1", 1));
//! assert!(matches!(partition.apply(&first, now), OpAnswer::Claimed(_)));
//! let second = Operation::Claim(example_call("swap-1", 2));
//! assert!(matches!(partition.apply(&second, now), OpAnswer::Held { .. }));
//! ```

mod batch;
mod key;
mod operation;
mod pace;
mod partition;
mod record;
mod settle;
mod time;

pub use batch::{BatchReply, BatchStep, BatchWrite, Batcher, ReadOutcome, Ticket, WriteOutcome};
pub use key::{LedgerKey, PARTITIONS, PartitionId};
pub use operation::{OpAnswer, Operation, example_call};
pub use pace::WriteRateLimiter;
pub use partition::{KEY_AGE_LIMIT, Partition};
pub use record::{Call, CallOutcome, Claim, LedgerRecord, MAX_BODY_BYTES};
pub use settle::{ClaimHolder, HeldStep, resolve_fence, resolve_held};
pub use time::WallTime;
