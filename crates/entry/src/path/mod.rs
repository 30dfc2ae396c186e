//! The way of one request to its targets: attempts, probes, fences and the flow between them.

mod agent;
mod attempt;
mod pace;
mod run;
mod watch;

pub use agent::AGENT_TIMEOUT;
pub use run::{AdmittedRequest, FlowOutput, spawn_request};
