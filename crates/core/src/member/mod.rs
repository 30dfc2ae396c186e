//! Who is alive, leaving or replaced, merged from reports that each process writes of itself.
