//! The retry budget of a service, as a share of its traffic.

/// Retries that may be saved up, so that a quiet service can still retry.
const RESERVE: f64 = 3.0;
/// Retries that may be saved up by a busy service.
const MOST: f64 = 50.0;

/// What the budget says to a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetStep {
    /// The retry is taken from the budget.
    Allowed,
    /// The retries have used up their share of the traffic.
    Exhausted,
}

/// Allows retries up to a share of the first attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    level: f64,
}

impl RetryBudget {
    /// Makes a budget of `share` retries for each first attempt, from 0 to 1.
    pub const fn new(share: f64) -> Self {
        let share = if share.is_finite() {
            share.clamp(0.0, 1.0)
        } else {
            0.0
        };
        let level = if share > 0.0 { RESERVE } else { 0.0 };
        Self { share, level }
    }

    /// Sets the share after a change of the document.
    pub const fn set_share(&mut self, share: f64) {
        self.share = Self::new(share).share;
        if self.share == 0.0 {
            self.level = 0.0;
        }
    }

    /// Counts a first attempt.
    pub const fn first_attempt(&mut self) {
        self.level = (self.level + self.share).min(MOST);
    }

    /// Asks for a retry.
    pub const fn retry(&mut self) -> BudgetStep {
        if self.level < 1.0 {
            return BudgetStep::Exhausted;
        }
        self.level -= 1.0;
        BudgetStep::Allowed
    }
}
