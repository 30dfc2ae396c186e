//! Burn rates: how fast a service spends its error budget, over several windows.
//!
//! A request is good when it was answered whole within its limits. The burn rate over a window is
//! the share of bad requests divided by the share that the objective allows: at rate 1 the budget
//! lasts exactly its period. An alert needs a long and a short window above its rate: the long one
//! makes it significant, the short one lets it end soon after the failures do.
//!
//! ```
//! use kumquatkeel_core::burn::{Alert, BurnMeter};
//! use kumquatkeel_types::Timestamp;
//!
//! let mut meter = BurnMeter::new();
//! meter.record(Timestamp::ZERO, false);
//! let burn = meter.report(0.95, Timestamp::from_millis(1_000));
//! assert_eq!(burn.alert, Alert::Page);
//! ```

mod meter;
mod report;

pub use meter::BurnMeter;
pub use report::{Alert, Burn, WindowBurn};
