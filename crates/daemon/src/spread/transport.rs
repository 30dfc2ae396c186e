//! Transport of polls between daemons.

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

/// Time allowed for a poll beyond the time for which the peer may hold it open.
const POLL_SLACK: Duration = Duration::from_millis(1_500);

/// Timeout of the RPC client, longer than any poll.
const RPC_TIMEOUT: Duration = Duration::from_secs(15);

/// A poll that got no reply.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("poll of {peer}: {reason}")]
pub struct PollError {
    /// The address that was polled.
    pub peer: SocketAddr,
    /// Text of the underlying error.
    pub reason: String,
}

/// Sends polls to other daemons.
#[async_trait]
pub trait SpreadTransport: Send + Sync {
    /// Polls the entry at `peer` and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or no reply arrives in time.
    async fn poll(&self, peer: SocketAddr, request: PollRequest) -> Result<PollReply, PollError>;
}

/// Sends polls by JSON-RPC, with one client for each peer.
#[derive(Debug)]
pub struct RpcTransport {
    key: PeerKey,
    clients: Mutex<BTreeMap<SocketAddr, HttpClient>>,
}

impl RpcTransport {
    /// Creates a transport that authenticates with the peer key.
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

    /// Drops the client of a peer, so that the next poll opens a new connection.
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
            Err(_) => "timed out".to_owned(),
        };
        self.forget(peer);
        Err(PollError { peer, reason })
    }
}
