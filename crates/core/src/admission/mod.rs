//! Admission of requests at an entry: bounded queues, priorities, deadlines and rates.
