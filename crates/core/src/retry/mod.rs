//! Retries: what may be sent again, when, and within which budget; ejection and slow start.
