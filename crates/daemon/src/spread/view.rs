//! What a daemon's parts see of the configuration and of the other processes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kumquatkeel_types::document::{Document, RawDocument};
use kumquatkeel_types::message::{Member, MemberState, Role};
use kumquatkeel_types::{DataCentreName, EntryName, Revision};

/// The configuration in force and the processes, at one moment.
#[derive(Debug, Clone)]
pub struct SharedView {
    /// The configuration's revision; zero before the first.
    pub revision: Revision,
    /// The configuration; empty before the first.
    pub document: Arc<Document>,
    /// The latest report of each process.
    pub members: Arc<BTreeMap<Role, Arc<Member>>>,
    /// The data centres that can't be reached at present.
    pub unreachable: Arc<BTreeSet<DataCentreName>>,
    /// Whether another process has this one's name and a later life; this one must stop.
    pub superseded: bool,
}

impl SharedView {
    /// Makes the view of a daemon that knows nothing yet.
    pub fn empty() -> Self {
        let document = Document::try_from(RawDocument::default());
        Self {
            revision: Revision::default(),
            document: Arc::new(document.expect("the empty document has no faults")),
            members: Arc::default(),
            unreachable: Arc::default(),
            superseded: false,
        }
    }

    /// Says whether there is a configuration, so that the daemon can serve.
    pub fn is_ready(&self) -> bool {
        self.revision > Revision::default()
    }

    /// Returns the report of a process that takes new work and can be reached.
    pub fn serving(&self, role: &Role) -> Option<&Member> {
        let member = self.members.get(role)?;
        let serves = member.state == MemberState::Serving;
        (serves && !self.unreachable.contains(&member.data_centre)).then_some(member)
    }

    /// Returns the entries that take new work and can be reached.
    pub fn serving_entries(&self) -> impl Iterator<Item = (&EntryName, &Member)> {
        self.members.values().filter_map(|m| match &m.role {
            Role::Entry(name) => self.serving(&m.role).map(|member| (name, member)),
            Role::Agent(_) => None,
        })
    }

    /// Returns the processes that are not gone and work from an older revision than `revision`.
    pub fn lagging(&self, revision: Revision) -> impl Iterator<Item = &Member> {
        let members = self.members.values().map(|m| &**m);
        members.filter(move |m| m.state != MemberState::Gone && m.revision < revision)
    }
}
