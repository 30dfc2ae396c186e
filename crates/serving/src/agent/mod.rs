//! The agent that runs beside an engine: polls its state, sends it orders and plans placement.
//!
//! Only the agent beside an engine sends orders to it, so an engine never has two controllers. Any
//! agent may become the planner; two planners at the same time may waste loads but can't violate
//! safety.

mod accounts;
mod admission;
mod daemon;
mod leaving;
mod list_relay;
mod origins;
mod peers;
mod permits;
mod planning;
mod quarantine;
mod verdicts;

pub use daemon::{Agent, AgentSettings};
