//! The total demand over all entries.

use std::collections::BTreeMap;

use kumquatkeel_types::message::{DemandReport, ModelDemand};
use kumquatkeel_types::{AdapterName, ModelId};

use crate::placement::Demand;

/// The sum of the entries' reports, an input of a planning round.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DemandTotal {
    /// The demand for each model, including the demand for its adapters.
    pub models: BTreeMap<ModelId, Demand>,
    /// The demand for each adapter.
    pub adapters: BTreeMap<AdapterName, Demand>,
}

impl DemandTotal {
    /// Adds one entry's report.
    pub fn add(&mut self, report: &DemandReport) {
        for demand in &report.models {
            add_to(self.models.entry(demand.model.clone()).or_default(), demand);
            if let Some(adapter) = &demand.adapter {
                add_to(self.adapters.entry(adapter.clone()).or_default(), demand);
            }
        }
    }
}

fn add_to(total: &mut Demand, demand: &ModelDemand) {
    total.rate += demand.rate;
    total.unmet += demand.unmet;
    total.running += f64::from(demand.running);
}
