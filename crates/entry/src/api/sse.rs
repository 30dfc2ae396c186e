//! Completion responses as JSON: one object, or a stream of server-sent events.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use derive_more::Debug;
use dropshot::Body;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderValue, Response};
use hyper::body::Frame;
use kumquatkeel_core::request::FlowAnswer;
use kumquatkeel_types::message::FinishReason;
use kumquatkeel_types::{Outcome, RequestId};
use serde::Serialize;
use serde_json::json;
use tokio::sync::mpsc;

use super::responses::set_request_id;
use crate::path::FlowOutput;

/// Maximum number of outputs that are merged into one body frame.
const MAX_FRAME_OUTPUTS: usize = 32;

/// The API format of a completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CompletionKind {
    /// The format of `/v1/completions`.
    Text,
    /// The format of `/v1/chat/completions`.
    Chat,
}

impl CompletionKind {
    const fn object(self, stream: bool) -> &'static str {
        match (self, stream) {
            (Self::Text, _) => "text_completion",
            (Self::Chat, false) => "chat.completion",
            (Self::Chat, true) => "chat.completion.chunk",
        }
    }

    fn chunk_choice(self, text: &str, reason: Option<FinishReason>) -> serde_json::Value {
        match (self, reason) {
            (Self::Text, _) => json!({"index": 0, "text": text, "finish_reason": reason}),
            (Self::Chat, None) => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
            (Self::Chat, Some(_)) => json!({"index": 0, "delta": {}, "finish_reason": reason}),
        }
    }

    fn full_choice(self, text: &str, reason: FinishReason) -> serde_json::Value {
        match self {
            Self::Text => json!({"index": 0, "text": text, "finish_reason": reason}),
            Self::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": reason,
            }),
        }
    }
}

/// A complete completion, or one chunk of a stream.
#[derive(Debug, Serialize)]
pub(super) struct CompletionObject {
    id: String,
    object: &'static str,
    model: String,
    choices: [serde_json::Value; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<Outcome>,
}

/// Token counts of a completion.
#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}

/// Builds the JSON object of a completion that is sent in one piece.
pub(super) fn completion_object(
    kind: CompletionKind,
    id: &RequestId,
    model: &str,
    text: impl AsRef<str>,
    reason: FinishReason,
    tokens: u32,
) -> CompletionObject {
    CompletionObject {
        id: id.to_string(),
        object: kind.object(false),
        model: model.into(),
        choices: [kind.full_choice(text.as_ref(), reason)],
        usage: Some(Usage {
            completion_tokens: tokens,
        }),
        outcome: Some(Outcome::Done),
    }
}

/// A body of server-sent events.
///
/// Dropping it closes the output channel, by which the request learns that its caller has left.
#[derive(Debug)]
pub(super) struct SseBody {
    outputs: mpsc::Receiver<FlowOutput>,
    batch: Vec<FlowOutput>,
    kind: CompletionKind,
    request: RequestId,
    id: String,
    model: String,
    ended: bool,
}

impl SseBody {
    pub(super) fn new(
        outputs: mpsc::Receiver<FlowOutput>,
        first: FlowOutput,
        kind: CompletionKind,
        request: RequestId,
        model: String,
    ) -> Self {
        Self {
            outputs,
            batch: vec![first],
            kind,
            id: request.to_string(),
            request,
            model,
            ended: false,
        }
    }

    pub(super) fn into_response(self) -> Response<Body> {
        let request = self.request.clone();
        let mut response = Response::new(Body::wrap(self));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        set_request_id(&mut response, &request);
        response
    }

    /// Encodes the received outputs as one frame.
    fn take_frame(&mut self) -> Bytes {
        let mut frame = BytesMut::new();
        for output in std::mem::take(&mut self.batch) {
            match output {
                FlowOutput::Token(text) => self.write_chunk(&mut frame, &text, None),
                FlowOutput::Done(FlowAnswer::Completed { reason, .. }) => {
                    self.write_chunk(&mut frame, "", Some(reason));
                    frame.extend_from_slice(b"data: [DONE]\n\n");
                    self.ended = true;
                }
                FlowOutput::Failed(body) => {
                    frame.extend_from_slice(b"event: error\n");
                    write_event(&mut frame, &body);
                    self.ended = true;
                }
                FlowOutput::Done(FlowAnswer::Plain { .. }) => self.ended = true,
            }
        }
        frame.freeze()
    }

    fn write_chunk(&self, frame: &mut BytesMut, text: &str, reason: Option<FinishReason>) {
        let object = CompletionObject {
            id: self.id.clone(),
            object: self.kind.object(true),
            model: self.model.clone(),
            choices: [self.kind.chunk_choice(text, reason)],
            usage: None,
            outcome: reason.map(|_| Outcome::Done),
        };
        write_event(frame, &object);
    }
}

fn write_event(frame: &mut BytesMut, value: &impl Serialize) {
    let text = serde_json::to_vec(value).unwrap_or_default();
    frame.extend_from_slice(b"data: ");
    frame.extend_from_slice(&text);
    frame.extend_from_slice(b"\n\n");
}

impl hyper::body::Body for SseBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = &mut *self;
        if this.ended {
            return Poll::Ready(None);
        }
        if this.batch.is_empty() {
            let received = ready!(this.outputs.poll_recv_many(
                cx,
                &mut this.batch,
                MAX_FRAME_OUTPUTS
            ));
            if received == 0 {
                let error =
                    std::io::Error::other("completion stream ended before its final output");
                return Poll::Ready(Some(Err(error)));
            }
        }
        Poll::Ready(Some(Ok(Frame::data(this.take_frame()))))
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
