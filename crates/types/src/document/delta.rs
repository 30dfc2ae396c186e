//! Differences between two documents, item by item.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{
    Adapter, CallerEntry, Deployment, Model, Operator, Policy, RawDocument, Region, Service, Target,
};
use crate::Revision;
use crate::digest::hash_bytes;

/// One item of a document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A region.
    Region(Region),
    /// A model at one version.
    Model(Model),
    /// An adapter.
    Adapter(Adapter),
    /// A service.
    Service(Service),
    /// A deployment.
    Deployment(Deployment),
    /// A target.
    Target(Target),
    /// A caller.
    Caller(CallerEntry),
    /// An operator.
    Operator(Operator),
    /// The policy.
    Policy(Policy),
}

/// Names one item of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{list}/{name}")]
pub struct ItemKey {
    /// The document's list that holds the item.
    pub list: String,
    /// The item's name within the list.
    pub name: String,
}

impl Item {
    /// Returns the item's key.
    pub fn key(&self) -> ItemKey {
        let (list, name) = match self {
            Self::Region(r) => ("regions", r.name.to_string()),
            Self::Model(m) => ("models", m.id().to_string()),
            Self::Adapter(a) => ("adapters", a.name.to_string()),
            Self::Service(s) => ("services", s.name.to_string()),
            Self::Deployment(d) => ("deployments", d.name.to_string()),
            Self::Target(t) => ("targets", t.name.to_string()),
            Self::Caller(c) => ("callers", c.name.to_string()),
            Self::Operator(o) => ("operators", o.name.to_string()),
            Self::Policy(_) => ("policy", "policy".into()),
        };
        ItemKey {
            list: list.into(),
            name,
        }
    }
}

/// One change of an item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The item is added or replaced.
    Set(Item),
    /// The item is removed.
    Remove(ItemKey),
}

/// The changes that lead from one revision to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision that results.
    pub revision: Revision,
    /// The digest of the document that results.
    pub digest: u64,
    /// The changes, in the order of their keys.
    pub changes: Vec<Change>,
}

impl Delta {
    /// Computes the changes that lead from `old` to `new` at `revision`.
    pub fn between(old: &RawDocument, new: &RawDocument, revision: Revision) -> Self {
        let old = old.items();
        let items = new.items();
        let mut changes: Vec<_> = items
            .iter()
            .filter(|(key, item)| old.get(*key) != Some(*item))
            .map(|(_, item)| Change::Set(item.clone()))
            .collect();
        changes.extend(
            old.keys()
                .filter(|k| !items.contains_key(*k))
                .cloned()
                .map(Change::Remove),
        );
        Self {
            revision,
            digest: new.digest(),
            changes,
        }
    }
}

impl RawDocument {
    /// Returns all items by key.
    pub fn items(&self) -> BTreeMap<ItemKey, Item> {
        let items = (self.regions.iter().cloned().map(Item::Region))
            .chain(self.models.iter().cloned().map(Item::Model))
            .chain(self.adapters.iter().cloned().map(Item::Adapter))
            .chain(self.services.iter().cloned().map(Item::Service))
            .chain(self.deployments.iter().cloned().map(Item::Deployment))
            .chain(self.targets.iter().cloned().map(Item::Target))
            .chain(self.callers.iter().cloned().map(Item::Caller))
            .chain(self.operators.iter().cloned().map(Item::Operator))
            .chain(std::iter::once(Item::Policy(self.policy.clone())));
        items.map(|item| (item.key(), item)).collect()
    }

    /// Builds a document from its items, each list in the order of its keys.
    pub fn from_items(items: impl IntoIterator<Item = Item>) -> Self {
        let mut raw = Self::default();
        for item in items {
            match item {
                Item::Region(r) => raw.regions.push(r),
                Item::Model(m) => raw.models.push(m),
                Item::Adapter(a) => raw.adapters.push(a),
                Item::Service(s) => raw.services.push(s),
                Item::Deployment(d) => raw.deployments.push(d),
                Item::Target(t) => raw.targets.push(t),
                Item::Caller(c) => raw.callers.push(c),
                Item::Operator(o) => raw.operators.push(o),
                Item::Policy(p) => raw.policy = p,
            }
        }
        raw
    }

    /// Returns the document that results from applying `delta`.
    ///
    /// The caller compares [`RawDocument::digest`] with the delta's.
    #[must_use]
    pub fn with_delta(&self, delta: &Delta) -> Self {
        let mut items = self.items();
        for change in &delta.changes {
            match change {
                Change::Set(item) => items.insert(item.key(), item.clone()),
                Change::Remove(key) => items.remove(key),
            };
        }
        Self::from_items(items.into_values())
    }

    /// Returns the digest of the document's items, which does not depend on their order.
    pub fn digest(&self) -> u64 {
        self.items().values().fold(0, |digest: u64, item| {
            let bytes = serde_json::to_vec(item).unwrap_or_default();
            digest.wrapping_add(hash_bytes(bytes))
        })
    }
}
