//! The check of an engine's stream against the attempt that it answers.

use derive_more::{Display, Error};
use kumquatkeel_types::engine::EngineChunk;
use kumquatkeel_types::message::FinishReason;

/// What is wrong with a stream; nothing after it may be passed on.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StreamFault {
    /// A chunk answers another request.
    #[display("chunk of request {other} in the answer of {expected}")]
    Crossed {
        /// The request that the stream answers.
        expected: String,
        /// The request that the chunk names.
        other: String,
    },
    /// A chunk is missing, repeated or out of order.
    #[display("token {index} where {expected} is due")]
    Misnumbered {
        /// The index that was due.
        expected: u32,
        /// The index that came.
        index: u32,
    },
    /// The stream has more tokens than were asked for.
    #[display("more than {limit} tokens")]
    TooLong {
        /// The most tokens that were asked for.
        limit: u32,
    },
    /// The stream ended without a finish mark.
    #[display("the stream ended after {tokens} tokens without a finish mark")]
    Unfinished {
        /// Tokens received, resumed ones included.
        tokens: u32,
    },
    /// A chunk came after the finish mark.
    #[display("a chunk came after the finish mark")]
    AfterFinish,
}

/// What to pass on for a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkStep {
    /// The next token.
    Token {
        /// The token's index in the whole answer.
        index: u32,
        /// The text.
        text: String,
    },
    /// The finish mark.
    Finish {
        /// Why the answer ended.
        reason: FinishReason,
        /// Tokens in the whole answer.
        tokens: u32,
    },
}

/// Checks that each chunk is the next one of its own request.
#[derive(Debug, Clone)]
pub struct StreamCheck {
    request: String,
    next: u32,
    limit: u32,
    finished: bool,
}

impl StreamCheck {
    /// Starts the check of the answer to `request`, of which `resumed` tokens are known.
    pub fn new(request: impl Into<String>, resumed: u32, limit: u32) -> Self {
        Self {
            request: request.into(),
            next: resumed,
            limit,
            finished: false,
        }
    }

    /// Checks the next chunk.
    ///
    /// # Errors
    ///
    /// Returns what is wrong; the stream is then cut and its connection closed.
    pub fn check(&mut self, chunk: EngineChunk) -> Result<ChunkStep, StreamFault> {
        if chunk.request_id != self.request {
            return Err(StreamFault::Crossed {
                expected: self.request.clone(),
                other: chunk.request_id,
            });
        }
        if self.finished {
            return Err(StreamFault::AfterFinish);
        }
        if chunk.index != self.next {
            return Err(StreamFault::Misnumbered {
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

    /// Checks the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`StreamFault::Unfinished`] when no finish mark came.
    pub const fn end(&self) -> Result<(), StreamFault> {
        if self.finished {
            return Ok(());
        }
        Err(StreamFault::Unfinished { tokens: self.next })
    }
}
