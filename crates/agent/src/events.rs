//! The stream of an attempt's events, one JSON object a line.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use kumquatkeel_core::gate::PlainAnswer;
use kumquatkeel_daemon::server::Body;
use kumquatkeel_types::AttemptId;
use kumquatkeel_types::message::AttemptEvent;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Events that wait for a slow entry before the engine's stream is held back.
const MAX_PENDING: usize = 32;
/// Longest time that an entry may leave its events unread before it counts as gone.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends an attempt's events to the entry.
#[derive(Debug)]
pub(crate) struct EventSender(mpsc::Sender<Bytes>);

impl EventSender {
    /// Sends an event and says whether the entry is still there and reads on.
    pub(crate) async fn send(&self, event: &AttemptEvent) -> bool {
        let mut line = serde_json::to_vec(event).unwrap_or_default();
        line.push(b'\n');
        let sent = timeout(SEND_TIMEOUT, self.0.send(Bytes::from(line))).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Returns when the entry has left.
    pub(crate) async fn closed(&self) {
        self.0.closed().await;
    }
}

/// Makes a body and the sender of its events; the body ends when the sender is dropped.
pub(crate) fn event_body() -> (EventSender, Body) {
    let (sender, receiver) = mpsc::channel(MAX_PENDING);
    let lines = stream::unfold(receiver, |mut receiver| async move {
        let line = receiver.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(line)), receiver))
    });
    let body = StreamBody::new(lines).map_err(|never| match never {});
    (EventSender(sender), BodyExt::boxed(body))
}

/// Returns a plain service's answer as an event of `attempt`.
pub(crate) fn answered(attempt: AttemptId, answer: &PlainAnswer) -> AttemptEvent {
    AttemptEvent::Answered {
        attempt,
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.body.clone(),
    }
}
