//! The HTTP client of a model engine.

use std::error::Error;
use std::net::SocketAddr;
use std::pin::Pin;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyDataStream, BodyExt, Full, Limited};
use hyper::body::Incoming;
use kumquatkeel_core::response::{EventStreamCheck, Framing};
use kumquatkeel_daemon::http::PeerClient;
use kumquatkeel_types::engine::{
    EngineCancel, EngineChunk, EngineCompletion, EngineLoad, EngineOrder, EngineOrderReply,
};
use kumquatkeel_types::message::NotRunReason;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::TargetError;

/// The data of the server-sent event that ends a stream.
const STREAM_END: &str = "[DONE]";
/// Largest answer to an order or a load poll, in bytes.
const MAX_CONTROL_BYTES: usize = 4 << 20;

/// The chunks of one completion.
pub(crate) type ChunkStream = Pin<Box<dyn Stream<Item = Result<EngineChunk, TargetError>> + Send>>;

/// A client of one engine.
#[derive(Debug, Clone)]
pub(crate) struct EngineClient {
    http: PeerClient,
    address: SocketAddr,
    answer_bytes: usize,
}

impl EngineClient {
    /// Creates a client of the engine at `address` that accepts answers of up to `answer_bytes`.
    pub(crate) const fn new(http: PeerClient, address: SocketAddr, answer_bytes: usize) -> Self {
        Self {
            http,
            address,
            answer_bytes,
        }
    }

    /// Starts a completion and returns its chunks.
    pub(crate) async fn complete(
        &self,
        completion: &EngineCompletion,
    ) -> Result<ChunkStream, TargetError> {
        let step = "complete";
        let request = self.post(step, "/v1/completions", completion)?;
        let response = self.http.send(step, self.address, request).await?;
        // The engine looks the model up before it runs anything, so a 404 means not run.
        let is_resident = response.status() != StatusCode::NOT_FOUND;
        let body = self.body_of(step, response).map_err(|error| TargetError {
            not_run: (!is_resident).then_some(NotRunReason::NotResident),
            ..error
        })?;
        let body = Limited::new(body, self.answer_bytes);
        let client = self.clone();
        // The decoder of events keeps an unfinished one, however long it gets.
        let mut check = EventStreamCheck::new(Framing::Connection);
        let data = BodyDataStream::new(body).map(move |data| {
            let data = data?;
            let checked = check.push(&data).map(|_| data);
            checked.map_err(|e| -> Box<dyn Error + Send + Sync> { e.into() })
        });
        let events = data.eventsource();
        let chunks = events.map(move |event| {
            let event = event.map_err(|e| client.error(step, &e))?;
            if event.data == STREAM_END {
                return Ok(None);
            }
            let chunk = serde_json::from_str(&event.data);
            chunk.map(Some).map_err(|e| client.error(step, &e))
        });
        Ok(Box::pin(
            chunks.filter_map(|chunk| async { chunk.transpose() }),
        ))
    }

    /// Cancels a completion and returns once the engine has confirmed.
    pub(crate) async fn cancel(&self, request_id: impl Into<String>) -> Result<(), TargetError> {
        let step = "cancel";
        let cancel = EngineCancel {
            request_id: request_id.into(),
        };
        let request = self.post(step, "/v1/cancel", &cancel)?;
        let body = self.send(step, request).await?;
        let body = Limited::new(body, MAX_CONTROL_BYTES).collect().await;
        body.map(drop).map_err(|e| self.error(step, &e))
    }

    /// Sends an order and returns the engine's answer.
    pub(crate) async fn order(&self, order: &EngineOrder) -> Result<EngineOrderReply, TargetError> {
        let step = "order";
        let mut request = self.post(step, "/v1/orders", order)?;
        let close = http::HeaderValue::from_static("close");
        request.headers_mut().insert(CONNECTION, close);
        self.fetch(step, request).await
    }

    /// Returns the engine's load report.
    pub(crate) async fn load(&self) -> Result<EngineLoad, TargetError> {
        let step = "load";
        let request = Request::get(self.uri("/v1/load"))
            .body(Full::default())
            .map_err(|e| self.error(step, &e))?;
        self.fetch(step, request).await
    }

    fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn post(
        &self,
        step: &'static str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Request<Full<Bytes>>, TargetError> {
        let body = serde_json::to_vec(body).map_err(|e| self.error(step, &e))?;
        Request::post(self.uri(path))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(|e| self.error(step, &e))
    }

    async fn send(
        &self,
        step: &'static str,
        request: Request<Full<Bytes>>,
    ) -> Result<Incoming, TargetError> {
        let response = self.http.send(step, self.address, request).await?;
        self.body_of(step, response)
    }

    fn body_of(
        &self,
        step: &'static str,
        response: Response<Incoming>,
    ) -> Result<Incoming, TargetError> {
        let status = response.status();
        if status == StatusCode::OK || status == StatusCode::NO_CONTENT {
            return Ok(response.into_body());
        }
        Err(self.error(step, &format!("status {status}")))
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        step: &'static str,
        request: Request<Full<Bytes>>,
    ) -> Result<T, TargetError> {
        let body = self.send(step, request).await?;
        let body = Limited::new(body, MAX_CONTROL_BYTES).collect().await;
        let content = body.map_err(|e| self.error(step, &e))?.to_bytes();
        serde_json::from_slice(&content).map_err(|e| self.error(step, &e))
    }

    fn error(&self, step: &'static str, reason: &impl ToString) -> TargetError {
        TargetError {
            step,
            peer: self.address,
            not_run: None,
            reason: reason.to_string(),
        }
    }
}
