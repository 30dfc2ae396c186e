//! One entry is killed when a release has replaced half of the servers. Its clients resume their streams.
//!
//! See `stand-ins/release.rs` for the deployment and the release. `KILL=all` shows a relative of the fault: all
//! processes are killed, in a smaller deployment.

#[path = "../stand-ins/common.rs"]
mod common;
#[path = "../stand-ins/release.rs"]
mod release;

use release::{Kill, Plan, run};

fn main() {
    if std::env::var("KILL").as_deref() == Ok("all") {
        run(Plan {
            old: 2,
            kept: 2,
            streams: 24,
            events: 40,
            kill: Kill::All,
        });
    }
    run(Plan {
        old: 4,
        kept: 4,
        streams: 400,
        events: 50,
        kill: Kill::OneEntry,
    });
}
