//! The HTTP exchange of one attempt with an agent.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::Debug;
use futures::stream::{BoxStream, StreamExt};
use futures::{TryStreamExt, future, stream};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Request, StatusCode};
use http_body_util::{BodyStream, Full};
use hyper::body::Incoming;
use kumquatkeel_core::request::FlowEvent;
use kumquatkeel_types::AttemptId;
use kumquatkeel_types::message::{AttemptEvent, Dispatch};
use log::debug;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use crate::EntryState;

/// The agents' endpoint for attempts.
const ATTEMPTS_PATH: &str = "/v1/attempts";
/// Limit for one line of the response, which holds one event.
const MAX_LINE_BYTES: usize = 4 << 20;

/// The events of one attempt's response; dropping the stream closes the connection.
#[derive(Debug)]
pub(super) struct AttemptStream {
    attempt: AttemptId,
    #[debug(skip)]
    events: BoxStream<'static, FlowEvent>,
    ended: bool,
}

impl AttemptStream {
    /// Prepares an attempt; the request is sent when the stream is first polled.
    pub(super) fn open(state: &Arc<EntryState>, agent: SocketAddr, dispatch: &Dispatch) -> Self {
        let attempt = dispatch.attempt.clone();
        let events = match encode_request(state, agent, dispatch) {
            Some(request) => send_request(state.clone(), agent, request, attempt.clone()).boxed(),
            None => stream::iter([FlowEvent::NotSent(attempt.clone())]).boxed(),
        };
        Self {
            attempt,
            events,
            ended: false,
        }
    }

    /// Waits for the next event.
    ///
    /// The end of the response is reported once as [`FlowEvent::Interrupted`]; after that, or after
    /// a failure, the call never returns.
    pub(super) async fn next(&mut self) -> FlowEvent {
        if self.ended {
            return future::pending().await;
        }
        let event = self.events.next().await;
        self.ended = !matches!(event, Some(FlowEvent::Attempt { .. }));
        event.unwrap_or_else(|| FlowEvent::Interrupted(self.attempt.clone()))
    }
}

fn encode_request(
    state: &EntryState,
    agent: SocketAddr,
    dispatch: &Dispatch,
) -> Option<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(dispatch).ok()?;
    Request::post(format!("http://{agent}{ATTEMPTS_PATH}"))
        .header(AUTHORIZATION, state.settings.peer_key.header())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
        .ok()
}

/// Sends the request and yields the events of its response, or one event for its failure.
fn send_request(
    state: Arc<EntryState>,
    agent: SocketAddr,
    request: Request<Full<Bytes>>,
    attempt: AttemptId,
) -> impl stream::Stream<Item = FlowEvent> + Send {
    let head = async move {
        let sent = state.client.send("send an attempt", agent, request).await;
        match sent {
            Ok(response) if response.status() == StatusCode::OK => {
                read_events(response.into_body(), attempt).boxed()
            }
            Ok(response) => {
                debug!(target: "path", "path: attempt {attempt} got status {}", response.status());
                stream::iter([FlowEvent::Interrupted(attempt)]).boxed()
            }
            Err(error) => {
                debug!(target: "path", "path: attempt {attempt} failed: {error}");
                let event = if error.unsent {
                    FlowEvent::NotSent(attempt)
                } else {
                    FlowEvent::Interrupted(attempt)
                };
                stream::iter([event]).boxed()
            }
        }
    };
    stream::once(head).flatten()
}

/// Parses the response body, one JSON event per line.
fn read_events(body: Incoming, attempt: AttemptId) -> impl stream::Stream<Item = FlowEvent> + Send {
    let data = BodyStream::new(body)
        .map_err(io::Error::other)
        .try_filter_map(|frame| future::ready(Ok(frame.into_data().ok())));
    let lines = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    FramedRead::new(StreamReader::new(data), lines).map(move |line| {
        let event = line
            .ok()
            .and_then(|line| serde_json::from_str::<AttemptEvent>(&line).ok());
        match event {
            Some(event) => FlowEvent::Attempt {
                attempt: attempt.clone(),
                event,
            },
            None => FlowEvent::Interrupted(attempt.clone()),
        }
    })
}
