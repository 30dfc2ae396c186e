//! Serving daemons for an external platform.
//!
//! An entry takes callers' requests and sends them to targets. An agent runs beside each target,
//! gives it orders and reports its state. Both learn what is in force through the traits in
//! [`platform`], which an adapter implements; the decisions are in `kumquatkeel_core::serving`.

pub mod agent;
pub mod entry;
pub mod feed;
pub mod gossip;
pub mod logging;
pub mod metrics;
pub mod net;
pub mod objects;
pub mod platform;
pub mod signals;
pub mod start;
