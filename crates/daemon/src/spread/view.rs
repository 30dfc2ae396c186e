//! The view of the configuration and of the other processes, for a daemon's components.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kumquatkeel_types::document::{Document, RawDocument};
use kumquatkeel_types::message::{Member, MemberState, Role};
use kumquatkeel_types::{DataCentreName, EntryName, Revision};

/// A consistent view of the configuration in force and of all processes.
#[derive(Debug, Clone)]
pub struct SharedView {
    /// The configuration's revision; zero before the first.
    pub revision: Revision,
    /// The configuration; empty before the first.
    pub document: Arc<Document>,
    /// The latest report of each process.
    pub members: Arc<BTreeMap<Role, Arc<Member>>>,
    /// The data centres that are unreachable at present.
    pub unreachable: Arc<BTreeSet<DataCentreName>>,
    /// Whether a newer incarnation runs under this process's name; this process must stop.
    pub superseded: bool,
}

impl SharedView {
    /// Returns the view of a daemon that has no configuration and knows no other process.
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

    /// Returns whether there is a configuration, so that the daemon can serve.
    pub fn is_ready(&self) -> bool {
        self.revision > Revision::default()
    }

    /// Returns the report of a process that takes new work and whose data centre is reachable;
    /// `None` otherwise.
    pub fn serving(&self, role: &Role) -> Option<&Member> {
        let member = self.members.get(role)?;
        let serves = member.state == MemberState::Serving;
        (serves && !self.unreachable.contains(&member.data_centre)).then_some(member)
    }

    /// Returns the entries that take new work and whose data centre is reachable.
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
