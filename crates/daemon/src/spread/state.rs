//! What a daemon knows of the configuration and of the other processes.

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

/// Silence of a whole data centre after which relays take it for unreachable.
const CUT_AFTER: Duration = Duration::from_secs(10);

/// The state behind a [`super::Hub`].
#[derive(Debug)]
pub(super) struct HubState {
    pub(super) log: ConfigLog,
    pub(super) table: MemberTable,
    pub(super) own: OwnReport,
    pub(super) document: Arc<Document>,
    pub(super) relays: bool,
    pub(super) first: bool,
    pub(super) parent: Option<SocketAddr>,
    pub(super) superseded: bool,
    pub(super) unreachable: Arc<BTreeSet<DataCentreName>>,
    pub(super) failing: Failing,
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

    /// Changes the daemon's own report, and says whether its version was raised.
    pub(super) fn update_own(
        &mut self,
        change: impl FnOnce(&mut OwnReport),
        now: Timestamp,
    ) -> bool {
        change(&mut self.own);
        let member = self.own.member().clone();
        self.table.merge(member, ReportOrigin::Downstream, now) == MergeOutcome::Updated
    }

    /// Takes in a configuration update.
    pub(super) fn advance(&mut self, update: &ConfigUpdate, now: Timestamp) -> Advance {
        let advance = self.log.advance(update);
        match advance {
            Advance::Advanced(_) => self.put_in_force(now),
            Advance::Gap | Advance::DigestMismatch => {
                warn!(target: "spread", "spread: an update was dropped: {advance}");
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
                error!(target: "spread", "spread: revision {revision} can't be used: {faults}");
            }
        }
    }

    /// Takes in reports, and says whether any is news.
    pub(super) fn merge_all(
        &mut self,
        members: impl IntoIterator<Item = Member>,
        origin: ReportOrigin,
        now: Timestamp,
    ) -> bool {
        let mut news = false;
        for member in members {
            if member.role == self.own.member().role {
                news |= self.on_echo(&member, now);
            } else {
                news |= self.table.merge(member, origin, now) == MergeOutcome::Updated;
            }
        }
        news
    }

    /// Takes in what others say of this daemon. Its own table never holds that it is gone.
    fn on_echo(&mut self, member: &Member, now: Timestamp) -> bool {
        match self.own.on_echo(member) {
            Echo::Known => false,
            Echo::Refuted => {
                info!(target: "spread", "spread: this process was taken for gone and refutes it");
                self.update_own(|_| {}, now)
            }
            Echo::Superseded => {
                error!(target: "spread", "spread: a later life has this process's name");
                self.superseded = true;
                true
            }
        }
    }

    /// Takes in a poll.
    pub(super) fn take_request(&mut self, request: &PollRequest, now: Timestamp) -> bool {
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
        let mut news = false;
        if !request.same_target || self.knows(member) {
            news |= self.merge_all([member.clone()], origin, now);
        }
        let known = self.table.member(&member.role);
        let alive = known.is_some_and(|k| k.state != MemberState::Gone);
        if alive && origin == ReportOrigin::Downstream && self.knows(member) {
            self.table.record_heartbeat(&member.role, now);
        }
        news |= self.merge_all(request.reports.iter().cloned(), origin, now);
        news
    }

    /// Says whether this very report is known.
    fn knows(&self, member: &Member) -> bool {
        let known = self.table.member(&member.role);
        known.is_some_and(|k| k.version == member.version)
    }

    /// Takes in an answer to a poll, and says whether it held news.
    pub(super) fn take_reply(
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
        uplink.take_reply(&reply, mark, advance);
        let mut news = matches!(advance, Advance::Advanced(_));
        if !self.first && mark.parent {
            let unreachable: BTreeSet<_> = reply.unreachable.into_iter().collect();
            news |= unreachable != *self.unreachable;
            self.unreachable = Arc::new(unreachable);
        }
        news |= self.merge_all(reply.members, ReportOrigin::Upstream, now);
        news
    }

    /// Marks silent children and data centres, and says whether anything changed.
    pub(super) fn tick(&mut self, now: Timestamp) -> bool {
        let mut gone = self.table.expire(now);
        let mut changed = self.failing.tick(now);
        gone.extend(self.blame(now));
        for role in &gone {
            warn!(target: "spread", "spread: {} is silent and taken for gone", role.as_ref());
        }
        changed |= !gone.is_empty();
        if self.first {
            let unreachable = self.silent_centres(now);
            changed |= unreachable != *self.unreachable;
            self.unreachable = Arc::new(unreachable);
        }
        changed
    }

    /// Takes entries of its data centre for gone that do not answer this daemon.
    ///
    /// Entries of other data centres may only be cut off: these are listed as unreachable.
    fn blame(&mut self, now: Timestamp) -> Vec<Role> {
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
            now.since(*last) > CUT_AFTER
        });
        silent.collect()
    }

    /// Returns the view for the daemon's parts.
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
