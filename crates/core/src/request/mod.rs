//! The course of one request over its attempts.
//!
//! [`RequestFlow`] is told what happens and answers with the next [`FlowStep`]. It holds the
//! promises that concern one request: an event of another attempt changes nothing, no token comes
//! twice or is missing where an answer is resumed, an answer without its end mark is cut, "not
//! run" is only said when it is proven, and a call that is not idempotent is sent a second time
//! only then.

mod answer;
mod attempt;
mod event;
mod flow;
mod recover;
mod spec;
mod step;
mod transcript;

pub use event::FlowEvent;
pub use flow::{FlowContext, RequestFlow};
pub use spec::FlowSpec;
pub use step::{FlowAnswer, FlowFailure, FlowStep};
pub use transcript::{TokenStep, Transcript};
