//! Table of the reports that a process has received.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::message::{Member, MemberState, Role};
use kumquatkeel_types::{DataCentreName, EntryName, Timestamp};

/// Time without a heartbeat after which a child is marked as gone.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(6);

/// Time without a heartbeat after which a child is marked as gone that the platform lists as
/// leaving.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(4);

/// How long the report of a gone process is kept, so that an outdated report does not revive it.
const GONE_RETENTION: Duration = Duration::from_mins(10);

/// The direction in the poll tree from which a report came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOrigin {
    /// From the parent, or from another data centre.
    Upstream,
    /// From a child, about itself or a process below it, or from this process.
    Downstream,
}

/// Result of merging a report into the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The report is new and must be forwarded.
    Updated,
    /// The report has the known version; only its target status, with the load, was copied.
    Unchanged,
    /// A newer report is known; this one was ignored.
    Stale,
}

/// Reports to forward, and the table position up to which they reach.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberUpdates {
    /// Reports that changed after the requested position.
    pub members: Vec<Member>,
    /// The position to request from next time.
    pub position: u64,
}

/// A report, and the position at which it last changed.
#[derive(Debug, Clone)]
struct KnownReport {
    member: Arc<Member>,
    position: u64,
    origin: ReportOrigin,
    updated_at: Timestamp,
}

/// The latest report of each process, with a position that counts the changes.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    reports: BTreeMap<Role, KnownReport>,
    /// Time of the last heartbeat of each child.
    heartbeats: BTreeMap<Role, Timestamp>,
    /// Processes that the platform lists as leaving.
    leaving: BTreeSet<Role>,
    position: u64,
}

impl MemberTable {
    /// Returns the position of the latest change.
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Returns all reports, those of gone processes included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.reports.values().map(|report| &*report.member)
    }

    /// Returns all reports by process; the reports themselves are shared, not copied.
    pub fn snapshot(&self) -> BTreeMap<Role, Arc<Member>> {
        let reports = self.reports.iter();
        reports
            .map(|(role, report)| (role.clone(), report.member.clone()))
            .collect()
    }

    /// Returns the report of a process, if one is known.
    pub fn member(&self, role: &Role) -> Option<&Member> {
        self.reports.get(role).map(|report| &*report.member)
    }

    /// Returns the entries in state [`MemberState::Serving`] with their data centres.
    pub fn serving_entries(&self) -> impl Iterator<Item = (&DataCentreName, &EntryName)> {
        let serving = self.members().filter(|m| m.state == MemberState::Serving);
        serving.filter_map(|m| match &m.role {
            Role::Entry(name) => Some((&m.data_centre, name)),
            Role::Agent(_) => None,
        })
    }

    /// Returns the position at which a process's report last changed; zero if there is none.
    pub fn position_of(&self, role: &Role) -> u64 {
        self.reports.get(role).map_or(0, |report| report.position)
    }

    /// Merges a report, unless a newer one is known.
    pub fn merge(&mut self, member: Member, origin: ReportOrigin, now: Timestamp) -> MergeOutcome {
        let Some(known) = self.reports.get_mut(&member.role) else {
            self.insert(member, origin, now);
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
            if origin == ReportOrigin::Upstream || known.origin == origin {
                return MergeOutcome::Unchanged;
            }
            // First received from upstream; a downstream report must also be forwarded upstream.
            self.insert(member, origin, now);
            return MergeOutcome::Updated;
        }
        // The child may poll another parent now, which reports it. One that still polls this process is
        // recorded again with its poll.
        self.heartbeats.remove(&member.role);
        self.insert(member, origin, now);
        MergeOutcome::Updated
    }

    fn insert(&mut self, member: Member, origin: ReportOrigin, now: Timestamp) {
        self.position += 1;
        let report = KnownReport {
            position: self.position,
            origin,
            updated_at: now,
            member: Arc::new(member),
        };
        self.reports.insert(report.member.role.clone(), report);
    }

    /// Records a heartbeat of a child.
    pub fn record_heartbeat(&mut self, child: &Role, now: Timestamp) {
        self.heartbeats.insert(child.clone(), now);
    }

    /// Sets the processes that the platform lists as leaving.
    ///
    /// The list lags and is only a hint: it shortens the heartbeat timeout of these children.
    pub fn set_leaving(&mut self, leaving: impl IntoIterator<Item = Role>) {
        self.leaving = leaving.into_iter().collect();
    }

    /// Marks children without recent heartbeats as gone, and removes processes gone long ago.
    /// Returns the children newly marked.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Role> {
        let silent = self.heartbeats.iter().filter(|(role, last_heartbeat)| {
            let timeout = if self.leaving.contains(*role) {
                LEAVING_TIMEOUT
            } else {
                HEARTBEAT_TIMEOUT
            };
            now.since(**last_heartbeat) > timeout
        });
        let silent: Vec<_> = silent.map(|(role, _)| role.clone()).collect();
        let mut marked = Vec::new();
        for role in silent {
            self.heartbeats.remove(&role);
            if self.mark_gone(&role, now) {
                marked.push(role);
            }
        }
        self.reports.retain(|_, report| {
            report.member.state != MemberState::Gone
                || now.since(report.updated_at) < GONE_RETENTION
        });
        marked
    }

    /// Marks a process as gone without raising its version; returns whether it was not yet.
    pub fn mark_gone(&mut self, role: &Role, now: Timestamp) -> bool {
        let Some(report) = self.reports.get(role) else {
            return false;
        };
        if report.member.state == MemberState::Gone {
            return false;
        }
        let mut member = Member::clone(&report.member);
        member.state = MemberState::Gone;
        self.insert(member, ReportOrigin::Downstream, now);
        true
    }

    /// Returns the earliest time at which a child may be marked as gone without further heartbeats.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let earliest = self.heartbeats.values().min()?;
        Some(earliest.after(LEAVING_TIMEOUT))
    }

    /// Returns the reports after `position` for a process of this data centre or an agent.
    ///
    /// Agents get only the reports of entries, one of which is their parent.
    pub fn updates_for(&self, position: u64, audience: &Role) -> MemberUpdates {
        let all = !audience.is_agent();
        self.collect(position, |report| all || !report.member.role.is_agent())
    }

    /// Returns the reports after `position` that came from downstream, which a parent or another
    /// data centre does not get elsewhere.
    pub fn downstream_updates(&self, position: u64) -> MemberUpdates {
        self.collect(position, |report| report.origin == ReportOrigin::Downstream)
    }

    fn collect(&self, position: u64, include: impl Fn(&KnownReport) -> bool) -> MemberUpdates {
        let newer = self
            .reports
            .values()
            .filter(|report| report.position > position);
        MemberUpdates {
            members: newer
                .filter(|report| include(report))
                .map(|report| report.member.as_ref().clone())
                .collect(),
            position: self.position,
        }
    }
}
