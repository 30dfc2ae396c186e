//! The measuring tool.

pub mod policy;
