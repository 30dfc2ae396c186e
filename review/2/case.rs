//! The entries are stopped and started in turn, as planned, while a release replaces half of the servers, as
//! planned. Clients resume the streams that were cut off with their entry. Nothing else happens.
//!
//! See `stand-ins/release.rs` for the deployment and the release. Relatives of the fault: with `KILL=one` one entry
//! is killed after the release instead of the planned stops, and with `KILL=all` all processes are, in a smaller
//! deployment.

#[path = "../stand-ins/common.rs"]
mod common;
#[path = "../stand-ins/release.rs"]
mod release;

use release::{Kill, Plan, run};

fn main() {
    let planned = Plan {
        old: 4,
        kept: 4,
        streams: 400,
        events: 70,
        kill: Kill::None,
    };
    run(match std::env::var("KILL").as_deref() {
        Ok("one") => Plan {
            events: 50,
            kill: Kill::OneEntry,
            ..planned
        },
        Ok("all") => Plan {
            old: 2,
            kept: 2,
            streams: 24,
            events: 40,
            kill: Kill::All,
        },
        _ => planned,
    })
}
