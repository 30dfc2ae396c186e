//! The entry: accepts callers' requests, selects a target for each and relays its response.
//!
//! `daemon` runs the listeners and background loops. `handler` matches a request to a route and
//! reads its body, `exchange` makes attempts at the targets that `selection` picks, `attempt` sends
//! one of them, and `relay` passes event streams on. `locality` decides how far
//! a request may go from the entry's data centre. `open_requests` tells what each request waits for. `time_limit`
//! ends each exchange in time, whatever it waits for. `state` is shared by all requests.

mod account;
mod admission;
mod attempt;
mod daemon;
mod exchange;
mod handler;
mod in_flight;
mod locality;
mod notice;
mod open_requests;
mod origin;
mod origin_lookup;
mod permit;
mod quarantine;
mod relay;
mod response;
mod selection;
mod state;
mod time_limit;
mod version_lookup;

pub use daemon::{Entry, EntrySettings};
