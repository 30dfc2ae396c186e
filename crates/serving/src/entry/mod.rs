//! The entry: takes callers' requests, chooses targets and relays answers.

mod answer;
mod attempt;
mod daemon;
mod exchange;
mod handler;
mod relay;
mod selection;
mod state;
mod work;

pub use daemon::{Entry, EntrySettings};
