//! The demand for each model and adapter, as the entries see it.
//!
//! An entry counts its requests as they start and end. The entry that plans the placement of models
//! adds up the reports of all entries.
//!
//! ```
//! use std::time::Duration;
//!
//! use kumquatkeel_core::demand::{DemandKey, DemandMeter};
//! use kumquatkeel_types::{ModelId, Timestamp};
//!
//! let model = ModelId { name: "m".try_into()?, version: "1".try_into()? };
//! let mut meter = DemandMeter::new();
//! meter.started(&DemandKey { model, adapter: None }, Timestamp::ZERO);
//! let report = meter.report(Timestamp::ZERO);
//! assert_eq!(report.models[0].running, 1);
//! # Ok::<(), kumquatkeel_types::NameError>(())
//! ```

mod meter;
mod total;

pub use meter::{DemandKey, DemandMeter};
pub use total::DemandTotal;
