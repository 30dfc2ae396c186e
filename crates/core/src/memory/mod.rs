//! Worst-case accounting of the accelerator memory behind an agent.
//!
//! Only the agent commits memory of its target. [`MemoryTracker`] counts what is loading, resident
//! or being unloaded. An order whose reply was lost counts as both executed and not executed until
//! the engine reports a load newer than the last moment at which the order may still arrive.
//!
//! An order from the holder of the placement lease passes [`OrderValidator::check`] first, then
//! [`MemoryTracker::begin`], which commits its memory. The agent stores the open orders as
//! [`Intent`]s, sends the order to the engine and hands the reply to [`MemoryTracker::settle`].
//!
//! ```
//! use kumquatkeel_core::memory::{BeginStep, MemorySettings, MemoryTracker};
//! use kumquatkeel_types::engine::{EngineLoad, EngineOrderReply};
//! use kumquatkeel_types::message::OrderAction;
//! use kumquatkeel_types::{ModelId, Timestamp};
//!
//! let settings = MemorySettings { accelerators: 1, accelerator_mb: 80_000, ..Default::default() };
//! let start = Timestamp::ZERO;
//! let mut tracker = MemoryTracker::new(settings, start);
//! tracker.observe(&EngineLoad::default(), Timestamp::from_millis(1), |_| None);
//!
//! let model = ModelId { name: "puzzle-8b".try_into()?, version: "1".try_into()? };
//! let load = OrderAction::Load { model, accelerator: 0 };
//! let now = Timestamp::from_millis(2);
//! let BeginStep::Send { number } = tracker.begin(&load, Some(60_000), now) else { panic!() };
//! tracker.settle(number, Some(EngineOrderReply::Done), Timestamp::from_millis(900));
//! assert_eq!(tracker.committed_mb(), vec![60_000]);
//! # Ok::<(), kumquatkeel_types::NameError>(())
//! ```

mod allocation;
mod begin;
mod intent;
mod observe;
mod settings;
mod settle;
mod tracker;
mod validator;

pub use allocation::AllocationId;
pub use begin::BeginStep;
pub use intent::{Intent, TargetRecord, action_memory_mb};
pub use settings::MemorySettings;
pub use settle::OrderOutcome;
pub use tracker::MemoryTracker;
pub use validator::{OrderCheck, OrderValidator};
