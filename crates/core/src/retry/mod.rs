//! Retries: what may be sent again, when, and within which budget; ejection and slow start.
//!
//! Retries are made at the entry only. Agents and clients of agents never send work again.

mod backoff;
mod budget;
mod ejector;
mod health;

pub use backoff::Backoff;
pub use budget::{BudgetStep, RetryBudget};
pub use ejector::Ejector;
pub use health::{AttemptResult, slow_start};
