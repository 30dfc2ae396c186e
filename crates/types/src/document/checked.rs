//! The validated document, with indexes for look-ups by name.

use std::collections::BTreeMap;

use derive_more::Deref;

use super::{Adapter, Deployment, Faults, Model, RawDocument, Service, Target, check};
use crate::{AdapterName, DataCentreName, ModelId, ModelName, RegionName, ServiceName, TargetName};

/// A model or adapter that callers can name in the `model` field of a request, as one deployment
/// serves it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The model at the version that the deployment serves.
    pub model: ModelId,
    /// The adapter, if the name is an adapter's.
    pub adapter: Option<AdapterName>,
    /// The service that the deployment serves.
    pub service: ServiceName,
    /// The deployment's priority, from 0 (first) to 9 (last).
    pub priority: u8,
}

/// A document that passed all checks; see [`RawDocument`] for its fields.
#[derive(Debug, Clone, Deref)]
pub struct Document {
    #[deref]
    raw: RawDocument,
    regions: BTreeMap<DataCentreName, RegionName>,
    models: BTreeMap<ModelId, usize>,
    adapters: BTreeMap<AdapterName, usize>,
    services: BTreeMap<ServiceName, usize>,
    targets: BTreeMap<TargetName, usize>,
    offers: BTreeMap<String, Vec<Offer>>,
}

impl Document {
    /// Returns the document as the operator wrote it.
    pub const fn raw(&self) -> &RawDocument {
        &self.raw
    }

    /// Returns the region of a data centre, or `None` if the document does not list it.
    pub fn region_of(&self, data_centre: &DataCentreName) -> Option<&RegionName> {
        self.regions.get(data_centre)
    }

    /// Returns whether two data centres are in the same region.
    pub fn same_region(&self, a: &DataCentreName, b: &DataCentreName) -> bool {
        self.region_of(a).is_some() && self.region_of(a) == self.region_of(b)
    }

    /// Returns the model with this name and version.
    pub fn model(&self, id: &ModelId) -> Option<&Model> {
        self.models.get(id).map(|&i| &self.raw.models[i])
    }

    /// Returns the adapter with this name.
    pub fn adapter(&self, name: &AdapterName) -> Option<&Adapter> {
        self.adapters.get(name).map(|&i| &self.raw.adapters[i])
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name).map(|&i| &self.raw.services[i])
    }

    /// Returns the target with this name.
    pub fn target(&self, name: &TargetName) -> Option<&Target> {
        self.targets.get(name).map(|&i| &self.raw.targets[i])
    }

    /// Returns the offers of a model or adapter, in order of deployment priority; empty for an
    /// unknown name.
    pub fn offers(&self, model: impl AsRef<str>) -> &[Offer] {
        self.offers.get(model.as_ref()).map_or(&[], Vec::as_slice)
    }

    /// Returns every name that callers may use in the `model` field, with its offers.
    pub fn all_offers(&self) -> impl Iterator<Item = (&str, &[Offer])> {
        self.offers
            .iter()
            .map(|(name, offers)| (name.as_str(), offers.as_slice()))
    }

    /// Returns the deployments that serve a model, at any version.
    pub fn deployments_of<'a>(
        &'a self,
        model: &'a ModelName,
    ) -> impl Iterator<Item = &'a Deployment> {
        self.raw
            .deployments
            .iter()
            .filter(move |d| d.models.iter().any(|served| served.name == *model))
    }
}

impl TryFrom<RawDocument> for Document {
    type Error = Faults;

    fn try_from(raw: RawDocument) -> Result<Self, Faults> {
        let faults = check::find_faults(&raw);
        if !faults.is_empty() {
            return Err(faults);
        }
        let regions = raw
            .regions
            .iter()
            .flat_map(|r| r.data_centres.iter().map(|dc| (dc.clone(), r.name.clone())))
            .collect();
        Ok(Self {
            regions,
            models: raw
                .models
                .iter()
                .enumerate()
                .map(|(i, m)| (m.id(), i))
                .collect(),
            adapters: raw
                .adapters
                .iter()
                .enumerate()
                .map(|(i, a)| (a.name.clone(), i))
                .collect(),
            services: raw
                .services
                .iter()
                .enumerate()
                .map(|(i, s)| (s.name.clone(), i))
                .collect(),
            targets: raw
                .targets
                .iter()
                .enumerate()
                .map(|(i, t)| (t.name.clone(), i))
                .collect(),
            offers: build_offers(&raw),
            raw,
        })
    }
}

fn build_offers(raw: &RawDocument) -> BTreeMap<String, Vec<Offer>> {
    let mut offers: BTreeMap<String, Vec<Offer>> = BTreeMap::new();
    for deployment in &raw.deployments {
        for served in &deployment.models {
            let offer = Offer {
                model: served.id(),
                adapter: None,
                service: deployment.service.clone(),
                priority: deployment.priority,
            };
            offers
                .entry(served.name.as_str().into())
                .or_default()
                .push(offer);
        }
        for name in &deployment.adapters {
            let Some(adapter) = raw.adapters.iter().find(|a| a.name == *name) else {
                continue;
            };
            let Some(served) = deployment.models.iter().find(|m| m.name == adapter.model) else {
                continue;
            };
            let offer = Offer {
                model: served.id(),
                adapter: Some(name.clone()),
                service: deployment.service.clone(),
                priority: deployment.priority,
            };
            offers.entry(name.as_str().into()).or_default().push(offer);
        }
    }
    for list in offers.values_mut() {
        list.sort_by_key(|offer| offer.priority);
    }
    offers
}
