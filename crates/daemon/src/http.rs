//! HTTP client for requests between daemons, and JSON-RPC clients for their peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::header::{AUTHORIZATION, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::ext::on_informational;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use jsonrpsee::http_client::HttpClient;
use kumquatkeel_core::response::Framing;
use tokio::sync::Notify;

use crate::peer::PeerKey;

/// Longest time to connect to a peer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most idle connections kept to one peer.
const IDLE_CONNECTIONS: usize = 64;

/// Error of a request to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at {peer}: {reason}")]
pub struct HttpError {
    /// The step that failed.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Whether no connection was made, so that no byte of the request was sent.
    pub unsent: bool,
    /// Text of the innermost cause.
    pub reason: String,
}

/// Largest head of a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most informational heads before the last one; the HTTP library reads any number of them.
const MAX_INFORMATIONAL: usize = 16;

/// HTTP client with a connection pool, shared by the components of a daemon.
#[derive(Debug, Clone)]
pub struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PeerClient {
    /// Creates a client without connections.
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
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the response once its head has arrived; the body is streamed.
    ///
    /// Dropping the body before its end closes the connection, so that it is never used for
    /// another request.
    ///
    /// # Errors
    ///
    /// Returns an error whose `unsent` says whether the request was certainly not sent.
    pub async fn send(
        &self,
        step: &'static str,
        peer: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let too_many = Arc::new(Notify::new());
        let (count, notify) = (AtomicUsize::new(0), too_many.clone());
        on_informational(&mut request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
                notify.notify_one();
            }
        });
        tokio::select! {
            // Dropping the call closes its connection.
            () = too_many.notified() => Err(HttpError {
                step,
                peer,
                unsent: false,
                reason: "too many informational responses".to_owned(),
            }),
            result = self.client.request(request) => result.map_err(|error| HttpError {
                step,
                peer,
                unsent: error.is_connect(),
                reason: root_cause(&error),
            }),
        }
    }
}

impl Default for PeerClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns how the end of a received response's body is marked.
pub fn framing_of<B: Body>(response: &Response<B>) -> Framing {
    let codings = response.headers().get_all(TRANSFER_ENCODING);
    let last = codings.iter().next_back().and_then(|v| v.to_str().ok());
    let chunked = last
        .and_then(|codings| codings.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
    // An exact size comes from a content length, or from a response that can't have a body.
    if chunked || response.body().size_hint().exact().is_some() {
        Framing::Delimited
    } else {
        Framing::Connection
    }
}

/// Returns the innermost cause of an error.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// Creates a JSON-RPC client for a peer, which authenticates with the peer key.
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
