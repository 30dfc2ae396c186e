//! Serving HTTP/1.1 connections.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER: usize = 8 * 1024;
/// Longest idle time of a connection to a small server.
const SMALL_IDLE: Duration = Duration::from_secs(30);

/// What a caller's connection may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServeOptions {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Longest time from the end of an answer to the next request's head.
    pub idle: Duration,
}

/// Serves one connection until it closes, or until `closing` turns true and it is idle.
pub async fn serve_connection<S, B>(
    stream: TcpStream,
    options: ServeOptions,
    service: S,
    mut closing: watch::Receiver<bool>,
) where
    S: hyper::service::HttpService<Incoming, ResBody = B, Error = io::Error>,
    S::Future: 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = super::connection::prepare(&stream) {
        log::debug!(error:%; "socket options refused");
    }
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(options.idle)
        .max_buf_size(options.header_bytes.max(MIN_BUFFER))
        .auto_date_header(false);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        result = connection.as_mut() => {
            log_end(result);
            return;
        }
        _ = closing.wait_for(|closing| *closing) => connection.as_mut().graceful_shutdown(),
    }
    log_end(connection.await);
}

fn log_end(result: hyper::Result<()>) {
    if let Err(error) = result {
        log::debug!(error:%; "caller connection ended");
    }
}

/// Serves short answers on a listener for as long as the process runs.
pub async fn serve_listener<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request<Incoming>, SocketAddr) -> Response<Full<Bytes>> + Clone + Send + Sync + 'static,
{
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(step = "accept", error:%; "listener failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = answer(&request, peer);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(SMALL_IDLE)
                .serve_connection(TokioIo::new(stream), service);
            log_end(connection.await);
        });
    }
}
