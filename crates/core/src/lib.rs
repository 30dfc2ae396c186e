//! Decision logic of the system, without I/O.
//!
//! Each module takes its state, an event and the current time, and returns an enum of what to do
//! next. Nothing here opens a socket, spawns a task or reads a clock, and random numbers come from
//! a seeded generator that the caller passes in. The daemons, the tests and the measurement tool
//! all run this same code.

pub mod admission;
pub mod burn;
pub mod demand;
pub mod lease;
pub mod ledger;
pub mod member;
pub mod memory;
pub mod placement;
pub mod plugin;
pub mod quarantine;
pub mod request;
pub mod response;
pub mod retry;
pub mod routing;
pub mod scheduler;
pub mod serving;
pub mod spread;
pub mod store;
