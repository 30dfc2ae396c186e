//! HTTP server for the system's own processes.
//!
//! It serves JSON-RPC at `/rpc`, metrics at `/metrics` and liveness at `/healthz`; other paths go
//! to the daemon's own routes. All but metrics and liveness need the peer key, which is checked
//! before the body is read.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use jsonrpsee::Methods;
use jsonrpsee::server::{
    Server, ServerConfig, ServerHandle, StopHandle, TowerServiceBuilder, stop_channel,
};
use log::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::ServiceExt;
use tower::layer::util::Identity;

use crate::metrics::{METRICS_CONTENT_TYPE, Metrics};
use crate::peer::PeerKey;

/// Error of reading a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of a response.
pub type Body = BoxBody<Bytes, BodyError>;

/// Most connections open at a time.
const MAX_CONNECTIONS: usize = 4_096;
/// Largest JSON-RPC message, in bytes.
const MAX_RPC_BYTES: u32 = 4 << 20;
/// Longest time that a peer may take to send a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Longest time that a connection stays open after the stop of its server, whatever its peer does.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before the next accept after a failed one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Routes of a daemon besides JSON-RPC, metrics and liveness.
#[async_trait]
pub trait Routes: Send + Sync {
    /// Answers a request whose peer key has been verified.
    async fn handle(&self, request: Request<Incoming>) -> Response<Body>;
}

/// [`Routes`] of a daemon that has none; every path is not found.
#[derive(Debug, Clone, Copy)]
pub struct NoRoutes;

#[async_trait]
impl Routes for NoRoutes {
    async fn handle(&self, _request: Request<Incoming>) -> Response<Body> {
        status_only(StatusCode::NOT_FOUND)
    }
}

/// Creates a body from its full content.
pub fn full_body(content: impl Into<Bytes>) -> Body {
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates a response with a status and an empty body.
pub fn status_only(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// A running server; dropping it stops accepting connections.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    stop: CancellationToken,
    rpc: ServerHandle,
    tasks: TaskTracker,
}

/// State shared by all connections of a server.
struct Shared {
    key: PeerKey,
    metrics: Metrics,
    methods: Methods,
    routes: Arc<dyn Routes>,
    rpc: TowerServiceBuilder<Identity, Identity>,
    rpc_stop: StopHandle,
}

impl PeerServer {
    /// Starts listening on `listen`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn start(
        listen: SocketAddr,
        key: PeerKey,
        metrics: Metrics,
        methods: impl Into<Methods>,
        routes: Arc<dyn Routes>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        Self::start_on(listener, key, metrics, methods, routes)
    }

    /// Starts on a bound listener, for callers that need the address before.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener's address can't be read.
    pub fn start_on(
        listener: TcpListener,
        key: PeerKey,
        metrics: Metrics,
        methods: impl Into<Methods>,
        routes: Arc<dyn Routes>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (rpc_stop, rpc) = stop_channel();
        let config = ServerConfig::builder()
            .http_only()
            .max_request_body_size(MAX_RPC_BYTES)
            .max_response_body_size(MAX_RPC_BYTES)
            .max_connections(u32::MAX)
            .build();
        let service = Server::builder().set_config(config).to_service_builder();
        let methods = methods.into();
        let shared = Arc::new(Shared {
            key,
            metrics,
            methods,
            routes,
            rpc: service,
            rpc_stop,
        });
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(accept_loop(listener, shared, stop.clone(), tasks.clone()));
        Ok(Self {
            address,
            stop,
            rpc,
            tasks,
        })
    }

    /// Returns the address that the listener is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and returns when all connections have ended.
    ///
    /// Running requests may end within five seconds; then their connections are closed.
    pub async fn stop(&self) {
        self.stop.cancel();
        let _ = self.rpc.stop();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept_loop(
    listener: TcpListener,
    shared: Arc<Shared>,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                let connection = serve_connection(stream, peer, shared.clone(), stop.clone());
                tasks.spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Err(error) => {
                warn!(target: "server", "server: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(answer(&shared, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            let Ok(ended) = timeout(STOP_TIMEOUT, connection).await else {
                warn!(target: "server", "server: connection from {peer} cut off at the stop");
                return;
            };
            ended
        }
    };
    if let Err(error) = ended {
        debug!(target: "server", "server: connection from {peer} failed: {error}");
    }
}

async fn answer(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => return status_only(StatusCode::OK),
        (&Method::GET, "/metrics") => return metrics_page(&shared.metrics),
        _ => {}
    }
    if !shared.key.is_proved_by(request.headers()) {
        return status_only(StatusCode::UNAUTHORIZED);
    }
    if request.uri().path() != "/rpc" {
        return shared.routes.handle(request).await;
    }
    answer_rpc(shared, request).await.unwrap_or_else(|error| {
        warn!(target: "server", "server: JSON-RPC request failed: {error}");
        status_only(StatusCode::INTERNAL_SERVER_ERROR)
    })
}

async fn answer_rpc(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<Response<Body>, BodyError> {
    let service = shared
        .rpc
        .clone()
        .build(shared.methods.clone(), shared.rpc_stop.clone());
    let (head, body) = service.oneshot(request).await?.into_parts();
    let content = body.collect().await?.to_bytes();
    Ok(Response::from_parts(head, full_body(content)))
}

fn metrics_page(metrics: &Metrics) -> Response<Body> {
    match metrics.to_text() {
        Ok(text) => {
            let mut response = Response::new(full_body(text));
            let content_type = http::HeaderValue::from_static(METRICS_CONTENT_TYPE);
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        Err(error) => {
            warn!(target: "server", "server: encoding the metrics failed: {error}");
            status_only(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
