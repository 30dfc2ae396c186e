//! The platform's store: calls a second by the fleet's mechanisms, worked out from their periods.

use super::{Sample, SlopeLine};

/// Relays that watch the head in each data centre.
const RELAYS: f64 = 2.0;
/// Data centres.
const CENTRES: f64 = 4.0;
/// Watches a second of a relay: each waits twenty seconds at most, and one change comes every
/// nineteen.
const WATCHES: f64 = 1.0 / 10.0;
/// Status objects a second and data centre.
const STATUSES: f64 = 1.0 / 2.0;
/// Reads and writes a second of the lease by its three candidates.
const LEASE: f64 = 3.0;
/// Instances that are replaced or fail in a day, for each target of the design size.
const STARTS: f64 = 191.0 / 840.0 / 86_400.0;
/// Calls of an instance that starts: its life, its record and the configuration.
const START_CALLS: f64 = 6.0;
/// Calls of a placement order: its intent before and its end after.
const ORDER_CALLS: f64 = 2.0;
/// Orders a second: the weight store's limit.
const ORDERS: f64 = 2.0;

/// Works out the calls at several numbers of targets, calls with a key left out.
pub(super) fn probe() -> SlopeLine {
    let samples = [105.0, 210.0, 420.0, 840.0].map(|targets| Sample {
        size: targets,
        bytes: 0.0,
        cpu_ms: 0.0,
        memory: 0.0,
        calls: CENTRES * (RELAYS * WATCHES + STATUSES)
            + LEASE
            + targets * STARTS * START_CALLS
            + ORDERS * ORDER_CALLS,
    });
    SlopeLine::of("store", "targets", samples.into())
}
