//! What the stand-ins' servers share.

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

/// Largest body that a stand-in takes, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// An error of starting a stand-in's server.
#[derive(Debug, Display, Error)]
#[display("start the {part} stand-in at {peer}: {reason}")]
pub struct StandInError {
    /// Which stand-in.
    pub part: &'static str,
    /// The address it was to listen at.
    pub peer: SocketAddr,
    /// What went wrong.
    pub reason: String,
}

/// Starts a server of `api` at `address`.
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

/// Answers with a JSON body.
pub(crate) fn json(
    status: StatusCode,
    value: &impl Serialize,
) -> Result<Response<Body>, HttpError> {
    let body = serde_json::to_vec(value)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    respond(status, "application/json", Body::from(body))
}

/// Answers with an empty body.
pub(crate) fn empty(status: StatusCode) -> Result<Response<Body>, HttpError> {
    respond(status, "text/plain", Body::empty())
}

/// Begins an answer and breaks the connection, so that the caller can't know what happened.
pub(crate) fn lost() -> Result<Response<Body>, HttpError> {
    let broken = futures::stream::iter([Err::<Frame<Bytes>, _>(io::Error::from(
        io::ErrorKind::ConnectionAborted,
    ))]);
    respond(
        StatusCode::OK,
        "text/plain",
        Body::wrap(StreamBody::new(broken)),
    )
}

/// Answers with a body of a content type.
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

/// Reads a JSON body.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpError> {
    serde_json::from_slice(body)
        .map_err(|error| HttpError::for_bad_request(None, format!("body: {error}")))
}
