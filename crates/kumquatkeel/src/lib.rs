//! Facade library: re-exports the crates that a program needs to embed the system.

pub use kumquatkeel_agent as agent;
pub use kumquatkeel_core as core;
pub use kumquatkeel_daemon as daemon;
pub use kumquatkeel_entry as entry;
pub use kumquatkeel_platform as platform;
pub use kumquatkeel_types as types;
