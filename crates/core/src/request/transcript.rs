//! The tokens of an answer that have been passed on to the caller.

/// What becomes of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenStep {
    /// It is the next one; pass it on.
    Next,
    /// It has been passed on before; drop it.
    Duplicate,
    /// Tokens before it are missing; the answer is cut.
    Gap,
}

/// The tokens passed on so far, over all attempts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transcript {
    tokens: Vec<String>,
}

impl Transcript {
    /// Returns how many tokens have been passed on.
    pub const fn len(&self) -> u32 {
        self.tokens.len() as u32
    }

    /// Says whether no token has been passed on.
    pub const fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }

    /// Returns the tokens passed on.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Takes in a token, and says whether it is to be passed on.
    pub fn offer(&mut self, index: u32, text: &str) -> TokenStep {
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
