//! One entry is killed when a release has replaced half of the servers. Its clients resume their streams.
//!
//! See `stand-ins/release.rs` for the deployment and the release.

#[path = "../stand-ins/common.rs"]
mod common;
#[path = "../stand-ins/release.rs"]
mod release;

use release::{Kill, Plan, run};

fn main() {
    run(Plan {
        old: 4,
        kept: 4,
        streams: 400,
        events: 50,
        kill: Kill::OneEntry,
    });
}
