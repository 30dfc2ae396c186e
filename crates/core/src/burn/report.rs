//! Burn rates and the alerts that follow from them.

use std::time::Duration;

use derive_more::Display;
use kumquatkeel_types::operator::WindowCount;
use serde::{Deserialize, Serialize};

/// The windows of a report, the shortest first.
pub(super) const WINDOWS: [Duration; 4] = [
    Duration::from_mins(5),
    Duration::from_mins(30),
    Duration::from_hours(1),
    Duration::from_hours(6),
];

/// The alert of one long and one short window, by their places in [`WINDOWS`].
struct AlertRule {
    alert: Alert,
    short: usize,
    long: usize,
    rate: f64,
}

/// A page at 2% of a 30-day budget in an hour, a ticket at 5% in six hours.
const RULES: [AlertRule; 2] = [
    AlertRule {
        alert: Alert::Page,
        short: 0,
        long: 2,
        rate: 14.4,
    },
    AlertRule {
        alert: Alert::Ticket,
        short: 1,
        long: 3,
        rate: 6.0,
    },
];

/// What an operator should do about a service's burn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Nothing.
    #[display("ok")]
    None,
    /// Look into it during the day.
    #[display("ticket")]
    Ticket,
    /// Act now.
    #[display("page")]
    Page,
}

/// The burn over one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The counts.
    #[serde(flatten)]
    pub count: WindowCount,
    /// The burn rate: 1 spends the error budget exactly over its period.
    pub rate: f64,
}

/// The burn of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// The share of requests that shall be good.
    pub objective: f64,
    /// The windows, the shortest first.
    pub windows: Vec<WindowBurn>,
    /// What to do.
    pub alert: Alert,
}

impl Burn {
    /// Computes the burn from counts, the shortest window first.
    ///
    /// Counts of several entries may be added up window by window before.
    pub fn from_counts(objective: f64, counts: impl IntoIterator<Item = WindowCount>) -> Self {
        let windows: Vec<_> = counts
            .into_iter()
            .map(|count| WindowBurn {
                rate: burn_rate(objective, count),
                count,
            })
            .collect();
        let alert = alert_of(&windows);
        Self {
            objective,
            windows,
            alert,
        }
    }
}

fn burn_rate(objective: f64, count: WindowCount) -> f64 {
    let total = count.good + count.bad;
    let allowed = 1.0 - objective;
    if total == 0 || allowed <= 0.0 {
        return 0.0;
    }
    count.bad as f64 / total as f64 / allowed
}

fn alert_of(windows: &[WindowBurn]) -> Alert {
    let burns = |place: usize, rate: f64| windows.get(place).is_some_and(|w| w.rate >= rate);
    RULES
        .iter()
        .find(|rule| burns(rule.short, rule.rate) && burns(rule.long, rule.rate))
        .map_or(Alert::None, |rule| rule.alert)
}
