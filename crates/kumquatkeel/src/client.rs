//! The client of an entry's operator interface.

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

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Asks one entry on behalf of an operator.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    http: PeerClient,
    peer: SocketAddr,
    key: PeerKey,
}

impl OperatorClient {
    /// Makes a client with the key in `key_file`.
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

    /// Reads the configuration in force; `None` when there is none yet.
    pub(crate) async fn document(&self) -> Result<Option<CurrentDocument>, CommandError> {
        self.call("read the document", Method::GET, "document", Bytes::new())
            .await
    }

    /// Asks to replace the configuration.
    pub(crate) async fn apply(&self, request: &ApplyRequest) -> Result<ApplyReply, CommandError> {
        self.call(
            "apply the document",
            Method::PUT,
            "document",
            to_json(request),
        )
        .await
    }

    /// Reads the status of the whole system.
    pub(crate) async fn status(&self) -> Result<StatusReport, CommandError> {
        self.call("read the status", Method::GET, "status", Bytes::new())
            .await
    }

    /// Reads the entry's request counts.
    pub(crate) async fn burn(&self) -> Result<BurnCounts, CommandError> {
        self.call("read the burn", Method::GET, "burn", Bytes::new())
            .await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CommandError> {
        let wrong = |reason: String| CommandError::Answer {
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
            .map_err(|e| wrong(e.to_string()))?;
        let response = self.http.send(step, self.peer, request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let content = body
            .collect()
            .await
            .map_err(|e| wrong(e.to_string()))?
            .to_bytes();
        match status {
            StatusCode::OK => serde_json::from_slice(&content).map_err(|e| wrong(e.to_string())),
            StatusCode::UNAUTHORIZED => Err(wrong("the key is not an operator's".into())),
            _ => Err(wrong(format!(
                "{status}: {}",
                String::from_utf8_lossy(&content)
            ))),
        }
    }
}

/// Writes a message as JSON; the operator's messages always can be.
fn to_json(message: &impl Serialize) -> Bytes {
    serde_json::to_vec(message).unwrap_or_default().into()
}
