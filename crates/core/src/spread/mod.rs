//! The spread of configuration revisions and member reports through relays.
