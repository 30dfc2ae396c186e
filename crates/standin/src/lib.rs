//! Stand-ins for the platform, engines and plain services, and the measuring tool.
//!
//! Each stand-in keeps its own record of what it did, so that a test can compare what callers were
//! told with what happened. All time is the runtime's, which tests pause and advance.

pub mod demo;
pub mod engine;
pub mod fleet;
pub mod measure;
pub mod plain;
pub mod platform;

mod http;

pub use http::StandInError;
