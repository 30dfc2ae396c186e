//! A caller of the public API, as a member's application would be one.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use kumquatkeel_daemon::http::PeerClient;
use kumquatkeel_types::{ErrorBody, Outcome};
use serde::Deserialize;
use serde_json::Value;

use super::DemoError;

/// The line that ends a stream of server-sent events.
const END_MARK: &str = "[DONE]";

/// The header that names the outcome.
const OUTCOME_HEADER: &str = "kumquatkeel-outcome";

/// A caller with its key.
#[derive(Debug, Clone)]
pub struct Caller {
    client: PeerClient,
    key: String,
}

/// The answer to a completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The text.
    pub text: String,
    /// Why it ended; none when the end is missing.
    pub finish: Option<String>,
}

/// The answer to a call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainReply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The outcome that the answer names.
    pub outcome: Option<Outcome>,
    /// The body.
    pub body: String,
}

impl Caller {
    /// Makes a caller with a key.
    pub fn new(key: impl Into<String>) -> Self {
        Self {
            client: PeerClient::new(),
            key: key.into(),
        }
    }

    /// Asks an entry for a completion; `body` is the request in the public API's form.
    ///
    /// # Errors
    ///
    /// Fails when the answer is not a whole completion.
    pub async fn complete(&self, entry: SocketAddr, body: &Value) -> Result<Completion, DemoError> {
        const STEP: &str = "complete";
        let request = self.request(entry, "/v1/completions", None, body.to_string())?;
        let response = self.send(STEP, entry, request).await?;
        let text = self.success(STEP, entry, response).await?;
        if body["stream"] == Value::Bool(true) {
            return parse_stream(&text).ok_or_else(|| DemoError::step(STEP, entry, text));
        }
        let answer: Chunk = serde_json::from_str(&text)
            .map_err(|error| DemoError::step(STEP, entry, format!("{error}: {text}")))?;
        let mut completion = Completion {
            text: String::new(),
            finish: None,
        };
        completion.add(answer);
        Ok(completion)
    }

    /// Calls a plain service with an idempotency key.
    ///
    /// # Errors
    ///
    /// Fails when no answer came.
    pub async fn call(
        &self,
        entry: SocketAddr,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<PlainReply, DemoError> {
        const STEP: &str = "call";
        let request = self.request(entry, path, Some(key), body.to_string())?;
        let response = self.send(STEP, entry, request).await?;
        let status = response.status();
        let outcome = outcome_header(&response);
        let body = read(STEP, entry, response).await?;
        let told = serde_json::from_str::<ErrorBody>(&body).ok();
        Ok(PlainReply {
            status,
            outcome: outcome.or(told.map(|error| error.outcome)),
            body,
        })
    }

    fn request(
        &self,
        entry: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: String,
    ) -> Result<Request<Full<Bytes>>, DemoError> {
        let mut builder = Request::post(format!("http://{entry}{path}"))
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header(CONTENT_TYPE, "application/json");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        builder
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| DemoError::step("build a request", entry, error.to_string()))
    }

    async fn send(
        &self,
        step: &'static str,
        entry: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, DemoError> {
        self.client
            .send(step, entry, request)
            .await
            .map_err(|error| DemoError::step(step, entry, error.to_string()))
    }

    async fn success(
        &self,
        step: &'static str,
        entry: SocketAddr,
        response: Response<Incoming>,
    ) -> Result<String, DemoError> {
        let status = response.status();
        let text = read(step, entry, response).await?;
        if status != StatusCode::OK {
            return Err(DemoError::step(step, entry, format!("{status}: {text}")));
        }
        Ok(text)
    }
}

impl Completion {
    fn add(&mut self, chunk: Chunk) {
        for choice in chunk.choices {
            self.text.push_str(&choice.text);
            self.finish = choice.finish_reason.or(self.finish.take());
        }
    }
}

/// The fields of an answer in the public API's form that the demo reads.
#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

async fn read(
    step: &'static str,
    entry: SocketAddr,
    response: Response<Incoming>,
) -> Result<String, DemoError> {
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|error| DemoError::step(step, entry, error.to_string()))?;
    String::from_utf8(body.to_bytes().to_vec())
        .map_err(|error| DemoError::step(step, entry, error.to_string()))
}

fn outcome_header(response: &Response<Incoming>) -> Option<Outcome> {
    let text = response.headers().get(OUTCOME_HEADER)?.to_str().ok()?;
    serde_json::from_value(Value::from(text)).ok()
}

/// Reads a whole stream; none when it does not end with the end mark.
fn parse_stream(text: &str) -> Option<Completion> {
    let mut completion = Completion {
        text: String::new(),
        finish: None,
    };
    for line in text.lines().filter(|line| !line.is_empty()) {
        let data = line.strip_prefix("data: ")?;
        if data == END_MARK {
            return Some(completion);
        }
        completion.add(serde_json::from_str(data).ok()?);
    }
    None
}
