//! Relays event streams from targets to callers, and resumes resumable ones at another target.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use kumquatkeel_core::response::{EventIds, EventStreamCheck, Framing};
use kumquatkeel_core::serving::RequestPhase;
use kumquatkeel_daemon::buffer::BufferLease;
use tokio::time::Instant;

use super::attempt::{StreamForm, TargetResponse};
use super::exchange::Exchange;
use super::in_flight::InFlightGuard;
use super::open_requests::Stage;
use super::response::ResponseBody;
use super::time_limit::TimeEnd;
use crate::net::PooledConnection;

/// The outcome of reading from the target once.
enum ReadStep {
    /// Bytes to pass on; empty when no event is complete yet.
    Emit(Bytes),
    /// The stream is complete.
    End,
    /// The connection ended before the stream, for this reason.
    Lost(String),
    /// The stream was given up, for this reason.
    Broken(String),
}

/// An event stream that is relayed from a target to a caller.
pub(super) struct Relay {
    exchange: Exchange,
    body: Incoming,
    check: EventStreamCheck,
    /// The form that the caller was told in the head.
    form: StreamForm,
    /// The software version of the current target.
    version: Arc<str>,
    pooled: Option<PooledConnection>,
    guard: InFlightGuard,
    sent: Instant,
    predicted: Duration,
    /// When the current target sent its first byte; `None` before.
    started: Option<Instant>,
    /// Bytes of an incomplete event. Only resumable streams are buffered up to whole events.
    partial: BytesMut,
    /// The memory for these bytes.
    lease: BufferLease,
    /// The ids of the events passed on, and before them of those that the caller has.
    ids: EventIds,
    done: bool,
}

impl Relay {
    /// Turns a target's response into a body for the caller.
    pub(super) fn body(exchange: Exchange, response: TargetResponse) -> ResponseBody {
        let resume = exchange.request.resume.as_ref();
        let last_event = resume.and_then(|resume| resume.last_event.parse().ok());
        let lease = exchange.shared.buffers.lease();
        let limit = exchange.limit.clone();
        let relay = Self {
            exchange,
            form: response.stream_form(),
            body: response.body,
            check: EventStreamCheck::new(response.framing),
            version: response.version,
            pooled: Some(response.pooled),
            guard: response.guard,
            sent: response.sent,
            predicted: response.predicted,
            started: None,
            partial: BytesMut::new(),
            lease,
            ids: EventIds::after(last_event),
            done: false,
        };
        // Ends the stream by time, whatever it waits for.
        let end = Box::pin(async move { limit.reached(RequestPhase::Streaming).await });
        let stream = unfold((relay, end), |(mut relay, mut end)| async move {
            if relay.done {
                return None;
            }
            let item = tokio::select! {
                biased;
                end = end.as_mut() => Some(Err(relay.break_off(end))),
                item = relay.next_chunk() => item,
            };
            Some((item?.map(Frame::data), (relay, end)))
        });
        BodyExt::boxed_unsync(StreamBody::new(stream))
    }

    /// Breaks the stream off as its time has ended; returns the error that shows its caller that it is not
    /// complete.
    fn break_off(&mut self, end: TimeEnd) -> io::Error {
        let reason = match end {
            TimeEnd::Expired => "deadline",
            TimeEnd::Stopping => "the process stops",
        };
        self.record_end(Some(reason));
        self.done = true;
        self.exchange.set_outcome("broken_off");
        io::Error::other(reason)
    }

    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.read_step().await {
                ReadStep::Emit(bytes) if bytes.is_empty() => {}
                ReadStep::Emit(bytes) => return Some(Ok(bytes)),
                ReadStep::End => {
                    self.record_end(None);
                    let (target, framing) = (self.guard.target(), self.check.framing());
                    self.exchange.record_complete_run(target, framing);
                    self.done = true;
                    if let Some(started) = self.started {
                        self.exchange.record_stream_rest(started.elapsed());
                    }
                    if let Some(pooled) = self.pooled.take() {
                        pooled.release();
                    }
                    self.exchange.set_outcome("served");
                    return None;
                }
                step @ (ReadStep::Lost(_) | ReadStep::Broken(_)) => {
                    let reason = self.record_interruption(step);
                    if self.resume(&reason).await {
                        continue;
                    }
                    self.done = true;
                    self.exchange.set_outcome("broken_off");
                    return Some(Err(io::Error::other(reason)));
                }
            }
        }
    }

    async fn read_step(&mut self) -> ReadStep {
        let next = tokio::select! {
            next = self.body.frame() => next,
            () = self.exchange.wait_until_stalled(self.guard.target(), self.sent) => {
                return ReadStep::Broken("target stalled".to_owned());
            }
        };
        let frame = match next {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return ReadStep::Lost(error.to_string()),
            None => {
                return match self.check.end() {
                    Ok(()) => ReadStep::End,
                    Err(truncation) => ReadStep::Lost(truncation.to_string()),
                };
            }
        };
        let Ok(data) = frame.into_data() else {
            return ReadStep::Emit(Bytes::new());
        };
        self.guard.record_bytes();
        let complete = match self.check.push(&data) {
            Ok(0) => 0,
            Ok(complete) => self.partial.len() + complete,
            Err(truncation) => return ReadStep::Broken(truncation.to_string()),
        };
        if self.started.is_none() {
            self.started = Some(Instant::now());
            self.exchange
                .record_first_byte(self.guard.target(), self.predicted, self.sent);
        }
        if !self.exchange.is_resumable() {
            return ReadStep::Emit(data);
        }
        if let Err(error) = self.lease.resize(self.partial.len() + data.len()) {
            return ReadStep::Broken(error.to_string());
        }
        self.partial.extend_from_slice(&data);
        self.take_events(complete)
    }

    /// Records a stream that ended early; returns the reason.
    fn record_interruption(&mut self, step: ReadStep) -> String {
        let lost = matches!(step, ReadStep::Lost(_));
        let (ReadStep::Lost(reason) | ReadStep::Broken(reason)) = step else {
            return String::new();
        };
        self.record_end(Some(&reason));
        if lost {
            let target = self.guard.target().clone();
            self.exchange.record_broken_run(&target);
        }
        reason
    }

    /// Counts the end of a target's stream, and logs one that broke off or has no end mark.
    fn record_end(&self, fault: Option<&str>) {
        let complete = fault.is_none();
        let instruments = &self.exchange.shared.instruments;
        let (framing, scanner) = (self.check.framing(), self.check.scanner());
        instruments.record_stream_end(framing, complete);
        if !complete || framing == Framing::Connection {
            log::info!(
                request:% = self.exchange.request.attempt, target_id:% = self.guard.target(),
                framing:%, events = scanner.events(),
                inside_event = scanner.is_inside_event(), fault,
                suspects:serde = self.exchange.suspects();
                "stream of the target ended"
            );
        }
    }

    /// Takes the complete events, which are the first `length` bytes, from the buffer.
    fn take_events(&mut self, length: usize) -> ReadStep {
        let events = self.partial.split_to(length).freeze();
        self.lease.shrink_to(self.partial.len());
        if let Err(fault) = self.ids.check(&events) {
            return ReadStep::Broken(fault.to_string());
        }
        if length > 0 {
            self.exchange.record_origin(&self.version);
        }
        ReadStep::Emit(events)
    }

    /// Resumes the stream at another target after the last event passed on; returns whether it did.
    async fn resume(&mut self, reason: &str) -> bool {
        if !self.exchange.is_resumable() {
            return false;
        }
        // Closing the old connection first makes its target stop the run.
        self.pooled = None;
        let last_event = self.ids.last();
        let Some(response) = self.exchange.resume(&self.form, last_event, reason).await else {
            return false;
        };
        self.exchange.enter(Stage::Stream);
        self.body = response.body;
        self.check = EventStreamCheck::new(response.framing);
        self.version = response.version;
        self.pooled = Some(response.pooled);
        self.guard = response.guard;
        self.sent = response.sent;
        self.predicted = response.predicted;
        self.started = None;
        self.partial.clear();
        self.ids.require();
        true
    }
}
