//! Responses of targets: how the end of a body is marked, and whether the body is whole.
//!
//! The end of a connection marks no end: it looks the same when the sender crashed. Every part that
//! passes a response on decides here whether it is whole.

mod body;
mod event_ids;
mod event_scanner;
mod event_stream_check;
mod framing;
mod status;
mod truncation;

pub use body::check_body;
pub use event_ids::{EventIdFault, EventIds};
pub use event_scanner::EventScanner;
pub use event_stream_check::{EventStreamCheck, MAX_EVENT_BYTES};
pub use framing::Framing;
pub use status::is_final_status;
pub use truncation::Truncation;
