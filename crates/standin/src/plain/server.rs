//! HTTP server of the plain service's stand-in.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Path, RequestContext, UntypedBody, endpoint,
};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::Deserialize;

use super::{PlainAnswer, PlainCall, PlainService};
use crate::http::{StandInError, broken_response, respond, serve};

/// Request header that carries the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Serves a [`PlainService`] over HTTP; a POST request on any path is a call.
pub struct PlainServer {
    server: HttpServer<PlainService>,
}

impl PlainServer {
    /// Binds `address` and starts to serve; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the server can't bind `address`.
    pub fn start(address: SocketAddr, service: PlainService) -> Result<Self, StandInError> {
        let mut api = ApiDescription::new();
        api.register(call).expect("unique path");
        let server = serve("plain", address, api, service)?;
        Ok(Self { server })
    }

    /// Returns the address that the server listens on, with the selected port.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Shuts the server down; a failure is logged.
    pub async fn stop(self) {
        if let Err(reason) = self.server.close().await {
            log::warn!(target: "plain", "plain service stand-in: shutdown failed: {reason}");
        }
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
struct CallPath {
    path: Vec<String>,
}

#[endpoint { method = POST, path = "/{path:.*}", unpublished = true }]
async fn call(
    context: RequestContext<PlainService>,
    path: Path<CallPath>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let key = context
        .request
        .headers()
        .get(KEY_HEADER)
        .and_then(|key| key.to_str().ok())
        .map(str::to_owned);
    let call = PlainCall {
        path: format!("/{}", path.into_inner().path.join("/")),
        key,
        body: body.as_str()?.to_owned(),
    };
    match context.context().call(call).await {
        Ok(answer) => http_response(&answer),
        Err(_) => broken_response(),
    }
}

fn http_response(answer: &PlainAnswer) -> Result<Response<Body>, HttpError> {
    let status = StatusCode::from_u16(answer.status)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    respond(status, "application/json", Body::from(answer.body.clone()))
}
