//! The path of an admitted request: routing, load probes, attempts at targets, retries and fences.
//!
//! The decisions are taken by `RequestFlow` of `kumquatkeel-core`; this module carries them out.

mod agent;
mod attempt;
mod run;
mod time_limit;
mod timing;
mod tracker;

pub use agent::AGENT_TIMEOUT;
pub use run::{AdmittedRequest, FlowOutput, spawn_request};
pub(crate) use time_limit::TimeLimit;
