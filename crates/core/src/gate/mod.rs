//! The agent's gate before its target: slots, queue, duplicate attempts, fences and drain.
