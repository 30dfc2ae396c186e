//! The agent's gate before its target: slots, queue, duplicate attempts, fences and drain.
//!
//! [`Gate`] takes each attempt that reaches the agent and says whether it starts now, waits, joins
//! an earlier call with the same idempotency key, or is never run. The shell runs what the gate
//! starts and reports each end with [`Gate::finish`]; what follows from it comes back as
//! [`GateStep`]s.
//!
//! ```
//! use kumquatkeel_core::gate::{Admission, Gate, GateLimits};
//! use kumquatkeel_types::message::{Dispatch, NotRunReason};
//! use kumquatkeel_types::{Incarnation, Timestamp};
//!
//! let mut gate = Gate::new(GateLimits::default(), Incarnation(4));
//! let dispatch: Dispatch = serde_json::from_value(serde_json::json!({
//!     "attempt": { "request": { "entry": "e1", "life": 1, "number": 7 }, "number": 1 },
//!     "incarnation": 4, "service": "chat", "priority": 5,
//!     "deadline_ms": 1000, "first_token_ms": 500,
//!     "work": { "completion": { "model": { "name": "m", "version": "1" }, "adapter": null,
//!         "prompt": "hello", "max_tokens": 4, "seed": 1 } }
//! }))?;
//! // No replica of the model is resident, so the attempt is refused before anything ran.
//! let admission = gate.offer(&dispatch, Timestamp::ZERO);
//! assert!(matches!(admission, Admission::NotRun { reason: NotRunReason::NotResident, .. }));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod admission;
mod answer;
mod floor;
mod keys;
mod lane;
mod limits;
mod offer;
mod queue;
mod record;
mod settle;
mod state;
mod stream;

pub use admission::{Admission, CancelStep, GateStep};
pub use answer::{Ending, PlainAnswer};
pub use lane::{LaneId, LaneOffer};
pub use limits::GateLimits;
pub use state::Gate;
pub use stream::{ChunkStep, StreamCheck, StreamFault};
