//! Why a body is not whole.

use derive_more::{Display, Error};

/// Why a body is not whole although the transport reported its end as orderly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Truncation {
    /// The last event is incomplete.
    #[display("the stream ended inside an event")]
    InsideEvent,
    /// An event is too large to be read to its end.
    #[display("the event is too large")]
    OversizedEvent,
    /// A stream without an end mark has no event.
    #[display("the stream ended without an event")]
    NoEvent,
    /// A JSON body without an end mark is no JSON value.
    #[display("the JSON body is incomplete")]
    IncompleteJson,
}
