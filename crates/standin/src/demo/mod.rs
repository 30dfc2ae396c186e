//! The whole system with stand-ins in one process on loopback.

mod caller;
mod document;
mod error;

pub use caller::{Caller, Completion, PlainReply};
pub use document::{CALLER_KEY, OPERATOR_KEY, sample_document};
pub use error::DemoError;
