//! The retry budget of a service: a share of its traffic.

/// The balance of a new budget, so that a service with little traffic can still retry.
const INITIAL_BALANCE: f64 = 3.0;
/// The most retries that a service can save up.
const MAX_BALANCE: f64 = 50.0;

/// The answer of the budget to a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetStep {
    /// The retry was taken from the budget.
    Allowed,
    /// The retries have used up their share of the traffic; none may be made now.
    Exhausted,
}

/// Allows retries up to a share of the first attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget of `share` retries for each first attempt, from 0 (no retries) to 1.
    pub const fn new(share: f64) -> Self {
        let share = if share.is_finite() {
            share.clamp(0.0, 1.0)
        } else {
            0.0
        };
        let balance = if share > 0.0 { INITIAL_BALANCE } else { 0.0 };
        Self { share, balance }
    }

    /// Sets the share, for instance after a change of the configuration; 0 empties the budget.
    pub const fn set_share(&mut self, share: f64) {
        self.share = Self::new(share).share;
        if self.share == 0.0 {
            self.balance = 0.0;
        }
    }

    /// Counts a first attempt, which adds `share` retries to the budget.
    pub const fn first_attempt(&mut self) {
        self.balance = (self.balance + self.share).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget if it holds one.
    pub const fn retry(&mut self) -> BudgetStep {
        if self.balance < 1.0 {
            return BudgetStep::Exhausted;
        }
        self.balance -= 1.0;
        BudgetStep::Allowed
    }
}
