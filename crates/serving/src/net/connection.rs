//! One HTTP/1.1 connection to a peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use super::abort::{AbortStream, Busy};

/// The body of a request to a peer.
pub type RequestBody = Full<Bytes>;

/// Bytes in flight that a silent peer may leave unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first keep-alive probe, and the pause between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Largest head of an answer, in bytes.
const HEAD_BYTES: usize = 64 * 1024;
/// Largest body of an answer that is read as a whole, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why a call brought no answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection could be made.
    #[display("connect: {_0}")]
    Connect(#[error(not(source))] io::Error),
    /// The connection ended before the request was written.
    #[display("the connection closed before the request was sent")]
    NotSent,
    /// The request was written, in part at least, and no answer came.
    #[display("no answer: {_0}")]
    Lost(#[error(not(source))] String),
    /// The time was over.
    #[display("timed out")]
    Timeout,
}

/// A connection that sends one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    busy: Busy,
    /// When it last ended an exchange, or was made.
    pub used: Instant,
    /// Whether it has served an exchange before.
    pub reused: bool,
}

/// Connects to a peer within `limit`.
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
    prepare(&stream).map_err(CallError::Connect)?;
    let mut builder = http1::Builder::new();
    let builder = builder.max_buf_size(HEAD_BYTES);
    let busy = Busy::default();
    let stream = TokioIo::new(AbortStream::new(stream, busy.clone()));
    let (sender, driver) =
        (builder.handshake(stream).await).map_err(|e| CallError::Lost(e.to_string()))?;
    tokio::spawn(async move {
        // The exchange that was in progress sees the same error.
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        busy,
        used: Instant::now(),
        reused: false,
    })
}

/// Sets what a silent or vanished peer needs.
pub(super) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE);
    socket.set_tcp_keepalive(&keepalive.with_retries(2))
}

impl Connection {
    /// Says whether the connection can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Notes that an exchange is over and its answer has been read whole.
    pub fn finish(&mut self) {
        self.busy.set(false);
        self.used = Instant::now();
        self.reused = true;
    }

    /// Sends a request and waits for the head of its answer until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have been read.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, CallError> {
        self.busy.set(true);
        let sent = async {
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
        timeout_at(deadline, sent)
            .await
            .unwrap_or(Err(CallError::Timeout))
    }
}

/// Makes one call on a kept or new connection and reads the whole answer.
///
/// `slot` keeps the connection between calls.
///
/// # Errors
///
/// Returns an error when no whole answer came in time.
pub async fn call(
    slot: &mut Option<Connection>,
    address: SocketAddr,
    request: Request<RequestBody>,
    limit: Duration,
) -> Result<Response<Bytes>, CallError> {
    let deadline = Instant::now() + limit;
    let mut connection = match slot.take().filter(Connection::is_ready) {
        Some(connection) => connection,
        None => open(address, limit).await?,
    };
    let response = connection.send(request, deadline).await?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let body = match timeout_at(deadline, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return Err(CallError::Lost(error.to_string())),
        Err(_) => return Err(CallError::Timeout),
    };
    connection.finish();
    *slot = Some(connection);
    Ok(Response::from_parts(parts, body))
}
