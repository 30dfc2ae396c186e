//! The HTTP client of a plain service.

use std::net::SocketAddr;
use std::sync::Arc;

use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderName, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use kumquatkeel_core::response::{check_body, is_final_status};
use kumquatkeel_core::scheduler::PlainAnswer;
use kumquatkeel_daemon::buffer::{BufferLease, BufferPool};
use kumquatkeel_daemon::http::{PeerClient, framing_of};
use kumquatkeel_types::message::{NotRunReason, PlainWork};

use crate::TargetError;

/// The header that carries the idempotency key.
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// The content type of answers that have none.
const DEFAULT_TYPE: &str = "application/octet-stream";

/// Memory for the answers that are being read, in multiples of the largest one.
const BUFFERED_ANSWERS: usize = 8;

/// A client of one plain service.
#[derive(Debug, Clone)]
pub(crate) struct PlainClient {
    http: PeerClient,
    address: SocketAddr,
    answer_bytes: usize,
    buffers: Arc<BufferPool>,
}

impl PlainClient {
    /// Creates a client of the service at `address` that accepts answers of up to `answer_bytes`.
    pub(crate) fn new(http: PeerClient, address: SocketAddr, answer_bytes: usize) -> Self {
        let pool = BufferPool::new(answer_bytes.saturating_mul(BUFFERED_ANSWERS));
        Self {
            http,
            address,
            answer_bytes,
            buffers: Arc::new(pool),
        }
    }

    /// Calls the service on a new connection and returns its complete answer.
    ///
    /// A reused connection may be closed by the service while the call is in flight, which leaves
    /// unknown whether the call ran.
    pub(crate) async fn call(&self, work: &PlainWork) -> Result<PlainAnswer, TargetError> {
        let step = "call";
        let mut request = Request::post(format!("http://{}{}", self.address, work.path))
            .header(CONTENT_TYPE, &work.content_type)
            .header(CONNECTION, "close");
        if let Some(key) = scoped_key(work) {
            request = request.header(KEY_HEADER, key);
        }
        let request = request
            .body(Full::from(work.body.clone()))
            .map_err(|e| self.error(step, Some(NotRunReason::TargetUnreachable), &e))?;
        let response = self.http.send(step, self.address, request).await?;
        let (status, framing) = (response.status().as_u16(), framing_of(&response));
        if !is_final_status(status) {
            return Err(self.error(step, None, &format!("status {status}")));
        }
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type = content_type
            .and_then(|t| t.to_str().ok())
            .unwrap_or(DEFAULT_TYPE)
            .to_owned();
        let mut lease = self.buffers.lease();
        let body = Limited::new(response.into_body(), self.answer_bytes);
        let body = read_body(body, &mut lease).await;
        let body = body.map_err(|e| self.error(step, None, &e))?;
        check_body(framing, &content_type, &body).map_err(|e| self.error(step, None, &e))?;
        let body = String::from_utf8(body);
        Ok(PlainAnswer {
            status,
            content_type,
            body: body.map_err(|e| self.error(step, None, &e))?,
        })
    }

    fn error(
        &self,
        step: &'static str,
        not_run: Option<NotRunReason>,
        reason: &impl ToString,
    ) -> TargetError {
        TargetError {
            step,
            peer: self.address,
            not_run,
            reason: reason.to_string(),
        }
    }
}

/// Reads a body into memory of `lease`.
async fn read_body(
    mut body: Limited<Incoming>,
    lease: &mut BufferLease,
) -> Result<Vec<u8>, String> {
    let mut received = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        if let Ok(data) = frame.into_data() {
            let resized = lease.resize(received.len() + data.len());
            resized.map_err(|e| e.to_string())?;
            received.extend_from_slice(&data);
        }
    }
    Ok(received)
}

/// Returns the idempotency key to send, prefixed with the caller's name.
///
/// The target does not know callers, so two callers with the same key would share an answer.
fn scoped_key(work: &PlainWork) -> Option<String> {
    let key = work.key.as_ref()?;
    Some(match &work.caller {
        Some(caller) => format!("{caller}:{key}"),
        None => key.to_string(),
    })
}
