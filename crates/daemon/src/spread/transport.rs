//! Polls between daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};
use jsonrpsee::http_client::HttpClient;
use kumquatkeel_types::message::{PollReply, PollRequest};

use crate::http::rpc_client;
use crate::peer::PeerKey;
use crate::rpc::RelayApiClient;

/// Time for a poll beyond the time that it is held back.
const POLL_SLACK: Duration = Duration::from_millis(1_500);

/// Longest time for an RPC of the spread.
const RPC_TIMEOUT: Duration = Duration::from_secs(15);

/// Says why a poll had no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("poll of {peer}: {reason}")]
pub struct PollError {
    /// The relay.
    pub peer: SocketAddr,
    /// The cause.
    pub reason: String,
}

/// Sends polls to relays.
#[async_trait]
pub trait SpreadTransport: Send + Sync {
    /// Polls the relay at `peer`.
    async fn poll(&self, peer: SocketAddr, request: PollRequest) -> Result<PollReply, PollError>;
}

/// Polls by JSON-RPC, with one client for each relay.
#[derive(Debug)]
pub struct RpcTransport {
    key: PeerKey,
    clients: Mutex<BTreeMap<SocketAddr, HttpClient>>,
}

impl RpcTransport {
    /// Makes a transport that proves the peer key.
    pub const fn new(key: PeerKey) -> Self {
        Self {
            key,
            clients: Mutex::new(BTreeMap::new()),
        }
    }

    fn client(&self, peer: SocketAddr) -> Result<HttpClient, PollError> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&peer) {
            return Ok(client.clone());
        }
        let client = rpc_client(peer, &self.key, RPC_TIMEOUT).map_err(|error| PollError {
            peer,
            reason: error.to_string(),
        })?;
        clients.insert(peer, client.clone());
        Ok(client)
    }

    fn forget(&self, peer: SocketAddr) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.remove(&peer);
    }
}

#[async_trait]
impl SpreadTransport for RpcTransport {
    async fn poll(&self, peer: SocketAddr, request: PollRequest) -> Result<PollReply, PollError> {
        let client = self.client(peer)?;
        let limit = Duration::from_millis(request.wait_ms) + POLL_SLACK;
        let answer = tokio::time::timeout(limit, RelayApiClient::poll(&client, request)).await;
        let reason = match answer {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        self.forget(peer);
        Err(PollError { peer, reason })
    }
}
