//! The agent daemon: the last gate before a target.
//!
//! It stands beside one target. It admits attempts, runs each at most once, checks that an
//! engine's stream answers its own attempt, fences attempts that entries have given up, accounts
//! for accelerator memory, and is the only issuer of orders to its engine.
//!
//! | path | what |
//! |---|---|
//! | `POST /v1/attempts` | a `Dispatch` as JSON; answered by `AttemptEvent`s, one JSON object a line |
//! | `/rpc` | probe, fence, order and status, as JSON-RPC |
//!
//! ```no_run
//! use kumquatkeel_agent::{Agent, AgentParts, AgentSettings, RawAgentSettings};
//! use kumquatkeel_daemon::{metrics::Metrics, settings::load_settings};
//! use tokio::sync::watch;
//!
//! # async fn run() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = load_settings::<RawAgentSettings, AgentSettings>("agent.jsonc")?;
//! let (_configuration, receiver) = watch::channel(None);
//! let agent = Agent::start(settings, AgentParts::new(receiver, Metrics::start()?)).await?;
//! agent.shutdown().await;
//! # Ok(())
//! # }
//! ```

pub mod daemon;

mod agent;
mod api;
mod attempt;
mod configuration;
mod decisions;
mod engine;
mod error;
mod events;
mod orders;
mod plain;
mod poll;
mod record;
mod run;
mod settings;
mod shared;
mod telemetry;

pub use agent::{Agent, AgentHandle, AgentParts};
pub use configuration::Configuration;
pub use error::{AgentError, TargetError};
pub use settings::{AgentLimits, AgentSettings, RawAgentLimits, RawAgentSettings};
pub use shared::{NoHints, PeerHints};
