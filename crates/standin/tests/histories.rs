//! Histories of concurrent runs, checked against sequential specifications.
//!
//! Each run is a seeded interleaving on the paused clock; a failure names its seed, and
//! `KUMQUATKEEL_SEED` runs that one alone.

#[path = "histories/calls.rs"]
mod calls;
#[path = "histories/config.rs"]
mod config;
#[path = "histories/recorder.rs"]
mod recorder;
