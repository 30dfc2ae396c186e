//! The HTTP API for callers, and the operators' endpoints that share its listener.
//!
//! | path | method | response |
//! |---|---|---|
//! | `/v1/completions` | POST | a text completion, or its tokens as server-sent events |
//! | `/v1/chat/completions` | POST | a chat completion, or its tokens as server-sent events |
//! | `/v1/models` | GET | the models and adapters available to the caller |
//! | `/v1/services/{service}/{path}` | POST | the response of a plain service |
//!
//! The operators' endpoints are `/operator/…` and `/console/…`.
//!
//! The server library itself answers an unknown path or method with 404 or 405. Such a response
//! has no outcome header, and no request is run.
//!
//! Every other response carries its outcome in the header `kumquatkeel-outcome`; a stream carries
//! it in its last event. A response without a complete result has an `ErrorBody`. See
//! [`responses`] for the status codes.

pub mod responses;

mod body;
mod chat;
mod completions;
mod console;
mod headers;
mod models;
mod operator_auth;
mod operators;
mod plain;
mod request;
mod serve;
mod sse;

pub use serve::{ApiContext, ApiError, start_api};
