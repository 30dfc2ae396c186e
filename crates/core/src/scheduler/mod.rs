//! The agent's attempt scheduler: slots, queue, duplicate detection, fences and drain.
//!
//! [`AttemptScheduler`] is the last check before an agent's target. For each attempt that an entry
//! dispatches, it decides whether the attempt starts at once, waits for a slot, joins an earlier
//! call with the same idempotency key, or is refused as not run. The agent sends started attempts
//! to the target and reports each end with [`AttemptScheduler::finish`]; the attempts that this
//! starts or ends come back as [`SchedulerStep`]s.
//!
//! ```
//! use kumquatkeel_core::scheduler::{Admission, AttemptScheduler, SchedulerLimits};
//! use kumquatkeel_types::message::{Dispatch, NotRunReason};
//! use kumquatkeel_types::{Incarnation, Timestamp};
//!
//! let mut scheduler = AttemptScheduler::new(SchedulerLimits::default(), Incarnation(4));
//! let dispatch: Dispatch = serde_json::from_value(serde_json::json!({
//!     "attempt": { "request": { "entry": "e1", "life": 1, "number": 7 }, "number": 1 },
//!     "incarnation": 4, "service": "chat", "priority": 5,
//!     "deadline_ms": 1000, "first_token_ms": 500,
//!     "work": { "completion": { "model": { "name": "m", "version": "1" }, "adapter": null,
//!         "prompt": "hello", "max_tokens": 4, "seed": 1 } }
//! }))?;
//! // No replica of the model is resident, so the attempt is refused as not run.
//! let admission = scheduler.offer(&dispatch, Timestamp::ZERO);
//! assert!(matches!(admission, Admission::NotRun { reason: NotRunReason::NotResident, .. }));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod admission;
mod answer;
mod finish;
mod keys;
mod limits;
mod offer;
mod pool;
mod queue;
mod record;
mod state;
mod stream;
mod watermark;

pub use admission::{Admission, CancelStep, SchedulerStep};
pub use answer::{Ending, PlainAnswer};
pub use limits::SchedulerLimits;
pub use pool::{PoolCapacity, PoolId};
pub use state::AttemptScheduler;
pub use stream::{ChunkStep, StreamCheck, StreamFault};
