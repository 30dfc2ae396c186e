//! The reports of all processes that one process knows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::message::{Member, MemberState, Role};
use kumquatkeel_types::{DataCentreName, EntryName, Timestamp};

/// Silence after which a child is taken for gone.
const SUSPECT_AFTER: Duration = Duration::from_secs(6);

/// Silence after which a child is taken for gone that the platform's list says is leaving.
const SUSPECT_LEAVING: Duration = Duration::from_secs(4);

/// Time for which a gone process is remembered, so that no old report brings it back.
const REMEMBER_GONE: Duration = Duration::from_mins(10);

/// The side of the tree from which a report came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOrigin {
    /// From the parent, or from another data centre.
    Upstream,
    /// From a child, about itself or about processes below it.
    Downstream,
}

/// What became of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The report is newer and is told on.
    Updated,
    /// The report is the one known; only its loads were taken over.
    Unchanged,
    /// A newer report is known.
    Stale,
}

/// Reports to tell on, and the position up to which they reach.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberUpdates {
    /// The reports.
    pub members: Vec<Member>,
    /// The position.
    pub position: u64,
}

#[derive(Debug, Clone)]
struct Entry {
    member: Arc<Member>,
    position: u64,
    side: ReportOrigin,
    since: Timestamp,
}

/// The reports of all processes that one process knows.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    entries: BTreeMap<Role, Entry>,
    /// When each child was last heard.
    children: BTreeMap<Role, Timestamp>,
    leaving: BTreeSet<Role>,
    position: u64,
}

impl MemberTable {
    /// Returns the position of the latest news.
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Returns all reports.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|e| &*e.member)
    }

    /// Returns all reports by process, without copying them.
    pub fn snapshot(&self) -> BTreeMap<Role, Arc<Member>> {
        let entries = self.entries.iter();
        entries
            .map(|(role, e)| (role.clone(), e.member.clone()))
            .collect()
    }

    /// Returns the report of one process.
    pub fn member(&self, role: &Role) -> Option<&Member> {
        self.entries.get(role).map(|e| &*e.member)
    }

    /// Returns the serving entries with their data centres.
    pub fn serving_entries(&self) -> impl Iterator<Item = (&DataCentreName, &EntryName)> {
        let serving = self.members().filter(|m| m.state == MemberState::Serving);
        serving.filter_map(|m| match &m.role {
            Role::Entry(name) => Some((&m.data_centre, name)),
            Role::Agent(_) => None,
        })
    }

    /// Returns the position at which a process's report last changed; zero when there is none.
    pub fn position_of(&self, role: &Role) -> u64 {
        self.entries.get(role).map_or(0, |e| e.position)
    }

    /// Takes in a report, if it is not older than the one known.
    pub fn merge(&mut self, member: Member, side: ReportOrigin, now: Timestamp) -> MergeOutcome {
        let Some(known) = self.entries.get_mut(&member.role) else {
            self.insert(member, side, now);
            return MergeOutcome::Updated;
        };
        let gone = member.state == MemberState::Gone;
        let known_gone = known.member.state == MemberState::Gone;
        if (member.version, gone) < (known.member.version, known_gone) {
            return MergeOutcome::Stale;
        }
        if (member.version, gone) == (known.member.version, known_gone) {
            if member.target.is_some() {
                Arc::make_mut(&mut known.member)
                    .target
                    .clone_from(&member.target);
            }
            if side == ReportOrigin::Upstream || known.side == side {
                return MergeOutcome::Unchanged;
            }
            // First heard from elsewhere, but it is this side's to tell on.
            self.insert(member, side, now);
            return MergeOutcome::Updated;
        }
        if side == ReportOrigin::Upstream {
            // The child reports through another parent now.
            self.children.remove(&member.role);
        }
        self.insert(member, side, now);
        MergeOutcome::Updated
    }

    fn insert(&mut self, member: Member, side: ReportOrigin, now: Timestamp) {
        self.position += 1;
        let entry = Entry {
            position: self.position,
            side,
            since: now,
            member: Arc::new(member),
        };
        self.entries.insert(entry.member.role.clone(), entry);
    }

    /// Notes that a child was heard.
    pub fn record_heartbeat(&mut self, child: &Role, now: Timestamp) {
        self.children.insert(child.clone(), now);
    }

    /// Takes over which processes the platform's list says are leaving.
    ///
    /// The list lags and is only a hint: it shortens the silence that a child is allowed.
    pub fn set_leaving(&mut self, leaving: impl IntoIterator<Item = Role>) {
        self.leaving = leaving.into_iter().collect();
    }

    /// Marks children as gone that were silent for too long, and forgets those gone long ago.
    /// Returns the children newly marked.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Role> {
        let silent = self.children.iter().filter(|(role, heard)| {
            let limit = if self.leaving.contains(*role) {
                SUSPECT_LEAVING
            } else {
                SUSPECT_AFTER
            };
            now.since(**heard) > limit
        });
        let silent: Vec<_> = silent.map(|(role, _)| role.clone()).collect();
        let mut marked = Vec::new();
        for role in silent {
            self.children.remove(&role);
            if self.mark_gone(&role, now) {
                marked.push(role);
            }
        }
        self.entries.retain(|_, entry| {
            entry.member.state != MemberState::Gone || now.since(entry.since) < REMEMBER_GONE
        });
        marked
    }

    /// Marks a process as gone without raising its version; says whether it was not yet.
    pub fn mark_gone(&mut self, role: &Role, now: Timestamp) -> bool {
        let Some(entry) = self.entries.get(role) else {
            return false;
        };
        if entry.member.state == MemberState::Gone {
            return false;
        }
        let mut member = Member::clone(&entry.member);
        member.state = MemberState::Gone;
        self.insert(member, ReportOrigin::Downstream, now);
        true
    }

    /// Returns when a child is next taken for gone, if it stays silent.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let first = self.children.values().min()?;
        Some(first.after(SUSPECT_LEAVING))
    }

    /// Returns the reports after `position` that a process of this data centre, or an agent,
    /// needs.
    ///
    /// Agents need only the entries, of which one is their parent.
    pub fn updates_for(&self, position: u64, audience: &Role) -> MemberUpdates {
        let everyone = !audience.is_agent();
        self.collect(position, |e| everyone || !e.member.role.is_agent())
    }

    /// Returns the reports from below after `position`: all that a parent or another data centre
    /// can't hear elsewhere.
    pub fn downstream_updates(&self, position: u64) -> MemberUpdates {
        self.collect(position, |e| e.side == ReportOrigin::Downstream)
    }

    fn collect(&self, position: u64, wanted: impl Fn(&Entry) -> bool) -> MemberUpdates {
        let newer = self.entries.values().filter(|e| e.position > position);
        MemberUpdates {
            members: newer
                .filter(|e| wanted(e))
                .map(|e| e.member.as_ref().clone())
                .collect(),
            position: self.position,
        }
    }
}
