//! Validation of an engine's token stream against the attempt that it answers.

use derive_more::{Display, Error};
use kumquatkeel_types::engine::EngineChunk;
use kumquatkeel_types::message::FinishReason;

/// A violation of the stream's protocol; no later chunk may be passed on.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StreamFault {
    /// A chunk belongs to another request.
    #[display("chunk of request {received} in the answer of {expected}")]
    WrongRequest {
        /// The request that the stream answers.
        expected: String,
        /// The request that the chunk belongs to.
        received: String,
    },
    /// A chunk is missing, repeated or out of order.
    #[display("token {index} where {expected} is due")]
    WrongIndex {
        /// The index of the next token.
        expected: u32,
        /// The index of the received chunk.
        index: u32,
    },
    /// The stream has more tokens than were requested.
    #[display("more than {limit} tokens")]
    TooLong {
        /// The requested maximum of tokens, resumed ones included.
        limit: u32,
    },
    /// The stream ended without a finish reason.
    #[display("the stream ended after {tokens} tokens without a finish mark")]
    Unfinished {
        /// Tokens received, resumed ones included.
        tokens: u32,
    },
    /// A chunk followed the one with the finish reason.
    #[display("a chunk came after the finish mark")]
    AfterFinish,
}

/// What to pass on for a valid chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkStep {
    /// The next token.
    Token {
        /// The token's index in the complete answer.
        index: u32,
        /// The token's text.
        text: String,
    },
    /// The end of the answer.
    Finish {
        /// The engine's finish reason.
        reason: FinishReason,
        /// Tokens in the complete answer, resumed ones included.
        tokens: u32,
    },
}

/// Validates the chunks of one answer: request, order, number of tokens and end.
#[derive(Debug, Clone)]
pub struct StreamCheck {
    request: String,
    next: u32,
    limit: u32,
    finished: bool,
}

impl StreamCheck {
    /// Creates the check of the answer to `request`, which continues after `resumed` tokens and has
    /// at most `limit` tokens in all.
    pub fn new(request: impl Into<String>, resumed: u32, limit: u32) -> Self {
        Self {
            request: request.into(),
            next: resumed,
            limit,
            finished: false,
        }
    }

    /// Validates the next chunk.
    ///
    /// # Errors
    ///
    /// Returns the violation; the agent then ends the stream and closes the connection.
    pub fn check(&mut self, chunk: EngineChunk) -> Result<ChunkStep, StreamFault> {
        if chunk.request_id != self.request {
            return Err(StreamFault::WrongRequest {
                expected: self.request.clone(),
                received: chunk.request_id,
            });
        }
        if self.finished {
            return Err(StreamFault::AfterFinish);
        }
        if chunk.index != self.next {
            return Err(StreamFault::WrongIndex {
                expected: self.next,
                index: chunk.index,
            });
        }
        if let Some(reason) = chunk.finish_reason {
            self.finished = true;
            return Ok(ChunkStep::Finish {
                reason,
                tokens: self.next,
            });
        }
        if self.next >= self.limit {
            return Err(StreamFault::TooLong { limit: self.limit });
        }
        self.next += 1;
        Ok(ChunkStep::Token {
            index: chunk.index,
            text: chunk.text,
        })
    }

    /// Validates the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`StreamFault::Unfinished`] if no chunk had a finish reason.
    pub const fn end(&self) -> Result<(), StreamFault> {
        if self.finished {
            return Ok(());
        }
        Err(StreamFault::Unfinished { tokens: self.next })
    }
}
