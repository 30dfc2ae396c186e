//! Parts of prompts, by which requests that crash targets can be told from others.

mod part;

pub use part::PartId;
