//! Tests of the placement policies against a small fake fleet.

mod cases;
mod fleet;
mod properties;
mod switch;
