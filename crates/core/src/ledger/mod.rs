//! The ledger of calls that must run at most once, kept in the platform's store.
//!
//! An entry claims a call by its idempotency key before it sends the call to a target, and records
//! the outcome afterwards. The keys are hashed into [`PARTITIONS`] partitions. Each [`Partition`]
//! is one object of the store and changes only through conditional updates; safety rests on these
//! alone. [`Batcher`] combines queued operations into one update. Which process does this for a
//! partition affects cost, not safety. [`resolve_held`] and [`resolve_fence`] decide what happens
//! to a call that another attempt has claimed.
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
mod limiter;
mod operation;
mod partition;
mod record;
mod settle;
mod time;

pub use batch::{BatchReply, BatchStep, BatchWrite, Batcher, ReadOutcome, Ticket, WriteOutcome};
pub use key::{LedgerKey, PARTITIONS, PartitionId};
pub use limiter::WriteRateLimiter;
pub use operation::{OpAnswer, Operation, example_call};
pub use partition::{KEY_AGE_LIMIT, Partition};
pub use record::{Call, CallOutcome, Claim, LedgerRecord, MAX_BODY_BYTES};
pub use settle::{ClaimHolder, HeldStep, resolve_fence, resolve_held};
pub use time::WallTime;
