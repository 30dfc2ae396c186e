//! The ledger of calls that run at most once, kept in the platform's store.
