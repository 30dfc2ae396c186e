//! Responses of targets: how the end of a body is marked, and where its events end.

mod event_scanner;
mod framing;

pub use event_scanner::EventScanner;
pub use framing::Framing;
