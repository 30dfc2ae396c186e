//! HTTP server of the engine's stand-in.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Query, RequestContext, UntypedBody, endpoint,
};
use futures::StreamExt;
use http::{Response, StatusCode};
use http_body_util::StreamBody;
use hyper::body::Frame;
use kumquatkeel_types::engine::EngineChunk;
use schemars::JsonSchema;
use serde::Deserialize;
use tokio::sync::mpsc;

use super::{Engine, EngineError};
use crate::http::{StandInError, broken_response, empty, json, parse, respond, serve};

/// Serves an [`Engine`] over the published HTTP interface of the engines.
pub struct EngineServer {
    server: HttpServer<Engine>,
}

impl EngineServer {
    /// Binds `address` and starts to serve; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the server can't bind `address`.
    pub fn start(address: SocketAddr, engine: Engine) -> Result<Self, StandInError> {
        let server = serve("engine", address, api(), engine)?;
        Ok(Self { server })
    }

    /// Returns the address that the server listens on, with the selected port.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Shuts the server down; a failure is logged.
    pub async fn stop(self) {
        if let Err(reason) = self.server.close().await {
            log::warn!(target: "engine", "engine stand-in: shutdown failed: {reason}");
        }
    }
}

type Context = RequestContext<Engine>;
type HttpResult = Result<Response<Body>, HttpError>;

#[derive(Debug, Deserialize, JsonSchema)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

fn api() -> ApiDescription<Engine> {
    let mut api = ApiDescription::new();
    api.register(complete).expect("unique path");
    api.register(cancel).expect("unique path");
    api.register(order).expect("unique path");
    api.register(load).expect("unique path");
    api.register(cache_events).expect("unique path");
    api
}

#[endpoint { method = POST, path = "/v1/completions", unpublished = true }]
async fn complete(context: Context, body: UntypedBody) -> HttpResult {
    let request = parse(body.as_bytes())?;
    match context.context().complete(request).await {
        Ok(chunks) => respond(StatusCode::OK, "text/event-stream", stream(chunks)),
        Err(error) => error_response(error),
    }
}

#[endpoint { method = POST, path = "/v1/cancel", unpublished = true }]
async fn cancel(context: Context, body: UntypedBody) -> HttpResult {
    let cancel = parse(body.as_bytes())?;
    match context.context().cancel(&cancel).await {
        Ok(()) => empty(StatusCode::OK),
        Err(error) => error_response(error),
    }
}

#[endpoint { method = POST, path = "/v1/orders", unpublished = true }]
async fn order(context: Context, body: UntypedBody) -> HttpResult {
    let order = parse(body.as_bytes())?;
    match context.context().order(order).await {
        Ok(reply) => json(StatusCode::OK, &reply),
        Err(error) => error_response(error),
    }
}

#[endpoint { method = GET, path = "/v1/load", unpublished = true }]
async fn load(context: Context) -> HttpResult {
    match context.context().load().await {
        Ok(load) => json(StatusCode::OK, &load),
        Err(error) => error_response(error),
    }
}

#[endpoint { method = GET, path = "/v1/cache_events", unpublished = true }]
async fn cache_events(context: Context, query: Query<EventsQuery>) -> HttpResult {
    let after = query.into_inner().after;
    match context.context().cache_events(after).await {
        Ok(events) => json(StatusCode::OK, &events),
        Err(error) => error_response(error),
    }
}

fn error_response(error: EngineError) -> HttpResult {
    match error {
        EngineError::Lost => broken_response(),
        EngineError::NotResident => empty(StatusCode::NOT_FOUND),
    }
}

/// Streams chunks as server-sent events; `[DONE]` follows only a chunk with a finish reason.
fn stream(chunks: mpsc::Receiver<EngineChunk>) -> Body {
    let events = futures::stream::unfold(chunks, |mut chunks| async {
        let chunk = chunks.recv().await?;
        Some((event(&chunk), chunks))
    });
    Body::wrap(StreamBody::new(
        events.map(|event| Ok::<_, Infallible>(Frame::data(event))),
    ))
}

fn event(chunk: &EngineChunk) -> Bytes {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    let end = if chunk.finish_reason.is_some() {
        "data: [DONE]\n\n"
    } else {
        ""
    };
    Bytes::from(format!("data: {data}\n\n{end}"))
}
