//! The operator's program.

fn main() {}
