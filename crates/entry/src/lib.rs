//! The entry daemon: caller API, routing, admission, retries, bookings, control leases, console.

pub mod ledger;
