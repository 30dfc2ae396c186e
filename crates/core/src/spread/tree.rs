//! The poll tree of each data centre, in rendezvous order.

use kumquatkeel_types::digest::rendezvous;
use kumquatkeel_types::{DataCentreName, EntryName};

/// Number of entries in each data centre that watch the store.
pub const RELAYS_PER_CENTRE: usize = 2;

/// Number of entries below the relays that poll the same entry.
pub const FAN_OUT: usize = 4;

/// The source from which a process receives updates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Upstream {
    /// The process is a relay: it watches the store and polls one entry of each group.
    Store {
        /// The other relays of its data centre and, for the first relay, the entries of each other
        /// data centre. Each group lists the preferred entry first.
        groups: Vec<Vec<EntryName>>,
    },
    /// The process polls the first of these entries that responds.
    Entries(Vec<EntryName>),
    /// No live entry is known.
    Unavailable,
}

/// The live entries of each data centre in rendezvous order.
///
/// The first [`RELAYS_PER_CENTRE`] entries are relays. Every other entry polls only entries before
/// it in the order. The order of two entries does not depend on which others are alive, so entries
/// with different views never form a poll cycle.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PollTree {
    centres: Vec<Centre>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Centre {
    name: DataCentreName,
    entries: Vec<EntryName>,
}

impl PollTree {
    /// Builds the trees from the live entries.
    pub fn new<'a>(live: impl IntoIterator<Item = (&'a DataCentreName, &'a EntryName)>) -> Self {
        let mut by_centre = std::collections::BTreeMap::<_, Vec<_>>::new();
        for (centre, entry) in live {
            by_centre.entry(centre).or_default().push(entry);
        }
        let centres = by_centre.into_iter().map(|(name, entries)| Centre {
            name: name.clone(),
            entries: rendezvous(name.as_str(), entries)
                .into_iter()
                .cloned()
                .collect(),
        });
        Self {
            centres: centres.collect(),
        }
    }

    /// Returns the relays of a data centre, the preferred one first; empty without live entries.
    pub fn relays(&self, centre: &DataCentreName) -> &[EntryName] {
        let entries = self.entries(centre);
        &entries[..entries.len().min(RELAYS_PER_CENTRE)]
    }

    /// Returns the upstream of an entry of a data centre.
    ///
    /// An entry that is not among the live entries is treated like an agent.
    pub fn upstream_of_entry(&self, centre: &DataCentreName, entry: &EntryName) -> Upstream {
        let entries = self.entries(centre);
        let Some(rank) = entries.iter().position(|e| e == entry) else {
            return self.upstream_of_non_member(centre, entry.as_str());
        };
        if rank < RELAYS_PER_CENTRE {
            return Upstream::Store {
                groups: self.poll_groups(centre, rank),
            };
        }
        let parent = (rank - RELAYS_PER_CENTRE) / FAN_OUT;
        let before = entries[..rank].iter().enumerate();
        let mut candidates: Vec<_> = before.collect();
        candidates.sort_by_key(|(i, _)| (i.abs_diff(parent), *i));
        Upstream::Entries(candidates.into_iter().map(|(_, e)| e.clone()).collect())
    }

    /// Returns the upstream of an agent: the entries of its own data centre, then all others, each
    /// in rendezvous order for the agent.
    pub fn upstream_of_agent(&self, centre: &DataCentreName, agent: impl AsRef<str>) -> Upstream {
        self.upstream_of_non_member(centre, agent.as_ref())
    }

    /// Returns the upstream of a process outside the tree: all live entries, those of its own data
    /// centre first.
    fn upstream_of_non_member(&self, centre: &DataCentreName, name: &str) -> Upstream {
        let own = rendezvous(name, self.entries(centre));
        let others = self.centres.iter().filter(|c| c.name != *centre);
        let others = others.flat_map(|c| &c.entries);
        let candidates: Vec<_> = own
            .into_iter()
            .chain(rendezvous(name, others))
            .cloned()
            .collect();
        if candidates.is_empty() {
            Upstream::Unavailable
        } else {
            Upstream::Entries(candidates)
        }
    }

    /// Returns the groups that the relay with this rank polls.
    fn poll_groups(&self, centre: &DataCentreName, rank: usize) -> Vec<Vec<EntryName>> {
        let mut siblings = self.relays(centre).to_vec();
        siblings.remove(rank);
        let others = self
            .centres
            .iter()
            .filter(|c| c.name != *centre && rank == 0);
        let mut groups: Vec<_> = others.map(|c| c.entries.clone()).collect();
        if !siblings.is_empty() {
            groups.push(siblings);
        }
        groups
    }

    fn entries(&self, centre: &DataCentreName) -> &[EntryName] {
        let found = self.centres.iter().find(|c| c.name == *centre);
        found.map_or(&[], |c| &c.entries)
    }
}
