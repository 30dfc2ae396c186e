//! Server start-up and HTTP responses shared by the servers of the stand-ins.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error};
use dropshot::{ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, ServerBuilder};
use http::{Response, StatusCode, header};
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest request body that a stand-in accepts.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A stand-in's server could not be started.
#[derive(Debug, Display, Error)]
#[display("start the {part} stand-in at {peer}: {reason}")]
pub struct StandInError {
    /// The stand-in's name: `platform`, `engine` or `plain`.
    pub part: &'static str,
    /// The address to bind.
    pub peer: SocketAddr,
    /// The server's error message.
    pub reason: String,
}

/// Binds `address` and starts a server of `api` on it.
///
/// `part` names the stand-in in the error.
pub(crate) fn serve<C: Send + Sync + 'static>(
    part: &'static str,
    address: SocketAddr,
    api: ApiDescription<C>,
    context: C,
) -> Result<HttpServer<C>, StandInError> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, context, slog::Logger::root(slog::Discard, slog::o!()))
        .config(config)
        .start()
        .map_err(|error| StandInError {
            part,
            peer: address,
            reason: error.to_string(),
        })
}

/// Builds a response with `value` as its JSON body.
pub(crate) fn json(
    status: StatusCode,
    value: &impl Serialize,
) -> Result<Response<Body>, HttpError> {
    let body = serde_json::to_vec(value)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    respond(status, "application/json", Body::from(body))
}

/// Builds a response with an empty body.
pub(crate) fn empty(status: StatusCode) -> Result<Response<Body>, HttpError> {
    respond(status, "text/plain", Body::empty())
}

/// Builds a response whose body fails after the headers, which aborts the connection.
///
/// The client can't tell from it whether the call took effect.
pub(crate) fn broken_response() -> Result<Response<Body>, HttpError> {
    let frames = futures::stream::iter([Err::<Frame<Bytes>, _>(io::Error::from(
        io::ErrorKind::ConnectionAborted,
    ))]);
    respond(
        StatusCode::OK,
        "text/plain",
        Body::wrap(StreamBody::new(frames)),
    )
}

/// Builds a response with the given status, content type and body.
pub(crate) fn respond(
    status: StatusCode,
    content_type: &str,
    body: Body,
) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(body)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}

/// Parses a JSON request body; a malformed one is answered with status 400.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpError> {
    serde_json::from_slice(body)
        .map_err(|error| HttpError::for_bad_request(None, format!("body: {error}")))
}
