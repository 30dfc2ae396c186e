//! The agent's account of accelerator memory over all possible worlds.
