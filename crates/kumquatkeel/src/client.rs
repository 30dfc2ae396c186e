//! HTTP client of an entry's operator endpoints (`/operator/…`), used by every command that asks
//! a running system.

use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use kumquatkeel::daemon::http::PeerClient;
use kumquatkeel::daemon::peer::PeerKey;
use kumquatkeel::types::operator::{
    ApplyReply, ApplyRequest, BurnCounts, CurrentDocument, StatusReport,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CommandError;

/// Upper bound of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Client of one entry; authenticates with an operator's key.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    http: PeerClient,
    peer: SocketAddr,
    key: PeerKey,
}

impl OperatorClient {
    /// Creates a client for the entry at `peer` with the operator's key from `key_file`.
    pub(crate) fn new(peer: SocketAddr, key_file: &Path) -> Result<Self, CommandError> {
        let text = std::fs::read_to_string(key_file).map_err(|source| CommandError::File {
            step: "reading",
            path: key_file.into(),
            source,
        })?;
        let key = PeerKey::try_from(text.trim()).map_err(|fault| CommandError::Argument {
            argument: "--key-file",
            reason: fault.reason,
        })?;
        Ok(Self {
            http: PeerClient::new(),
            peer,
            key,
        })
    }

    /// Returns the configuration in force and its revision, or `None` before the first commit.
    pub(crate) async fn document(&self) -> Result<Option<CurrentDocument>, CommandError> {
        self.call("read the document", Method::GET, "document", Bytes::new())
            .await
    }

    /// Requests that the configuration be replaced, and returns the outcome.
    pub(crate) async fn apply(&self, request: &ApplyRequest) -> Result<ApplyReply, CommandError> {
        self.call(
            "apply the document",
            Method::PUT,
            "document",
            to_json(request),
        )
        .await
    }

    /// Returns the status of all processes that the entry knows of.
    pub(crate) async fn status(&self) -> Result<StatusReport, CommandError> {
        self.call("read the status", Method::GET, "status", Bytes::new())
            .await
    }

    /// Returns the entry's request counts of each service, for the burn report.
    pub(crate) async fn burn(&self) -> Result<BurnCounts, CommandError> {
        self.call("read the burn", Method::GET, "burn", Bytes::new())
            .await
    }

    /// Sends a request to `/operator/{path}` and decodes the JSON response.
    async fn call<T: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CommandError> {
        let answer_error = |reason: String| CommandError::Answer {
            step,
            peer: self.peer,
            reason,
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}/operator/{path}", self.peer))
            .header(AUTHORIZATION, self.key.header())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| answer_error(e.to_string()))?;
        let response = self.http.send(step, self.peer, request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let content = body
            .collect()
            .await
            .map_err(|e| answer_error(e.to_string()))?
            .to_bytes();
        match status {
            StatusCode::OK => {
                serde_json::from_slice(&content).map_err(|e| answer_error(e.to_string()))
            }
            StatusCode::UNAUTHORIZED => Err(answer_error("the key is not an operator's".into())),
            _ => Err(answer_error(format!(
                "{status}: {}",
                String::from_utf8_lossy(&content)
            ))),
        }
    }
}

/// Serialises an operator message as JSON, which does not fail for these types.
fn to_json(message: &impl Serialize) -> Bytes {
    serde_json::to_vec(message).unwrap_or_default().into()
}
