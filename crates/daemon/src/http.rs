//! The HTTP client of the daemons, and the RPC clients of their peers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::header::AUTHORIZATION;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use jsonrpsee::http_client::HttpClient;

use crate::peer::PeerKey;

/// Longest time to connect to a peer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle connections kept to one peer.
const IDLE_CONNECTIONS: usize = 64;

/// A request failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at {peer}: {reason}")]
pub struct HttpError {
    /// The step.
    pub step: &'static str,
    /// The peer.
    pub peer: SocketAddr,
    /// Whether no connection was made, so that no byte of the request was sent.
    pub unsent: bool,
    /// The cause.
    pub reason: String,
}

/// The HTTP client that one daemon shares among its parts.
#[derive(Debug, Clone)]
pub struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PeerClient {
    /// Makes a client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the answer's head; the body follows.
    ///
    /// Dropping the answer's body before its end closes the connection, so that it is never used
    /// for another request.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request was certainly not sent.
    pub async fn send(
        &self,
        step: &'static str,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        self.client
            .request(request)
            .await
            .map_err(|error| HttpError {
                step,
                peer,
                unsent: error.is_connect(),
                reason: cause_of(&error),
            })
    }
}

impl Default for PeerClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the innermost cause of an error.
fn cause_of(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// Makes an RPC client of a peer that proves the peer key.
///
/// # Errors
///
/// Returns an error when the client can't be built.
pub fn rpc_client(
    peer: SocketAddr,
    key: &PeerKey,
    timeout: Duration,
) -> Result<HttpClient, HttpError> {
    let mut headers = HeaderMap::new();
    headers.insert(AUTHORIZATION, key.header());
    HttpClient::builder()
        .set_headers(headers)
        .request_timeout(timeout)
        .connect_timeout(CONNECT_TIMEOUT)
        .set_tcp_no_delay(true)
        .build(format!("http://{peer}/rpc"))
        .map_err(|error| HttpError {
            step: "make an RPC client",
            peer,
            unsent: true,
            reason: error.to_string(),
        })
}
