//! The state of a hub: the configuration, the member reports and the health of the sources.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::member::{Echo, MemberTable, MergeOutcome, OwnReport, ReportOrigin};
use kumquatkeel_core::spread::{Advance, ConfigLog};
use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::{ConfigUpdate, Member, MemberState, PollReply, PollRequest, Role};
use kumquatkeel_types::{DataCentreName, Timestamp};
use log::{error, info, warn};

use super::SharedView;
use super::failing::Failing;
use super::uplink::{Uplink, UplinkMark};

/// Time without contact to a data centre after which the first relay lists it as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(10);

/// The state of a [`super::Hub`], under its lock.
#[derive(Debug)]
pub(super) struct HubState {
    pub(super) log: ConfigLog,
    pub(super) table: MemberTable,
    pub(super) own: OwnReport,
    pub(super) document: Arc<Document>,
    /// Whether the daemon is a relay.
    pub(super) relays: bool,
    /// Whether the daemon is the first relay of its data centre.
    pub(super) first: bool,
    /// The entry of its data centre that the daemon polls, or of another one if it is no relay; `None`
    /// before the first reply. It expects heartbeats of the daemon.
    pub(super) parent: Option<SocketAddr>,
    /// Whether a newer incarnation runs under the daemon's name.
    pub(super) superseded: bool,
    /// The unreachable data centres, as found by the first relay or told by the parent.
    pub(super) unreachable: Arc<BTreeSet<DataCentreName>>,
    pub(super) failing: Failing,
    /// Time of the last poll or reply from each data centre.
    pub(super) contacts: BTreeMap<DataCentreName, Timestamp>,
}

impl HubState {
    pub(super) fn new(own: Member, now: Timestamp) -> Self {
        let mut table = MemberTable::default();
        table.merge(own.clone(), ReportOrigin::Downstream, now);
        Self {
            log: ConfigLog::default(),
            table,
            own: OwnReport::new(own),
            document: SharedView::empty().document,
            relays: false,
            first: false,
            parent: None,
            superseded: false,
            unreachable: Arc::default(),
            failing: Failing::default(),
            contacts: BTreeMap::new(),
        }
    }

    /// Changes the daemon's own report; returns whether its version was raised.
    pub(super) fn update_own(
        &mut self,
        change: impl FnOnce(&mut OwnReport),
        now: Timestamp,
    ) -> bool {
        change(&mut self.own);
        let member = self.own.member().clone();
        self.table.merge(member, ReportOrigin::Downstream, now) == MergeOutcome::Updated
    }

    /// Applies a configuration update to the log and, if it is newer, puts it in force.
    pub(super) fn advance(&mut self, update: &ConfigUpdate, now: Timestamp) -> Advance {
        let advance = self.log.advance(update);
        match advance {
            Advance::Advanced(_) => self.put_in_force(now),
            Advance::Gap | Advance::DigestMismatch => {
                warn!(target: "spread", "spread: configuration update dropped: {advance}");
            }
            Advance::Current | Advance::Stale => {}
        }
        advance
    }

    fn put_in_force(&mut self, now: Timestamp) {
        let Some(current) = self.log.current() else {
            return;
        };
        let revision = current.revision;
        match Document::try_from(current.document.as_ref().clone()) {
            Ok(document) => {
                info!(target: "spread", "spread: revision {revision} is in force");
                self.document = Arc::new(document);
                self.update_own(|own| own.set_revision(revision), now);
            }
            Err(faults) => {
                error!(target: "spread", "spread: revision {revision} is invalid and not put in force: {faults}");
            }
        }
    }

    /// Merges reports into the member table; returns whether any changed it.
    pub(super) fn merge_all(
        &mut self,
        members: impl IntoIterator<Item = Member>,
        origin: ReportOrigin,
        now: Timestamp,
    ) -> bool {
        let mut changed = false;
        for member in members {
            if member.role == self.own.member().role {
                changed |= self.on_echo(&member, now);
            } else {
                changed |= self.table.merge(member, origin, now) == MergeOutcome::Updated;
            }
        }
        changed
    }

    /// Handles a report about this daemon from another process.
    ///
    /// A false report of its end is refuted by a newer own report, so the table never lists this
    /// daemon as gone.
    fn on_echo(&mut self, member: &Member, now: Timestamp) -> bool {
        match self.own.on_echo(member) {
            Echo::Known => false,
            Echo::Refuted => {
                info!(target: "spread", "spread: another process reports this one as gone; refuting");
                self.update_own(|_| {}, now)
            }
            Echo::Superseded => {
                error!(target: "spread", "spread: a newer incarnation runs under the name of this process");
                self.superseded = true;
                true
            }
        }
    }

    /// Merges the reports of a poll request; returns whether the state changed.
    pub(super) fn apply_request(&mut self, request: &PollRequest, now: Timestamp) -> bool {
        let member = &request.member;
        let centre = &member.data_centre;
        let own = &self.own.member().data_centre;
        let origin = if centre == own || member.role.is_agent() {
            ReportOrigin::Downstream
        } else {
            ReportOrigin::Upstream
        };
        self.contacts.insert(centre.clone(), now);
        self.failing.heard(member.address, now);
        let mut changed = false;
        if !request.same_target || self.knows(member) {
            changed |= self.merge_all([member.clone()], origin, now);
        }
        let known = self.table.member(&member.role);
        let alive = known.is_some_and(|report| report.state != MemberState::Gone);
        if alive && origin == ReportOrigin::Downstream && self.knows(member) {
            self.table.record_heartbeat(&member.role, now);
        }
        changed |= self.merge_all(request.reports.iter().cloned(), origin, now);
        changed
    }

    /// Returns whether the table holds this version of the report.
    fn knows(&self, member: &Member) -> bool {
        let known = self.table.member(&member.role);
        known.is_some_and(|report| report.version == member.version)
    }

    /// Applies the reply to a poll; returns whether the state changed.
    pub(super) fn apply_reply(
        &mut self,
        reply: PollReply,
        uplink: &mut Uplink,
        mark: &UplinkMark,
        now: Timestamp,
    ) -> bool {
        self.failing.heard(mark.peer, now);
        if let Some(centre) = &mark.centre {
            self.contacts.insert(centre.clone(), now);
        }
        let advance = self.advance(&reply.config, now);
        uplink.apply_reply(&reply, mark, advance);
        let mut changed = matches!(advance, Advance::Advanced(_));
        if !self.first && mark.parent {
            let unreachable: BTreeSet<_> = reply.unreachable.into_iter().collect();
            changed |= unreachable != *self.unreachable;
            self.unreachable = Arc::new(unreachable);
        }
        changed |= self.merge_all(reply.members, ReportOrigin::Upstream, now);
        changed
    }

    /// Marks silent processes as gone and updates the unreachable data centres; returns whether the
    /// state changed.
    pub(super) fn tick(&mut self, now: Timestamp) -> bool {
        let mut gone = self.table.expire(now);
        let mut changed = self.failing.tick(now);
        gone.extend(self.mark_silent_entries(now));
        for role in &gone {
            warn!(target: "spread", "spread: {} does not respond and is marked as gone", role.as_ref());
        }
        changed |= !gone.is_empty();
        if self.first {
            let unreachable = self.silent_centres(now);
            changed |= unreachable != *self.unreachable;
            self.unreachable = Arc::new(unreachable);
        }
        changed
    }

    /// Marks the entries of the own data centre as gone that have not answered this daemon.
    ///
    /// Entries of other data centres may be cut off only: their data centre is listed as
    /// unreachable instead.
    fn mark_silent_entries(&mut self, now: Timestamp) -> Vec<Role> {
        let members = self.table.members();
        let alive = members.filter(|m| !m.role.is_agent() && m.state != MemberState::Gone);
        let alive: Vec<_> = alive.collect();
        let addresses = alive.iter().map(|m| m.address).collect();
        let own = &self.own.member().data_centre;
        let silent = self.failing.gone(now);
        let silent = alive
            .iter()
            .filter(|m| silent.contains(&m.address) && m.data_centre == *own);
        let mut roles: Vec<_> = silent.map(|m| m.role.clone()).collect();
        self.failing.keep_only(&addresses);
        roles.retain(|role| self.table.mark_gone(role, now));
        roles
    }

    /// Returns the other data centres without contact for [`UNREACHABLE_AFTER`].
    fn silent_centres(&mut self, now: Timestamp) -> BTreeSet<DataCentreName> {
        let own = &self.own.member().data_centre;
        let alive = self
            .table
            .members()
            .filter(|m| m.state != MemberState::Gone && m.data_centre != *own);
        let centres: BTreeSet<_> = alive.map(|m| m.data_centre.clone()).collect();
        let contacts = &mut self.contacts;
        let silent = centres.into_iter().filter(|centre| {
            let last = contacts.entry(centre.clone()).or_insert(now);
            now.since(*last) > UNREACHABLE_AFTER
        });
        silent.collect()
    }

    /// Returns the view that is published to the daemon's components.
    pub(super) fn view(&self) -> SharedView {
        SharedView {
            revision: self.own.member().revision,
            document: self.document.clone(),
            members: Arc::new(self.table.snapshot()),
            unreachable: self.unreachable.clone(),
            superseded: self.superseded,
        }
    }
}
