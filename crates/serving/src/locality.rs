//! Where a process runs.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The data centre that a process runs in, and the region of each data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Locality {
    /// The data centre that the process runs in.
    pub data_centre: Arc<str>,
    /// The region of each data centre.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
}

impl Locality {
    /// Returns whether a data centre is in another region; one of unknown region counts as remote
    /// unless it is the process's own.
    pub fn is_remote(&self, data_centre: &str) -> bool {
        let region = |name: &str| self.regions.get(name);
        match (region(&self.data_centre), region(data_centre)) {
            (Some(own), Some(other)) => own != other,
            _ => *self.data_centre != *data_centre,
        }
    }
}
