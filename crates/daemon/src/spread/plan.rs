//! Which sources a daemon polls, derived from the poll tree and the health of the entries.

use std::net::SocketAddr;

use kumquatkeel_core::spread::{PollTree, Upstream};
use kumquatkeel_types::message::{Member, Role};
use kumquatkeel_types::{DataCentreName, EntryName};

use super::state::HubState;

/// Most entries of a group that are tried in turn.
const MAX_CANDIDATES: usize = 8;

/// An entry to poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Its data centre; `None` for an address from the settings or the store.
    pub data_centre: Option<DataCentreName>,
}

/// The sources from which a daemon gets its updates.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Whether the daemon is a relay, which watches the store.
    pub store: bool,
    /// Whether the daemon is the first relay of its data centre, which polls the other data centres.
    pub first: bool,
    /// The groups of sources; one entry of each is polled, and the next one when it fails.
    pub groups: Vec<Vec<Peer>>,
}

/// Derives a daemon's plan from the entries that it knows to be serving.
pub(super) fn plan_of(state: &HubState) -> Plan {
    let own = state.own.member();
    let serving = state
        .table
        .serving_entries()
        .filter(|(centre, _)| !state.unreachable.contains(*centre) || state.relays)
        .filter(|(_, entry)| !is_excluded(state, entry));
    let mut first = false;
    let upstream = match &own.role {
        Role::Entry(name) => {
            let me = std::iter::once((&own.data_centre, name));
            let others = serving.filter(|(_, entry)| *entry != name);
            let tree = PollTree::new(others.chain(me));
            first = tree.relays(&own.data_centre).first() == Some(name);
            tree.upstream_of_entry(&own.data_centre, name)
        }
        Role::Agent(name) => PollTree::new(serving).upstream_of_agent(&own.data_centre, name),
    };
    match upstream {
        Upstream::Store { groups } => Plan {
            store: true,
            first,
            groups: groups.iter().map(|g| peers_of(state, g)).collect(),
        },
        Upstream::Entries(entries) => Plan {
            store: false,
            first,
            groups: vec![peers_of(state, &entries)],
        },
        Upstream::Unavailable => Plan::default(),
    }
}

/// Returns whether an entry is left out because it does not answer this daemon.
fn is_excluded(state: &HubState, entry: &EntryName) -> bool {
    let member = state.table.member(&Role::Entry(entry.clone()));
    member.is_some_and(|m| state.failing.is_excluded(m.address))
}

fn peers_of(state: &HubState, entries: &[EntryName]) -> Vec<Peer> {
    let members = entries.iter().filter_map(|name| {
        let role = Role::Entry(name.clone());
        state.table.member(&role).map(Peer::from)
    });
    members.take(MAX_CANDIDATES).collect()
}

impl From<&Member> for Peer {
    fn from(member: &Member) -> Self {
        Self {
            address: member.address,
            data_centre: Some(member.data_centre.clone()),
        }
    }
}
