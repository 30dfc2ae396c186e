//! The agent beside an engine: reads its state, gives it orders and plans placement.
//!
//! An agent alone gives orders to its engine, so an engine never has two holders. Any agent may
//! plan; two planners at a time cost loads, never safety.

mod daemon;
mod peers;
mod planning;

pub use daemon::{Agent, AgentSettings};
