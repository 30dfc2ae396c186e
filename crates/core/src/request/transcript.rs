//! The tokens of an answer that have been passed on to the caller, over all attempts.

/// The position of a received token relative to the tokens passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenStep {
    /// The token is the next one and is passed on.
    Next,
    /// The token has been passed on before and is dropped.
    Duplicate,
    /// Tokens before it are missing, so that the answer counts as interrupted.
    Gap,
}

/// The tokens that have been passed on, from which the next attempt resumes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transcript {
    tokens: Vec<String>,
}

impl Transcript {
    /// Returns the number of tokens passed on.
    pub const fn len(&self) -> u32 {
        self.tokens.len() as u32
    }

    /// Returns whether no token has been passed on.
    pub const fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }

    /// Returns the text of the tokens passed on, in order.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Adds a token if it is the next one, and returns its position.
    pub fn push(&mut self, index: u32, text: &str) -> TokenStep {
        match index.cmp(&self.len()) {
            std::cmp::Ordering::Less => TokenStep::Duplicate,
            std::cmp::Ordering::Greater => TokenStep::Gap,
            std::cmp::Ordering::Equal => {
                self.tokens.push(text.into());
                TokenStep::Next
            }
        }
    }
}
