//! HTTP calls to the platform with time limits, and the mapping of their failures to [`StoreFault`].

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::request::Builder;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use kumquatkeel_core::store::{EraChange, StoreEra};
use log::{info, warn};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::wire::{MAX_VALUE_BYTES, STORE_ERA_HEADER};
use crate::{CallCounts, CallKind, StoreError, StoreFault};

/// Largest body accepted from the platform, in bytes.
const MAX_REPLY_BYTES: usize = 64 * MAX_VALUE_BYTES;

/// Longest time for reading a body. A large object through a busy link may take long, and another call
/// would begin with its first byte again.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which an idle connection is closed.
const POOL_IDLE: Duration = Duration::from_secs(20);

/// Time limits of calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpOptions {
    /// Time limit for connecting.
    pub connect: Duration,
    /// Time limit for the head of an answer, in addition to the wait of a watch, and for each pause
    /// within its body.
    pub call: Duration,
}

impl Default for HttpOptions {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
        }
    }
}

/// A call to the platform before it is sent.
pub(super) struct Call {
    /// Step that errors name.
    pub(super) step: &'static str,
    /// Kind under which the call is counted.
    pub(super) kind: CallKind,
    /// Request without its body.
    pub(super) request: Builder,
    /// Body of the request.
    pub(super) body: Bytes,
    /// Time for which the platform may delay the answer; zero unless the call is a watch.
    pub(super) wait: Duration,
}

/// An answer of the platform with its whole body.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
    /// The era that the answer states.
    era: Option<u64>,
}

/// A pool of connections to the platform.
#[derive(Debug, Clone)]
pub(super) struct Transport {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    options: HttpOptions,
    counts: Arc<CallCounts>,
    era: Arc<Mutex<StoreEra>>,
}

impl Transport {
    pub(super) fn new(address: SocketAddr, options: HttpOptions, counts: Arc<CallCounts>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(options.connect));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE)
            .build(connector);
        Self {
            client,
            address,
            options,
            counts,
            era: Arc::default(),
        }
    }

    /// Returns the era that the answers have stated so far.
    pub(super) fn era(&self) -> StoreEra {
        *self.era.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn counts(&self) -> &Arc<CallCounts> {
        &self.counts
    }

    /// Returns the URI of a path and its query at the platform's address.
    pub(super) fn uri(&self, path: impl AsRef<str>) -> String {
        format!("http://{}{}", self.address, path.as_ref())
    }

    pub(super) fn error(&self, step: &'static str, fault: StoreFault) -> StoreError {
        StoreError::new(step, self.address.to_string(), fault)
    }

    /// Sends a call and returns the answer, unless its status is 429 or 503.
    ///
    /// # Errors
    ///
    /// When the call was not sent, the error says that it had no effect. When it was sent without an
    /// answer, or the answer is from before a restore of the store, the outcome of a write is unknown.
    pub(super) async fn send(&self, call: Call) -> Result<Reply, StoreError> {
        let Call { step, kind, .. } = call;
        self.counts.add(kind);
        let request = call
            .request
            .body(Full::new(call.body))
            .map_err(|_| self.error(step, StoreFault::Unavailable))?;
        match self.exchange(kind, request, call.wait).await {
            Err(fault) => Err(self.error(step, fault)),
            Ok(reply) if self.is_outdated(&reply) => Err(self.error(step, lost_answer_fault(kind))),
            Ok(reply) => match reply.status {
                StatusCode::TOO_MANY_REQUESTS => Err(self.error(step, StoreFault::RateLimited)),
                StatusCode::SERVICE_UNAVAILABLE => Err(self.error(step, StoreFault::Unavailable)),
                _ => Ok(reply),
            },
        }
    }

    /// Records the era of an answer; returns whether the answer is from before a restore.
    fn is_outdated(&self, reply: &Reply) -> bool {
        let mut era = self.era.lock().unwrap_or_else(PoisonError::into_inner);
        let change = era.observe(reply.era);
        let known = era.number();
        drop(era);
        match change {
            EraChange::Unchanged => {}
            EraChange::Restored => {
                warn!(target: "store", "store: {} was restored from a copy, era {known}", self.address);
            }
            EraChange::Outdated => {
                info!(target: "store", "store: ignored an answer of {} of an earlier era than {known}", self.address);
            }
        }
        change == EraChange::Outdated
    }

    async fn exchange(
        &self,
        kind: CallKind,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, StoreFault> {
        let limit = self.options.call;
        let response = timeout(limit + wait, self.client.request(request)).await;
        let response = response.map_err(|_| lost_answer_fault(kind))?;
        let response = response.map_err(|error| {
            if error.is_connect() {
                StoreFault::Unavailable
            } else {
                lost_answer_fault(kind)
            }
        })?;
        let reply = timeout(BODY_TIMEOUT, read_reply(response, limit)).await;
        reply.ok().flatten().ok_or_else(|| lost_answer_fault(kind))
    }

    /// Decodes the JSON body of an answer.
    pub(super) fn decode<T: DeserializeOwned>(
        &self,
        step: &'static str,
        reply: &Reply,
    ) -> Result<T, StoreError> {
        serde_json::from_slice(&reply.body).map_err(|error| {
            let reason = error.to_string();
            self.error(step, StoreFault::Malformed { reason })
        })
    }

    /// Returns the error for a status that the interface does not define for the call.
    pub(super) fn unexpected(&self, call: (&'static str, CallKind), reply: &Reply) -> StoreError {
        let (step, kind) = call;
        let fault = match lost_answer_fault(kind) {
            StoreFault::Unknown => StoreFault::Unknown,
            _ => StoreFault::Malformed {
                reason: format!("status {}", reply.status),
            },
        };
        self.error(step, fault)
    }
}

/// Reads the body, whose parts arrive with pauses of at most `pause`; `None` if it is incomplete or
/// too large.
async fn read_reply(response: Response<Incoming>, pause: Duration) -> Option<Reply> {
    let (head, body) = response.into_parts();
    let (mut body, mut received) = (Limited::new(body, MAX_REPLY_BYTES), BytesMut::new());
    while let Some(frame) = timeout(pause, body.frame()).await.ok()? {
        if let Ok(data) = frame.ok()?.into_data() {
            received.extend_from_slice(&data);
        }
    }
    Some(Reply {
        status: head.status,
        body: received.freeze(),
        era: stated_era(&head.headers),
    })
}

/// Returns the era that an answer states; `None` if it states none that can be read.
fn stated_era(headers: &HeaderMap) -> Option<u64> {
    let mut values = headers.get_all(STORE_ERA_HEADER).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Returns the fault of a call without an answer: reads have no effect, writes may have had one.
const fn lost_answer_fault(kind: CallKind) -> StoreFault {
    match kind {
        CallKind::Put | CallKind::Remove => StoreFault::Unknown,
        CallKind::Get | CallKind::List | CallKind::Watch | CallKind::Instances => {
            StoreFault::Unavailable
        }
    }
}
