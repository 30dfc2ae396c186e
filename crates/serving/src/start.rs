//! Start-up steps shared by the daemons.

use std::fmt::Display;
use std::net::SocketAddr;

use derive_more::{Display, Error};
use tokio::net::TcpListener;

use crate::gossip::GossipSocket;
use crate::metrics::Instruments;

/// A failed step of a daemon's start.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("start: {step} at {address}: {reason}")]
pub struct StartError {
    /// The step, such as `bind the metrics address`.
    pub step: &'static str,
    /// The address that the step was to use.
    pub address: SocketAddr,
    /// The cause, as text.
    pub reason: String,
}

impl StartError {
    /// Returns a function for `map_err` that turns a cause into an error of this step.
    pub fn at<E: Display>(step: &'static str, address: SocketAddr) -> impl FnOnce(E) -> Self {
        move |cause| Self {
            step,
            address,
            reason: cause.to_string(),
        }
    }
}

/// Creates the metric instruments and serves them if an address is given.
///
/// # Errors
///
/// Returns an error when the exporter can't be set up or the address can't be bound.
pub async fn start_metrics(address: Option<SocketAddr>) -> Result<Instruments, StartError> {
    let label = address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
    let instruments = Instruments::start().map_err(StartError::at("set up metrics", label))?;
    if let Some(address) = address {
        let result = instruments.serve(address).await;
        result.map_err(StartError::at("bind the metrics address", address))?;
    }
    Ok(instruments)
}

/// Binds the socket for datagrams; returns it with its bound address, whose port the system chooses
/// if `address` has port 0.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn bind_gossip(address: SocketAddr) -> Result<(GossipSocket, SocketAddr), StartError> {
    const STEP: &str = "bind the datagram address";
    let socket = GossipSocket::bind(address).await;
    let socket = socket.map_err(StartError::at(STEP, address))?;
    let bound = socket.address().map_err(StartError::at(STEP, address))?;
    Ok((socket, bound))
}

/// Attempts to find a port that is free for both datagrams and connections.
const PORT_ATTEMPTS: usize = 16;

/// Binds the socket for datagrams as [`bind_gossip`] does, and a listener at the same port.
///
/// # Errors
///
/// Returns an error when the address can't be bound for both.
pub async fn bind_internal(
    address: SocketAddr,
) -> Result<(GossipSocket, TcpListener, SocketAddr), StartError> {
    const STEP: &str = "bind the address for followers";
    let mut attempts = PORT_ATTEMPTS;
    loop {
        let (socket, bound) = bind_gossip(address).await?;
        match TcpListener::bind(bound).await {
            Ok(listener) => return Ok((socket, listener, bound)),
            // The system chose a port that is free for datagrams only.
            Err(error) if address.port() == 0 && attempts > 1 => {
                log::debug!(address:% = bound, error:%; "port in use; trying another");
                attempts -= 1;
            }
            Err(error) => return Err(StartError::at(STEP, bound)(error)),
        }
    }
}
