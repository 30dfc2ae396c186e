//! The checked form of a completion request.

use kumquatkeel_types::{ErrorBody, ErrorCode};
use serde::Deserialize;

use super::answer::refused;

/// Tokens when the caller names no number.
const DEFAULT_TOKENS: u32 = 256;
/// Most tokens that a caller may ask for.
const MOST_TOKENS: u32 = 131_072;
/// Longest name in a model field, in bytes.
const MOST_MODEL_BYTES: usize = 96;

/// The fields that both completion requests share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub(super) struct Common {
    /// The model or adapter.
    pub(super) model: String,
    /// Most tokens of the answer.
    pub(super) max_tokens: Option<u32>,
    /// Whether the tokens are sent as they come.
    pub(super) stream: Option<bool>,
    /// Seed of the generator.
    pub(super) seed: Option<u64>,
    /// Number of answers; only one can be had.
    pub(super) n: Option<u32>,
}

/// A completion request after its checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Completion {
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
    pub(super) seed: Option<u64>,
}

impl Completion {
    /// Checks the shared fields.
    pub(super) fn check(common: Common, prompt: String) -> Result<Self, ErrorBody> {
        let max_tokens = common.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if !(1..=MOST_TOKENS).contains(&max_tokens) {
            let reason = format!("max_tokens: must be from 1 to {MOST_TOKENS}");
            return Err(refused(ErrorCode::InvalidRequest, reason));
        }
        if common.n.is_some_and(|n| n != 1) {
            return Err(refused(ErrorCode::InvalidRequest, "n: must be 1"));
        }
        if common.model.is_empty() || common.model.len() > MOST_MODEL_BYTES {
            let reason = format!("model: must have 1 to {MOST_MODEL_BYTES} bytes");
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
