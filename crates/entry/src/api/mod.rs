//! The callers' API.
//!
//! | path | method | answer |
//! |---|---|---|
//! | `/v1/completions` | POST | a completion, or its tokens as server-sent events |
//! | `/v1/chat/completions` | POST | a chat completion, or its tokens as server-sent events |
//! | `/v1/models` | GET | the models and adapters that the caller may use |
//! | `/v1/services/{service}/{path}` | POST | the plain service's answer |
//!
//! An unknown path or method is answered with 404 or 405 by the server library, which names no
//! outcome; nothing is run then.
//!
//! Every other answer names its outcome in the header `kumquatkeel-outcome`; a stream names it in its
//! last event. An answer that is not a whole result has an `ErrorBody`. See [`answer`] for the
//! statuses.

pub mod answer;

mod body;
mod chat;
mod completions;
mod console;
mod headers;
mod models;
mod operators;
mod plain;
mod request;
mod rights;
mod serve;
mod sse;

pub use serve::{ApiContext, ApiError, start_api};
