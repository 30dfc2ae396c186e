//! The validated form of text and chat completion requests.

use kumquatkeel_types::{ErrorBody, ErrorCode};
use serde::Deserialize;

use super::responses::refused;

/// Value of `max_tokens` if the request has none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest allowed value of `max_tokens`.
const MAX_TOKENS: u32 = 131_072;
/// Longest allowed name in the `model` field.
const MAX_MODEL_BYTES: usize = 96;

/// The fields that text and chat completion requests have in common.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub(super) struct CommonFields {
    /// Name of a model or adapter.
    pub(super) model: String,
    /// Maximum number of generated tokens.
    pub(super) max_tokens: Option<u32>,
    /// Whether the tokens are streamed as they are generated.
    pub(super) stream: Option<bool>,
    /// Sampling seed.
    pub(super) seed: Option<u64>,
    /// Number of completions; only 1 is supported.
    pub(super) n: Option<u32>,
}

/// A validated completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CompletionRequest {
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
    pub(super) seed: Option<u64>,
}

impl CompletionRequest {
    /// Validates the common fields and fills in defaults.
    pub(super) fn validate(common: CommonFields, prompt: String) -> Result<Self, ErrorBody> {
        let max_tokens = common.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_TOKENS).contains(&max_tokens) {
            let reason = format!("max_tokens: must be from 1 to {MAX_TOKENS}");
            return Err(refused(ErrorCode::InvalidRequest, reason));
        }
        if common.n.is_some_and(|n| n != 1) {
            return Err(refused(ErrorCode::InvalidRequest, "n: must be 1"));
        }
        if common.model.is_empty() || common.model.len() > MAX_MODEL_BYTES {
            let reason = format!("model: must have 1 to {MAX_MODEL_BYTES} bytes");
            return Err(refused(ErrorCode::InvalidRequest, reason));
        }
        Ok(Self {
            model: common.model,
            prompt,
            max_tokens,
            stream: common.stream.unwrap_or(false),
            seed: common.seed,
        })
    }
}
