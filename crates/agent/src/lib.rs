//! The agent daemon: the last gate before a target.
