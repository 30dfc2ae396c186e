//! The entries are stopped and started in turn, as planned, while a release replaces half of the servers, as
//! planned. Clients resume the streams that were cut off with their entry. Nothing else happens.
//!
//! See `stand-ins/release.rs` for the deployment and the release. A relative of the fault: with `KILL=one` one entry
//! is killed after the release instead of the planned stops.

#[path = "../stand-ins/common.rs"]
mod common;
#[path = "../stand-ins/release.rs"]
mod release;

use release::{Disruption, Plan, run};

fn main() {
    let planned = Plan {
        old: 4,
        kept: 4,
        streams: 400,
        events: 70,
        disruption: Disruption::Stops,
    };
    run(match std::env::var("KILL").as_deref() {
        Ok("one") => Plan {
            events: 50,
            disruption: Disruption::Kill,
            ..planned
        },
        _ => planned,
    })
}
