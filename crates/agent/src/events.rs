//! The stream of an attempt's events to the entry, as newline-delimited JSON.

use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use kumquatkeel_core::scheduler::PlainAnswer;
use kumquatkeel_daemon::server::Body;
use kumquatkeel_types::message::AttemptEvent;
use kumquatkeel_types::{AttemptId, Incarnation};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Events buffered for a slow entry before back-pressure reaches the engine's stream.
const MAX_PENDING: usize = 32;
/// Longest time that an entry may leave its events unread before it counts as disconnected.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends an attempt's events to the entry; `Accepted` precedes every event but `NotRun`.
#[derive(Debug)]
pub(crate) struct EventSender {
    lines: mpsc::Sender<Bytes>,
    attempt: AttemptId,
    incarnation: Incarnation,
    accepted: AtomicBool,
}

impl EventSender {
    /// Sends `Accepted` on the first call: from then on the attempt may run.
    ///
    /// Returns false if the entry has disconnected or stopped reading; later calls return true.
    pub(crate) async fn accept(&self) -> bool {
        if self.accepted.swap(true, Ordering::Relaxed) {
            return true;
        }
        let event = AttemptEvent::Accepted {
            attempt: self.attempt.clone(),
            incarnation: self.incarnation,
        };
        self.send_line(&event).await
    }

    /// Sends an event and returns whether the entry is still connected and reading.
    pub(crate) async fn send(&self, event: &AttemptEvent) -> bool {
        let is_refusal = matches!(event, AttemptEvent::NotRun { .. });
        if !is_refusal && !self.accept().await {
            return false;
        }
        self.send_line(event).await
    }

    async fn send_line(&self, event: &AttemptEvent) -> bool {
        let mut line = serde_json::to_vec(event).unwrap_or_default();
        line.push(b'\n');
        let sent = timeout(SEND_TIMEOUT, self.lines.send(Bytes::from(line))).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Waits until the entry has disconnected.
    pub(crate) async fn closed(&self) {
        self.lines.closed().await;
    }
}

/// Creates a response body and the sender of its events; the body ends when the sender is dropped.
pub(crate) fn event_body(attempt: AttemptId, incarnation: Incarnation) -> (EventSender, Body) {
    let (sender, receiver) = mpsc::channel(MAX_PENDING);
    let lines = stream::unfold(receiver, |mut receiver| async move {
        let line = receiver.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(line)), receiver))
    });
    let body = StreamBody::new(lines).map_err(|never| match never {});
    let events = EventSender {
        lines: sender,
        attempt,
        incarnation,
        accepted: AtomicBool::new(false),
    };
    (events, BodyExt::boxed(body))
}

/// Converts a plain service's answer to an event of `attempt`.
pub(crate) fn answered(attempt: AttemptId, answer: &PlainAnswer) -> AttemptEvent {
    AttemptEvent::Answered {
        attempt,
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.body.clone(),
    }
}
