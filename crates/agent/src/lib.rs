//! The agent daemon: admission control in front of one target.
//!
//! Each target has one agent. The agent admits attempts, runs each at most once, checks that an
//! engine's stream answers its own attempt, fences attempts that entries have abandoned, tracks
//! accelerator memory, and is the only sender of orders to its engine.
//!
//! | path | purpose |
//! |---|---|
//! | `POST /v1/attempts` | a `Dispatch` as JSON; answers with `AttemptEvent`s as JSON lines |
//! | `/rpc` | probe, fence, order and status, as JSON-RPC |
//!
//! ```no_run
//! use kumquatkeel_agent::daemon::AgentDaemon;
//! use kumquatkeel_agent::{AgentSettings, RawAgentSettings};
//! use kumquatkeel_daemon::settings::load_settings;
//!
//! # async fn run() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = load_settings::<RawAgentSettings, AgentSettings>("agent.jsonc")?;
//! let daemon = AgentDaemon::start(settings).await?;
//! daemon.shutdown().await;
//! # Ok(())
//! # }
//! ```

pub mod daemon;

mod agent;
mod agent_core;
mod api;
mod attempt;
mod background;
mod check;
mod configuration;
mod control;
mod engine;
mod error;
mod events;
mod hints;
mod orders;
mod plain;
mod record;
mod run;
mod settings;
mod shared;
mod telemetry;

pub use agent::{Agent, AgentHandle, AgentParts};
pub use configuration::Configuration;
pub use control::AgentControl;
pub use error::{AgentError, TargetError};
pub use hints::{NoHints, PeerHints, ViewHints};
pub use settings::{AgentLimits, AgentSettings, RawAgentLimits, RawAgentSettings};
