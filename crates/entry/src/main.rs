//! The program `kumquatkeel-entry`.

fn main() {}
