//! What both daemons share: settings, logs, metrics, HTTP client and the RPC between processes.

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
