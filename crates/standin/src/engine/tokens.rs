//! Deterministic answers: a pure function of the request, so that tests can compute them.

use kumquatkeel_types::digest::hash_parts;
use kumquatkeel_types::engine::EngineCompletion;
use kumquatkeel_types::message::FinishReason;

/// Minimum length of an answer that its token limit doesn't truncate.
const MIN_ANSWER_TOKENS: u32 = 16;
/// Number of different answer lengths, from the minimum upwards.
const ANSWER_LENGTHS: u64 = 240;

/// All inputs that an answer depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    model: String,
    version: String,
    adapter: String,
    text: String,
    seed: u64,
}

/// The complete answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpectedAnswer {
    /// The tokens in order, each with its trailing space.
    pub tokens: Vec<String>,
    /// The finish reason: natural end or token limit.
    pub finish: FinishReason,
}

impl ExpectedAnswer {
    /// Returns the tokens concatenated.
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}

impl Prompt {
    /// Creates a prompt for a version of a model, without adapter and with seed 0.
    pub fn new(
        model: impl Into<String>,
        version: impl Into<String>,
        text: impl Into<String>,
    ) -> Self {
        Self {
            model: model.into(),
            version: version.into(),
            adapter: String::new(),
            text: text.into(),
            seed: 0,
        }
    }

    /// Sets the adapter.
    #[must_use]
    pub fn with_adapter(mut self, adapter: impl Into<String>) -> Self {
        self.adapter = adapter.into();
        self
    }

    /// Sets the sampling seed.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns the token at `index`, counted from 0.
    pub fn token(&self, index: u32) -> String {
        let hash = self.hash(&index.to_string());
        format!("{:04x} ", hash & 0xffff)
    }

    /// Returns the complete answer under a token limit.
    pub fn expected(&self, max_tokens: u32) -> ExpectedAnswer {
        let (count, finish) = self.length(max_tokens);
        ExpectedAnswer {
            tokens: (0..count).map(|index| self.token(index)).collect(),
            finish,
        }
    }

    /// Returns the number of tokens under a token limit, and the finish reason.
    pub fn length(&self, max_tokens: u32) -> (u32, FinishReason) {
        let untruncated = MIN_ANSWER_TOKENS + (self.hash("length") % ANSWER_LENGTHS) as u32;
        if untruncated <= max_tokens {
            (untruncated, FinishReason::Stop)
        } else {
            (max_tokens, FinishReason::Length)
        }
    }

    fn hash(&self, salt: &str) -> u64 {
        let seed = self.seed.to_string();
        let parts = [
            self.model.as_str(),
            &self.version,
            &self.adapter,
            &self.text,
            &seed,
            salt,
        ];
        hash_parts(parts)
    }
}

impl From<&EngineCompletion> for Prompt {
    fn from(request: &EngineCompletion) -> Self {
        let prompt = Self::new(
            request.model.name.as_str(),
            request.model.version.as_str(),
            request.prompt.as_str(),
        );
        let adapter = request.adapter.as_ref().map_or("", |name| name.as_str());
        prompt.with_adapter(adapter).with_seed(request.seed)
    }
}
