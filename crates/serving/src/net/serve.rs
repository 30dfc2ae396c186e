//! HTTP/1.1 servers: one connection of a caller, and whole listeners for metrics and readiness.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Version};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::abort::{AbortStream, SharedFlag};

/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Pause after a failure to accept a connection, as when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long a new connection may take to its first request when connections are to be closed: the request
/// may have been sent already.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection that [`serve_listener`] accepted.
const LISTENER_IDLE: Duration = Duration::from_secs(30);

/// The limits of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServeOptions {
    /// Largest request head, in bytes; less than 8 KiB counts as 8 KiB.
    pub header_bytes: usize,
    /// Longest time from the end of a response to the end of the next request's head.
    pub idle: Duration,
}

/// Serves one connection until it closes, or until `closing` is true and no request is in progress. A new
/// connection is then kept until its first request has been answered, if that comes soon.
pub async fn serve_connection<S, B>(
    stream: TcpStream,
    options: ServeOptions,
    service: S,
    mut closing: watch::Receiver<bool>,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = io::Error>,
    S::Future: 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = super::connection::set_socket_options(&stream) {
        log::debug!(error:%; "setting socket options failed");
    }
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(options.idle)
        .max_buf_size(options.header_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false);
    // HTTP/1.0 has no chunks: the end of the connection ends the response. Only a reset marks one
    // that broke off, so that the connection is reset unless it ends well; the process may exit first.
    let aborts = SharedFlag::default();
    let started = watch::Sender::new(false);
    let mut has_request = started.subscribe();
    let service = {
        let aborts = aborts.clone();
        service_fn(move |request: Request<Incoming>| {
            started.send_replace(true);
            aborts.set(request.version() < Version::HTTP_11);
            service.call(request)
        })
    };
    let must_close = async move {
        let _ = closing.wait_for(|closing| *closing).await;
        let _ = timeout(
            FIRST_REQUEST_WAIT,
            has_request.wait_for(|has_request| *has_request),
        )
        .await;
    };
    let stream = TokioIo::new(AbortStream::new(stream, aborts.clone()).log_unread());
    let mut connection = pin!(builder.serve_connection(stream, service));
    let ended = tokio::select! {
        // A request that has come is read before the connection is closed as idle.
        biased;
        result = connection.as_mut() => Some(result),
        () = must_close => None,
    };
    let result = if let Some(result) = ended {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        connection.as_mut().await
    };
    if result.is_ok() {
        aborts.set(false);
    }
    log_end(result);
}

fn log_end(result: hyper::Result<()>) {
    if let Err(error) = result {
        log::debug!(error:%; "connection ended with an error");
    }
}

/// Waits for the next connection; logs failures and goes on.
pub(crate) async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                log::warn!(step = "accept", error:%; "accepting a connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts connections and answers each request with `respond`, for as long as the process runs.
pub async fn serve_listener<F>(listener: TcpListener, respond: F)
where
    F: Fn(&Request<Incoming>, SocketAddr) -> Response<Full<Bytes>> + Clone + Send + Sync + 'static,
{
    loop {
        let (stream, peer) = accept(&listener).await;
        let respond = respond.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = respond(&request, peer);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(LISTENER_IDLE)
                .serve_connection(TokioIo::new(stream), service);
            log_end(connection.await);
        });
    }
}
