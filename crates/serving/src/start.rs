//! What the daemons have in common at their start.

use std::fmt::Display;
use std::net::SocketAddr;

use derive_more::{Display, Error};

use crate::gossip::GossipSocket;
use crate::metrics::Instruments;

/// Says which step of a daemon's start failed, and at which address.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("start: {step} at {address}: {reason}")]
pub struct StartError {
    /// The step.
    pub step: &'static str,
    /// The address that the step is about.
    pub address: SocketAddr,
    /// The cause.
    pub reason: String,
}

impl StartError {
    /// Returns a function that turns a cause into an error of a step.
    pub fn at<E: Display>(step: &'static str, address: SocketAddr) -> impl FnOnce(E) -> Self {
        move |cause| Self {
            step,
            address,
            reason: cause.to_string(),
        }
    }
}

/// Makes the instruments and serves them at an address, if there is one.
///
/// # Errors
///
/// Returns an error when the exporter can't be set up or the address can't be bound.
pub async fn start_metrics(address: Option<SocketAddr>) -> Result<Instruments, StartError> {
    let shown = address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
    let instruments = Instruments::start().map_err(StartError::at("set up metrics", shown))?;
    if let Some(address) = address {
        let bound = instruments.serve(address).await;
        bound.map_err(StartError::at("bind the metrics address", address))?;
    }
    Ok(instruments)
}

/// Binds the socket for datagrams; returns it with its address, whose port the system may have
/// chosen.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn bind_gossip(address: SocketAddr) -> Result<(GossipSocket, SocketAddr), StartError> {
    const STEP: &str = "bind the datagram address";
    let gossip = GossipSocket::bind(address).await;
    let gossip = gossip.map_err(StartError::at(STEP, address))?;
    let bound = gossip.address().map_err(StartError::at(STEP, address))?;
    Ok((gossip, bound))
}
