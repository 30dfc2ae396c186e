//! Differences between two revisions of the document, item by item.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{
    Adapter, CallerEntry, Deployment, Model, Operator, Policy, RawDocument, Region, Service, Target,
};
use crate::Revision;
use crate::digest::hash_bytes;

/// An item of a document, as it is set by a [`Change`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A region with its data centres.
    Region(Region),
    /// A base model at one version.
    Model(Model),
    /// An adapter on a base model.
    Adapter(Adapter),
    /// A service with its limits.
    Service(Service),
    /// A deployment of models and adapters.
    Deployment(Deployment),
    /// A target and its agent.
    Target(Target),
    /// A caller and its permissions.
    Caller(CallerEntry),
    /// An operator's permission.
    Operator(Operator),
    /// The policy, of which a document has exactly one.
    Policy(Policy),
}

/// The key of an item, unique within a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{list}/{name}")]
pub struct ItemKey {
    /// The field of [`RawDocument`] that holds the item, such as `models`.
    pub list: String,
    /// The item's name, unique within the list; for a model, name and version.
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

/// A change of one item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds the item, or replaces the item with the same key.
    Set(Item),
    /// Removes the item with this key.
    Remove(ItemKey),
}

/// The changes from one revision of the document to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The resulting revision.
    pub revision: Revision,
    /// The digest of the resulting document; see [`RawDocument::digest`].
    pub digest: u64,
    /// The items set, then the items removed, each in the order of their keys.
    pub changes: Vec<Change>,
}

impl Delta {
    /// Computes the changes from `old` to `new`, where `revision` is the revision of `new`.
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
    /// The result is not verified: compare its [`RawDocument::digest`] with the delta's.
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

    /// Returns a digest of the document's items that does not depend on their order.
    pub fn digest(&self) -> u64 {
        self.items().values().fold(0, |digest: u64, item| {
            let bytes = serde_json::to_vec(item).unwrap_or_default();
            digest.wrapping_add(hash_bytes(bytes))
        })
    }
}
