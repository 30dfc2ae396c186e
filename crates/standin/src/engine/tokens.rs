//! Answers that are a pure function of the request.

use kumquatkeel_types::digest::hash_parts;
use kumquatkeel_types::engine::EngineCompletion;
use kumquatkeel_types::message::FinishReason;

/// Fewest tokens of an answer that is not cut by its token limit.
const SHORTEST_ANSWER: u32 = 16;
/// Answers differ by fewer tokens than this.
const LENGTH_SPREAD: u64 = 240;

/// Everything that an answer depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    model: String,
    version: String,
    adapter: String,
    text: String,
    seed: u64,
}

/// The whole answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpectedAnswer {
    /// The tokens.
    pub tokens: Vec<String>,
    /// Why the answer ends.
    pub finish: FinishReason,
}

impl ExpectedAnswer {
    /// Returns the tokens as one text.
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}

impl Prompt {
    /// Makes a prompt to a model at a version, without adapter and with seed 0.
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

    /// Sets the generator's seed.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns the token at an index.
    pub fn token(&self, index: u32) -> String {
        let hash = self.hash(&index.to_string());
        format!("{:04x} ", hash & 0xffff)
    }

    /// Returns the whole answer under a token limit.
    pub fn expected(&self, max_tokens: u32) -> ExpectedAnswer {
        let (count, finish) = self.length(max_tokens);
        ExpectedAnswer {
            tokens: (0..count).map(|index| self.token(index)).collect(),
            finish,
        }
    }

    /// Returns how many tokens the answer has under a token limit, and why it ends.
    pub fn length(&self, max_tokens: u32) -> (u32, FinishReason) {
        let own = SHORTEST_ANSWER + (self.hash("length") % LENGTH_SPREAD) as u32;
        if own <= max_tokens {
            (own, FinishReason::Stop)
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
