//! The measuring tool.

pub mod policy;
pub mod slopes;
