//! The state machine of one request over its attempts.
//!
//! An entry feeds [`FlowEvent`]s to a [`RequestFlow`] and carries out the [`FlowStep`]s that it
//! returns. The flow guarantees for each request:
//!
//! - An event of another attempt changes nothing.
//! - No token is repeated or missing where an answer is resumed.
//! - An answer without its last event counts as interrupted.
//! - A request is reported as not run only if that is proven.
//! - A call that is not idempotent is sent again only if it is proven that it was not run.

mod answer;
mod attempt;
mod event;
mod flow;
mod recover;
mod spec;
mod step;
mod transcript;

pub use attempt::AttemptProgress;
pub use event::FlowEvent;
pub use flow::{FlowContext, RequestFlow};
pub use spec::FlowSpec;
pub use step::{FlowAnswer, FlowFailure, FlowStep};
pub use transcript::{TokenStep, Transcript};
