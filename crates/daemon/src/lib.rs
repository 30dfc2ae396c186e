//! What both daemons share: settings, logs, metrics, HTTP client and the RPC between processes.

pub mod clock;
pub mod rpc;
