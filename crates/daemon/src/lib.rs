//! Code shared by the entry and the agent daemon: settings, logging, metrics, HTTP, RPC between
//! processes, and the distribution of the configuration.

pub mod buffer;
pub mod clock;
pub mod config;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod rpc;
pub mod server;
pub mod settings;
pub mod signal;
pub mod spread;
