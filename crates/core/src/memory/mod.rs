//! The agent's account of accelerator memory over all possible worlds.
//!
//! The agent alone commits memory. [`MemoryTracker`] counts what is loading, resident or being unloaded,
//! and an order whose answer was lost as both executed and not executed, until an observation
//! newer than the last moment at which the order may arrive. [`OrderValidator`] decides which orders of
//! the placement lease's holder are taken up at all.
//!
//! ```
//! use kumquatkeel_core::memory::{MemoryTracker, MemorySettings, BeginStep};
//! use kumquatkeel_types::engine::{EngineLoad, EngineOrderReply};
//! use kumquatkeel_types::message::OrderAction;
//! use kumquatkeel_types::{ModelId, Timestamp};
//!
//! let settings = MemorySettings { accelerators: 1, accelerator_mb: 80_000, ..Default::default() };
//! let start = Timestamp::ZERO;
//! let mut account = MemoryTracker::new(settings, start);
//! account.observe(&EngineLoad::default(), Timestamp::from_millis(1), |_| None);
//!
//! let model = ModelId { name: "puzzle-8b".try_into()?, version: "1".try_into()? };
//! let load = OrderAction::Load { model, accelerator: 0 };
//! let now = Timestamp::from_millis(2);
//! let BeginStep::Send { number } = account.begin(&load, Some(60_000), now) else { panic!() };
//! account.settle(number, Some(EngineOrderReply::Done), Timestamp::from_millis(900));
//! assert_eq!(account.committed_mb(), vec![60_000]);
//! # Ok::<(), kumquatkeel_types::NameError>(())
//! ```

mod account;
mod begin;
mod desk;
mod intent;
mod observe;
mod settings;
mod settle;
mod unit;

pub use account::MemoryTracker;
pub use begin::BeginStep;
pub use desk::{OrderCheck, OrderValidator};
pub use intent::{Intent, TargetRecord, action_memory_mb};
pub use settings::MemorySettings;
pub use settle::OrderOutcome;
pub use unit::AllocationId;
