//! One HTTP exchange with the platform, with its faults mapped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Builder;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;

use crate::wire::MAX_VALUE_BYTES;
use crate::{CallCounts, CallKind, StoreError, StoreFault};

/// Largest body accepted from the platform, in bytes.
const MAX_REPLY_BYTES: usize = 64 * MAX_VALUE_BYTES;

/// Idle connections are closed after this time.
const POOL_IDLE: Duration = Duration::from_secs(20);

/// Time limits of calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpOptions {
    /// The longest time to connect.
    pub connect: Duration,
    /// The longest time for a call, added to the wait of a watch.
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
    /// The step, for errors.
    pub(super) step: &'static str,
    /// The kind, for the counts.
    pub(super) kind: CallKind,
    /// The request, without its body.
    pub(super) request: Builder,
    /// The body.
    pub(super) body: Bytes,
    /// How long the platform may hold the answer back.
    pub(super) wait: Duration,
}

/// The platform's answer.
pub(super) struct Reply {
    /// The status.
    pub(super) status: StatusCode,
    /// The body.
    pub(super) body: Bytes,
}

/// The connections to the platform.
#[derive(Debug, Clone)]
pub(super) struct Transport {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    options: HttpOptions,
    counts: Arc<CallCounts>,
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
        }
    }

    pub(super) fn counts(&self) -> &Arc<CallCounts> {
        &self.counts
    }

    /// Returns the URI of a path with its query.
    pub(super) fn uri(&self, path: impl AsRef<str>) -> String {
        format!("http://{}{}", self.address, path.as_ref())
    }

    pub(super) fn error(&self, step: &'static str, fault: StoreFault) -> StoreError {
        StoreError::new(step, self.address.to_string(), fault)
    }

    /// Sends a call and returns the answer, unless it was refused for its rate or an outage.
    ///
    /// # Errors
    ///
    /// A fault before the call was sent says that nothing was done; a later one leaves a write
    /// open.
    pub(super) async fn send(&self, call: Call) -> Result<Reply, StoreError> {
        let Call { step, kind, .. } = call;
        self.counts.add(kind);
        let request = call
            .request
            .body(Full::new(call.body))
            .map_err(|_| self.error(step, StoreFault::Unavailable))?;
        let limit = self.options.call + call.wait;
        match tokio::time::timeout(limit, self.exchange(kind, request)).await {
            Err(_) => Err(self.error(step, lost(kind))),
            Ok(Err(fault)) => Err(self.error(step, fault)),
            Ok(Ok(reply)) => match reply.status {
                StatusCode::TOO_MANY_REQUESTS => Err(self.error(step, StoreFault::RateLimited)),
                StatusCode::SERVICE_UNAVAILABLE => Err(self.error(step, StoreFault::Unavailable)),
                _ => Ok(reply),
            },
        }
    }

    async fn exchange(
        &self,
        kind: CallKind,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, StoreFault> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                StoreFault::Unavailable
            } else {
                lost(kind)
            }
        })?;
        read_reply(response).await.ok_or_else(|| lost(kind))
    }

    /// Reads an answer's body.
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

    /// Returns the error for a status that the interface does not name.
    pub(super) fn unexpected(&self, call: (&'static str, CallKind), reply: &Reply) -> StoreError {
        let (step, kind) = call;
        let fault = match lost(kind) {
            StoreFault::Unknown => StoreFault::Unknown,
            _ => StoreFault::Malformed {
                reason: format!("status {}", reply.status),
            },
        };
        self.error(step, fault)
    }
}

async fn read_reply(response: Response<Incoming>) -> Option<Reply> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_REPLY_BYTES).collect().await.ok()?;
    Some(Reply {
        status: head.status,
        body: body.to_bytes(),
    })
}

/// Returns the fault of a call whose answer did not arrive.
const fn lost(kind: CallKind) -> StoreFault {
    match kind {
        CallKind::Put | CallKind::Remove => StoreFault::Unknown,
        CallKind::Get | CallKind::List | CallKind::Watch | CallKind::Instances => {
            StoreFault::Unavailable
        }
    }
}
