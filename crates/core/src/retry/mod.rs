//! Retries and target health: back-off, retry budget, outlier ejection and slow start.
//!
//! Only the entry retries a request. Agents and their clients never send work twice.

mod backoff;
mod budget;
mod ejector;
mod health;

pub use backoff::Backoff;
pub use budget::{BudgetStep, RetryBudget};
pub use ejector::Ejector;
pub use health::{AttemptResult, slow_start};
