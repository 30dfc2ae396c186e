//! An HTTP/1.1 client connection that sends one request at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use super::abort::{AbortStream, SharedFlag};

/// The body of a request to a peer.
pub type RequestBody = Full<Bytes>;

/// How long sent bytes may stay unacknowledged before the connection fails (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first TCP keep-alive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest head of a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most informational heads before the last one.
const MAX_INFORMATIONAL: usize = 16;
/// Largest response body that [`call`] reads, unless its limits say otherwise.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Why a call brought no response.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection could be made.
    #[display("connect: {_0}")]
    Connect(#[error(not(source))] io::Error),
    /// The connection closed before any byte of the request was sent.
    #[display("the connection closed before the request was sent")]
    NotSent,
    /// The request may have been sent, at least in part, and no complete response came.
    #[display("no answer: {_0}")]
    Lost(#[error(not(source))] String),
    /// The deadline passed before the response came.
    #[display("timed out")]
    Timeout,
    /// The deadline passed while the body was read.
    #[display("timed out after {_0} bytes of the body")]
    Incomplete(#[error(not(source))] usize),
}

/// A connection that sends one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    busy: SharedFlag,
    /// Set when the peer's bytes are of no use, which ends the connection.
    refused: SharedFlag,
    /// When the last exchange ended, or when the connection was opened.
    pub last_used: Instant,
    /// Whether an exchange has already been completed on it.
    pub reused: bool,
}

/// Opens a connection to a peer within `limit`.
///
/// # Errors
///
/// Returns an error when no connection could be made in time.
pub async fn open(address: SocketAddr, limit: Duration) -> Result<Connection, CallError> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(CallError::Connect(error)),
        Err(_) => return Err(CallError::Connect(io::ErrorKind::TimedOut.into())),
    };
    set_socket_options(&stream).map_err(CallError::Connect)?;
    let mut builder = http1::Builder::new();
    let builder = builder.max_buf_size(MAX_HEAD_BYTES);
    let busy = SharedFlag::default();
    let stream = AbortStream::new(stream, busy.clone());
    let refused = stream.refused();
    let stream = TokioIo::new(stream);
    let (sender, driver) =
        (builder.handshake(stream).await).map_err(|e| CallError::Lost(e.to_string()))?;
    tokio::spawn(async move {
        // An exchange in progress receives the same error.
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        busy,
        refused,
        last_used: Instant::now(),
        reused: false,
    })
}

/// Sets the socket options that detect a silent or vanished peer, and disables Nagle's algorithm.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(2))
}

impl Connection {
    /// Returns whether the connection is open and can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Marks the exchange as complete. Call it once the whole response has been read; a connection
    /// that is dropped earlier is reset.
    pub fn finish(&mut self) {
        self.busy.set(false);
        self.last_used = Instant::now();
        self.reused = true;
    }

    /// Ends the connection when too many informational heads answer a request. The HTTP library reads any
    /// number of them.
    fn limit_informational(&self, request: &mut Request<RequestBody>) {
        let (count, refused) = (AtomicUsize::new(0), self.refused.clone());
        on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
                refused.set(true);
            }
        });
    }

    /// Sends a request and waits for the head of its response until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if no byte of the request was sent; after any other error the
    /// peer may have received it.
    pub async fn send(
        &mut self,
        mut request: Request<RequestBody>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, CallError> {
        self.busy.set(true);
        self.limit_informational(&mut request);
        let exchange = async {
            if self.sender.ready().await.is_err() {
                return Err(CallError::NotSent);
            }
            self.sender
                .try_send_request(request)
                .await
                .map_err(|mut e| {
                    if e.take_message().is_some() {
                        CallError::NotSent
                    } else {
                        CallError::Lost(e.into_error().to_string())
                    }
                })
        };
        timeout_at(deadline, exchange)
            .await
            .unwrap_or(Err(CallError::Timeout))
    }
}

/// The time limits of a [`call`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Longest time until the head of the response.
    pub head: Duration,
    /// Longest pause between two parts of the body.
    pub pause: Duration,
    /// Longest time for the whole response.
    pub total: Duration,
    /// Largest body, in bytes.
    pub bytes: usize,
}

impl CallLimits {
    /// Returns limits on the time of the whole response, and the usual one on its body of 8 MiB.
    pub const fn total(limit: Duration) -> Self {
        Self {
            head: limit,
            pause: limit,
            total: limit,
            bytes: MAX_BODY_BYTES,
        }
    }

    /// Sets the size of the largest body.
    #[must_use]
    pub const fn with_bytes(self, bytes: usize) -> Self {
        Self { bytes, ..self }
    }
}

/// Makes one call on the connection in `slot`, or on a new one, and reads the whole response.
///
/// A connection that can take further requests is left in `slot`.
///
/// # Errors
///
/// Returns an error when the response did not come within the limits.
pub async fn call(
    slot: &mut Option<Connection>,
    address: SocketAddr,
    request: Request<RequestBody>,
    limits: CallLimits,
) -> Result<Response<Bytes>, CallError> {
    let started = Instant::now();
    let mut connection = match slot.take().filter(Connection::is_ready) {
        Some(connection) => connection,
        None => open(address, limits.head).await?,
    };
    let response = connection.send(request, started + limits.head).await?;
    let (parts, body) = response.into_parts();
    let body = read_body(body, limits, started + limits.total).await?;
    connection.finish();
    *slot = Some(connection);
    Ok(Response::from_parts(parts, body))
}

/// Reads a body within limits until `end`.
async fn read_body(
    mut body: Incoming,
    limits: CallLimits,
    end: Instant,
) -> Result<Bytes, CallError> {
    let mut received = BytesMut::new();
    loop {
        let deadline = end.min(Instant::now() + limits.pause);
        match timeout_at(deadline, body.frame()).await {
            Err(_) => return Err(CallError::Incomplete(received.len())),
            Ok(None) => return Ok(received.freeze()),
            Ok(Some(Err(error))) => return Err(CallError::Lost(error.to_string())),
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                if received.len() + data.len() > limits.bytes {
                    let reason = format!("the body has more than {} bytes", limits.bytes);
                    return Err(CallError::Lost(reason));
                }
                received.extend_from_slice(&data);
            }
        }
    }
}
