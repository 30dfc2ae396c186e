//! Chat requests, which are turned into prompts.

use std::fmt::Write;

use bytes::Bytes;
use kumquatkeel_types::{ErrorBody, ErrorCode};
use serde::Deserialize;

use super::answer::refused;
use super::body::read_json;
use super::request::{Common, Completion};

/// Most messages of a chat.
const MOST_MESSAGES: usize = 4_096;

/// Who wrote a message.
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

/// Reads a chat completion request.
pub(super) fn read_chat(body: &Bytes) -> Result<Completion, ErrorBody> {
    let raw: ChatRequest = read_json(body)?;
    if raw.messages.is_empty() || raw.messages.len() > MOST_MESSAGES {
        let reason = format!("messages: must have 1 to {MOST_MESSAGES} items");
        return Err(refused(ErrorCode::InvalidRequest, reason));
    }
    let common = Common {
        model: raw.model,
        max_tokens: raw.max_tokens,
        stream: raw.stream,
        seed: raw.seed,
        n: raw.n,
    };
    Completion::check(common, prompt_of(&raw.messages))
}

/// Joins the messages, one a line with its author, and asks for the assistant's next one.
fn prompt_of(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        let _ = writeln!(prompt, "{}: {}", message.role, message.content);
    }
    prompt.push_str("assistant:");
    prompt
}
