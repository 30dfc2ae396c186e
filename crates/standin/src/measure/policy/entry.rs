//! An entry.

use std::collections::BTreeMap;

use kumquatkeel_core::admission::{AdmissionController, ServiceLimits};
use kumquatkeel_core::retry::RetryBudget;
use kumquatkeel_core::routing::{FleetView, Router};
use kumquatkeel_types::{DataCentreName, EntryName, ModelId, Revision, ServiceName, Timestamp};

use super::workload::Site;

/// What an entry counts of a model's requests between two rounds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Count {
    /// Requests that arrived.
    pub(super) arrived: u32,
    /// Requests that were answered late or not run.
    pub(super) unmet: u32,
    /// Requests in progress.
    pub(super) running: u32,
}

/// An entry with its decisions.
#[derive(Debug)]
pub(super) struct Entry {
    /// The entry's name.
    pub(super) name: EntryName,
    /// The entry's data centre, by its place in the document.
    pub(super) centre: usize,
    /// The choice of targets.
    pub(super) router: Router,
    /// The gates before the services.
    pub(super) controllers: BTreeMap<ServiceName, AdmissionController>,
    /// The services' retry budgets.
    pub(super) budgets: BTreeMap<ServiceName, RetryBudget>,
    /// Counts since the last round, by model.
    pub(super) counts: BTreeMap<ModelId, Count>,
}

impl Entry {
    /// Starts the entry of a data centre; none when the routing policy isn't known.
    pub(super) fn new(site: &Site, centre: usize, home: &DataCentreName) -> Option<Self> {
        let now = Timestamp::ZERO;
        let document = &site.document;
        let view = FleetView::new(home.clone(), Revision(1), document.clone());
        let limits = |s: &kumquatkeel_types::document::Service| ServiceLimits {
            queue: s.queue as usize,
            rate: s.rate.map(f64::from),
        };
        let services = document.services.iter();
        Some(Self {
            name: EntryName::try_from(format!("entry-{centre}")).ok()?,
            centre,
            router: Router::new(view, now).ok()?,
            controllers: services
                .clone()
                .map(|s| (s.name.clone(), AdmissionController::new(limits(s), now)))
                .collect(),
            budgets: services
                .map(|s| (s.name.clone(), RetryBudget::new(s.retry_share)))
                .collect(),
            counts: BTreeMap::new(),
        })
    }

    /// Returns the counts of a model.
    pub(super) fn count(&mut self, model: &ModelId) -> &mut Count {
        self.counts.entry(model.clone()).or_default()
    }
}
