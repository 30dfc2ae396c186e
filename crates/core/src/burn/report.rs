//! Burn rates and the alerts that follow from them.

use std::time::Duration;

use derive_more::Display;
use kumquatkeel_types::operator::WindowCount;
use serde::{Deserialize, Serialize};

/// The windows of a report, shortest first.
pub(super) const WINDOWS: [Duration; 4] = [
    Duration::from_mins(5),
    Duration::from_mins(30),
    Duration::from_hours(1),
    Duration::from_hours(6),
];

/// An alert and the burn rate that a short and a long window must both reach.
///
/// The windows are given by their indices in [`WINDOWS`].
struct AlertRule {
    alert: Alert,
    short: usize,
    long: usize,
    rate: f64,
}

/// The alerts, most urgent first: a page when an hour spends 2% of a 30-day error budget, a ticket
/// when six hours spend 5%.
const ALERT_RULES: [AlertRule; 2] = [
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

/// The alert of a service: what an operator should do about its burn rates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// No action.
    #[display("ok")]
    None,
    /// Investigate within working hours.
    #[display("ticket")]
    Ticket,
    /// Act at once.
    #[display("page")]
    Page,
}

/// The requests and the burn rate of one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The counts of good and bad requests.
    #[serde(flatten)]
    pub count: WindowCount,
    /// The burn rate: 1 spends the error budget exactly over its period.
    pub rate: f64,
}

/// The burn rates of one service and the alert that follows from them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// The share of requests to be good.
    pub objective: f64,
    /// The windows, shortest first.
    pub windows: Vec<WindowBurn>,
    /// The alert.
    pub alert: Alert,
}

impl Burn {
    /// Computes the burn rates and the alert from counts, shortest window first.
    ///
    /// The counts of several entries can be added up before, window by window.
    pub fn from_counts(objective: f64, counts: impl IntoIterator<Item = WindowCount>) -> Self {
        let windows: Vec<_> = counts
            .into_iter()
            .map(|count| WindowBurn {
                rate: burn_rate(objective, count),
                count,
            })
            .collect();
        let alert = alert_for(&windows);
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

fn alert_for(windows: &[WindowBurn]) -> Alert {
    let reaches = |index: usize, rate: f64| windows.get(index).is_some_and(|w| w.rate >= rate);
    ALERT_RULES
        .iter()
        .find(|rule| reaches(rule.short, rule.rate) && reaches(rule.long, rule.rate))
        .map_or(Alert::None, |rule| rule.alert)
}
