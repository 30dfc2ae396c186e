//! Control leases held through conditional updates of an object in the platform's store.
