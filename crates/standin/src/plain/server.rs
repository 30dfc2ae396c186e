//! The plain service's stand-in over HTTP.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Path, RequestContext, UntypedBody, endpoint,
};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::Deserialize;

use super::{PlainAnswer, PlainCall, PlainService};
use crate::http::{StandInError, lost, respond, serve};

/// The header that carries the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Serves a [`PlainService`] over HTTP: POST on any path.
pub struct PlainServer {
    server: HttpServer<PlainService>,
}

impl PlainServer {
    /// Starts to serve at an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened at.
    pub fn start(address: SocketAddr, service: PlainService) -> Result<Self, StandInError> {
        let mut api = ApiDescription::new();
        api.register(call).expect("unique path");
        let server = serve("plain", address, api, service)?;
        Ok(Self { server })
    }

    /// Returns the address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops serving.
    pub async fn stop(self) {
        if let Err(reason) = self.server.close().await {
            log::warn!(target: "plain", "plain: stop failed: {reason}");
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
        Ok(answer) => answered(&answer),
        Err(_) => lost(),
    }
}

fn answered(answer: &PlainAnswer) -> Result<Response<Body>, HttpError> {
    let status = StatusCode::from_u16(answer.status)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    respond(status, "application/json", Body::from(answer.body.clone()))
}
