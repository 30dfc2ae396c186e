//! Relaying of event streams, with continuation of resumable ones.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use super::answer::AnswerBody;
use super::attempt::Answer;
use super::exchange::Exchange;
use super::work::WorkGuard;
use crate::net::PooledConnection;

/// What the relay does next.
enum Step {
    /// Passes these bytes on.
    Emit(Bytes),
    /// The stream is complete.
    End,
    /// The target broke the stream off.
    Broken(String),
}

/// A stream on its way from a target to a caller.
pub(super) struct Relay {
    exchange: Exchange,
    body: Incoming,
    lease: Option<PooledConnection>,
    guard: WorkGuard,
    sent: Instant,
    predicted: Duration,
    started: bool,
    /// Bytes of an event that is not complete yet; only resumable streams are held back.
    partial: BytesMut,
    last_event: Option<u64>,
    done: bool,
}

impl Relay {
    /// Turns an accepted answer into a body for the caller.
    pub(super) fn body(exchange: Exchange, answer: Answer) -> AnswerBody {
        let relay = Self {
            exchange,
            body: answer.body,
            lease: Some(answer.lease),
            guard: answer.guard,
            sent: answer.sent,
            predicted: answer.predicted,
            started: false,
            partial: BytesMut::new(),
            last_event: None,
            done: false,
        };
        let stream = unfold(relay, |mut relay| async move {
            let item = relay.next().await?;
            Some((item.map(Frame::data), relay))
        });
        BodyExt::boxed_unsync(StreamBody::new(stream))
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.done {
            return None;
        }
        loop {
            match self.step().await {
                Step::Emit(bytes) if bytes.is_empty() => {}
                Step::Emit(bytes) => return Some(Ok(bytes)),
                Step::End => {
                    self.done = true;
                    if let Some(lease) = self.lease.take() {
                        lease.release();
                    }
                    self.exchange.finish("served");
                    return None;
                }
                Step::Broken(reason) => {
                    if self.resume(&reason).await {
                        continue;
                    }
                    self.done = true;
                    self.exchange.finish("broken_off");
                    return Some(Err(io::Error::other(reason)));
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let next = timeout_at(self.exchange.deadline(), self.body.frame());
        let next = tokio::select! {
            next = next => next,
            () = self.exchange.stall(self.guard.target()) => {
                return Step::Broken("the target stands still".to_owned());
            }
        };
        let frame = match next {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Step::Broken(error.to_string()),
            Ok(None) if self.partial.is_empty() => return Step::End,
            Ok(None) => return Step::Emit(self.partial.split().freeze()),
            Err(_) => return Step::Broken("deadline".to_owned()),
        };
        let Ok(data) = frame.into_data() else {
            return Step::Emit(Bytes::new());
        };
        self.guard.received();
        if !std::mem::replace(&mut self.started, true) {
            self.exchange
                .first_byte(self.guard.target(), self.predicted, self.sent);
        }
        if !self.exchange.is_resumable() {
            return Step::Emit(data);
        }
        self.partial.extend_from_slice(&data);
        Step::Emit(self.take_events())
    }

    /// Takes the complete events from the held-back bytes and notes the last one's id.
    fn take_events(&mut self) -> Bytes {
        let bytes = &self.partial[..];
        let Some(end) = bytes.windows(2).rposition(|w| w == b"\n\n") else {
            return Bytes::new();
        };
        let events = self.partial.split_to(end + 2).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_event = Some(id);
        }
        events
    }

    /// Continues the stream at another target after the last event passed on.
    async fn resume(&mut self, reason: &str) -> bool {
        if !self.exchange.is_resumable() || Instant::now() >= self.exchange.deadline() {
            return false;
        }
        // The old connection closes first, so that the target stops its run.
        self.lease = None;
        let Some(answer) = self.exchange.resume(self.last_event, reason).await else {
            return false;
        };
        self.body = answer.body;
        self.lease = Some(answer.lease);
        self.guard = answer.guard;
        self.sent = answer.sent;
        self.predicted = answer.predicted;
        self.started = false;
        self.partial.clear();
        true
    }
}

/// Returns the id of the last event in complete events.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    });
    ids.next()
}
