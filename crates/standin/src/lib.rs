//! Stand-ins for the outside systems (platform, engines and plain services), with the demo and the
//! measuring tool.
//!
//! Each stand-in records what it executed, so that a test can compare the answers that callers got
//! with what took effect. All time comes from the clock of the Tokio runtime, which tests pause and
//! advance.

pub mod demo;
pub mod engine;
pub mod fleet;
pub mod measure;
pub mod plain;
pub mod platform;

mod http;

pub use http::StandInError;
