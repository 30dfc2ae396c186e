//! Tests of the placement policies against a small simulated fleet.

mod cases;
mod fleet;
mod properties;
mod switch;
