//! Chat completion requests, which are converted to text prompts.

use std::fmt::Write;

use bytes::Bytes;
use kumquatkeel_types::{ErrorBody, ErrorCode};
use serde::Deserialize;

use super::body::parse_json;
use super::request::{CommonFields, CompletionRequest};
use super::responses::refused;

/// Maximum number of messages in a chat.
const MAX_MESSAGES: usize = 4_096;

/// The role of a message's author.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
enum Author {
    #[display("system")]
    System,
    #[display("user")]
    User,
    #[display("assistant")]
    Assistant,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Message {
    role: Author,
    content: String,
}

/// A chat completion request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    stream: Option<bool>,
    seed: Option<u64>,
    n: Option<u32>,
    #[serde(rename = "user")]
    _user: Option<String>,
}

/// Parses and validates the body of a chat completion request.
pub(super) fn parse_chat_request(body: &Bytes) -> Result<CompletionRequest, ErrorBody> {
    let raw: ChatRequest = parse_json(body)?;
    if raw.messages.is_empty() || raw.messages.len() > MAX_MESSAGES {
        let reason = format!("messages: must have 1 to {MAX_MESSAGES} items");
        return Err(refused(ErrorCode::InvalidRequest, reason));
    }
    let common = CommonFields {
        model: raw.model,
        max_tokens: raw.max_tokens,
        stream: raw.stream,
        seed: raw.seed,
        n: raw.n,
    };
    CompletionRequest::validate(common, build_prompt(&raw.messages))
}

/// Writes one line `role: content` per message, then `assistant:` for the model to continue.
fn build_prompt(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        let _ = writeln!(prompt, "{}: {}", message.role, message.content);
    }
    prompt.push_str("assistant:");
    prompt
}
