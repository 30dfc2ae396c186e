//! A pool of idle connections to one target.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::connection::{CallError, Connection, open};

/// The time limits of a connection pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Longest idle time of a connection for an idempotent request.
    pub idle: Duration,
    /// Longest idle time of a connection for a request that must not be repeated.
    pub nonidempotent_idle: Duration,
    /// Longest time to open a connection.
    pub connect: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(10),
            nonidempotent_idle: Duration::from_secs(8),
            connect: Duration::from_millis(400),
        }
    }
}

/// Idle connections to one address; the most recently used is taken first.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limits: PoolLimits,
    idle: Mutex<Vec<Connection>>,
}

/// A connection taken from a pool, or opened for it.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    pool: Arc<Pool>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr, limits: PoolLimits) -> Self {
        Self {
            address,
            limits,
            idle: Mutex::default(),
        }
    }

    /// Returns whether [`Pool::take`] is likely to find a connection for any request.
    pub fn has_idle(&self) -> bool {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.last().is_some_and(|c| {
            c.is_ready() && c.last_used.elapsed() <= self.limits.nonidempotent_idle
        })
    }

    /// Takes the most recently used connection that is open and within the limit on idle time;
    /// `None` if there is none.
    pub fn take(self: &Arc<Self>, nonidempotent: bool) -> Option<PooledConnection> {
        let limit = if nonidempotent {
            self.limits.nonidempotent_idle
        } else {
            self.limits.idle
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(connection) = idle.pop() {
            if connection.is_ready() && connection.last_used.elapsed() <= limit {
                let pool = self.clone();
                return Some(PooledConnection { connection, pool });
            }
        }
        None
    }

    /// Opens a connection within `limit` and the pool's own limit.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection could be made in time.
    pub async fn connect(self: &Arc<Self>, limit: Duration) -> Result<PooledConnection, CallError> {
        let connection = open(self.address, limit.min(self.limits.connect)).await?;
        let pool = self.clone();
        Ok(PooledConnection { connection, pool })
    }

    /// Drops connections that are closed or have been idle for too long.
    pub fn prune(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|c| c.is_ready() && c.last_used.elapsed() <= self.limits.idle);
    }
}

impl PooledConnection {
    /// Returns the connection to the pool. Call it only once the whole response has been read.
    pub fn release(mut self) {
        self.connection.finish();
        self.release_unused();
    }

    /// Closes the connection. Call it only once the whole response has been read; one that is dropped
    /// earlier is reset.
    pub fn close(mut self) {
        self.connection.finish();
    }

    /// Returns the connection to the pool, over which no request has been sent since it was taken.
    pub fn release_unused(self) {
        let mut idle = self
            .pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        idle.push(self.connection);
    }
}
