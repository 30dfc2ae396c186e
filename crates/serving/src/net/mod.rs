//! Connections to targets and to the platform, and small HTTP servers.

mod abort;
mod connection;
mod pool;
mod serve;

pub use connection::{CallError, Connection, RequestBody, call, open};
pub use pool::{Pool, PoolLimits, PooledConnection};
pub use serve::{ServeOptions, serve_connection, serve_listener};
