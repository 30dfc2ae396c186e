//! The network between data centres.

use std::collections::BTreeSet;
use std::time::Duration;

use kumquatkeel_types::document::Document;

/// One way within a data centre.
const WITHIN: Duration = Duration::from_micros(250);
/// One way between data centres of a region.
const BETWEEN_CENTRES: Duration = Duration::from_micros(1_200);
/// One way between regions.
const BETWEEN_REGIONS: Duration = Duration::from_millis(30);

/// Latencies and cuts between data centres, by their place in the document.
#[derive(Debug, Clone)]
pub(super) struct Network {
    regions: Vec<usize>,
    cut_centres: BTreeSet<usize>,
    cut_link: bool,
    link_bytes: u64,
}

impl Network {
    /// Makes the network of a document's data centres.
    pub(super) fn new(document: &Document) -> Self {
        let regions = document.regions.iter().enumerate();
        Self {
            regions: regions
                .flat_map(|(i, region)| region.data_centres.iter().map(move |_| i))
                .collect(),
            cut_centres: BTreeSet::new(),
            cut_link: false,
            link_bytes: 0,
        }
    }

    /// Cuts a data centre off from the others, or joins it again.
    pub(super) fn cut_centre(&mut self, centre: usize, cut: bool) {
        if cut {
            self.cut_centres.insert(centre);
        } else {
            self.cut_centres.remove(&centre);
        }
    }

    /// Cuts the regional link, or joins it again.
    pub(super) const fn cut_link(&mut self, cut: bool) {
        self.cut_link = cut;
    }

    /// Says whether callers reach the entry of a data centre.
    pub(super) fn is_reachable(&self, centre: usize) -> bool {
        !self.cut_centres.contains(&centre)
    }

    /// Returns the time one way, or none while the way is cut.
    pub(super) fn latency(&self, from: usize, to: usize) -> Option<Duration> {
        if from == to {
            return Some(WITHIN);
        }
        if !self.is_reachable(from) || !self.is_reachable(to) {
            return None;
        }
        if self.crosses(from, to) {
            return (!self.cut_link).then_some(BETWEEN_REGIONS);
        }
        Some(BETWEEN_CENTRES)
    }

    /// Counts bytes that pass from one data centre to another.
    pub(super) fn count(&mut self, from: usize, to: usize, bytes: u64) {
        if self.crosses(from, to) && self.latency(from, to).is_some() {
            self.link_bytes += bytes;
        }
    }

    /// Returns the bytes over the regional link so far.
    pub(super) const fn link_bytes(&self) -> u64 {
        self.link_bytes
    }

    fn crosses(&self, from: usize, to: usize) -> bool {
        self.regions[from] != self.regions[to]
    }
}
