//! Kept connections to one target.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::connection::{CallError, Connection, open};

/// When kept connections are used no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Longest idle time of a connection for requests that may be repeated.
    pub idle: Duration,
    /// Longest idle time of a connection for requests that must not be repeated.
    pub careful_idle: Duration,
    /// Longest time for a new connection.
    pub connect: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(10),
            careful_idle: Duration::from_secs(8),
            connect: Duration::from_millis(400),
        }
    }
}

/// Kept connections to one address, the last used first.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limits: PoolLimits,
    idle: Mutex<Vec<Connection>>,
}

/// A connection taken from a pool.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    pool: Arc<Pool>,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(address: SocketAddr, limits: PoolLimits) -> Self {
        Self {
            address,
            limits,
            idle: Mutex::default(),
        }
    }

    /// Says whether a kept connection is likely to be there.
    pub fn has_idle(&self) -> bool {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.last()
            .is_some_and(|c| c.is_ready() && c.used.elapsed() <= self.limits.careful_idle)
    }

    /// Takes the last used connection that is still fresh.
    pub fn take(self: &Arc<Self>, careful: bool) -> Option<PooledConnection> {
        let limit = if careful {
            self.limits.careful_idle
        } else {
            self.limits.idle
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(connection) = idle.pop() {
            if connection.is_ready() && connection.used.elapsed() <= limit {
                let pool = self.clone();
                return Some(PooledConnection { connection, pool });
            }
        }
        None
    }

    /// Makes a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection could be made in time.
    pub async fn connect(self: &Arc<Self>, limit: Duration) -> Result<PooledConnection, CallError> {
        let connection = open(self.address, limit.min(self.limits.connect)).await?;
        let pool = self.clone();
        Ok(PooledConnection { connection, pool })
    }

    /// Drops connections that have been idle for too long.
    pub fn prune(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|c| c.is_ready() && c.used.elapsed() <= self.limits.idle);
    }
}

impl PooledConnection {
    /// Keeps the connection for a later request; its answer has been read whole.
    pub fn release(mut self) {
        self.connection.finish();
        let mut idle = self
            .pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        idle.push(self.connection);
    }
}
