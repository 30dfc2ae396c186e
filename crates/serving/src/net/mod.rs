//! HTTP/1.1 connections to targets and to the platform, and servers for callers, metrics and
//! readiness.

mod abort;
mod connection;
mod pool;
mod serve;

pub(crate) use connection::set_socket_options;
pub use connection::{CallError, CallLimits, Connection, RequestBody, call, open};
pub use pool::{Pool, PoolLimits, PooledConnection};
pub(crate) use serve::accept;
pub use serve::{ServeOptions, serve_connection, serve_listener};
