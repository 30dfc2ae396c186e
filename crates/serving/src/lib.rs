//! Serving daemons for an external platform.
//!
//! An entry accepts callers' requests and forwards them to targets. An agent runs beside each
//! target, sends it orders and reports its state. Both receive the configuration and the list of
//! targets through the traits in [`platform`], which an integration implements. The decisions are
//! made in `kumquatkeel_core::serving`.

pub mod agent;
mod config_relay;
pub mod entry;
pub mod feed;
pub mod gossip;
mod list_feed;
pub mod locality;
pub mod logging;
pub mod metrics;
pub mod net;
pub mod objects;
mod origin_record;
pub mod platform;
pub mod signals;
pub mod start;
mod version_record;
