//! The shared state of a daemon: read by its components, and by its children through polls.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kumquatkeel_core::member::{MemberUpdates, OwnReport};
use kumquatkeel_core::spread::{Advance, ConfigLog};
use kumquatkeel_types::message::{ConfigUpdate, Member, MemberState, PollReply, PollRequest};
use kumquatkeel_types::{DataCentreName, Revision};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::plan::{Plan, plan_of};
use super::state::HubState;
use super::uplink::{Uplink, UplinkMark};
use super::{Peer, SharedView};
use crate::clock::Clock;

/// Longest time that a poll is held open.
const MAX_POLL_WAIT: Duration = Duration::from_secs(10);

/// Time for which member reports are collected before a held poll is answered.
const REPLY_COALESCE: Duration = Duration::from_millis(200);

/// The configuration and the member reports that a daemon holds.
#[derive(Debug)]
pub struct Hub {
    clock: Clock,
    id: u64,
    centre: DataCentreName,
    agent: bool,
    state: Mutex<HubState>,
    view: watch::Sender<SharedView>,
}

impl Hub {
    /// Creates the hub of the daemon that reports itself as `own`.
    ///
    /// `id` tells the positions of this hub from those of an earlier run of the daemon; any
    /// random number will do.
    pub fn new(own: Member, id: u64, clock: Clock) -> Self {
        let state = HubState::new(own, clock.now());
        Self {
            clock,
            id: id.max(1),
            centre: state.own.member().data_centre.clone(),
            agent: state.own.member().role.is_agent(),
            view: watch::Sender::new(state.view()),
            state: Mutex::new(state),
        }
    }

    /// Returns a receiver that sees each change of the view.
    pub fn view(&self) -> watch::Receiver<SharedView> {
        self.view.subscribe()
    }

    /// Returns the daemon's own report.
    pub fn own(&self) -> Member {
        self.lock().own.member().clone()
    }

    /// Returns the configuration with its latest deltas.
    pub fn config(&self) -> ConfigLog {
        self.lock().log.clone()
    }

    /// Changes the daemon's own report, such as its state or that of its target.
    pub fn update_own(&self, change: impl FnOnce(&mut OwnReport)) {
        let mut state = self.lock();
        if state.update_own(change, self.clock.now()) {
            self.publish(&state);
        }
    }

    /// Copies the state and the target of a report kept by another component into the own report.
    pub fn take_report(&self, report: &Member) {
        self.update_own(|own| {
            own.set_state(report.state);
            if let Some(target) = &report.target {
                own.set_target(target.clone());
            }
        });
    }

    /// Sets whether the daemon takes new work; the change is sent out at once.
    pub fn set_state(&self, member: MemberState) {
        self.update_own(|own| own.set_state(member));
    }

    /// Sets the processes that the platform's instance list reports as leaving, by name.
    pub fn set_leaving(&self, names: &std::collections::BTreeSet<String>) {
        let mut state = self.lock();
        let roles = state.table.members().map(|m| m.role.clone());
        let leaving: Vec<_> = roles.filter(|r| names.contains(r.as_ref())).collect();
        state.table.set_leaving(leaving);
    }

    /// Applies a configuration update if it leads to a newer revision.
    pub fn advance(&self, update: &ConfigUpdate) -> Advance {
        let mut state = self.lock();
        let advance = state.advance(update, self.clock.now());
        if matches!(advance, Advance::Advanced(_)) {
            self.publish(&state);
        }
        advance
    }

    /// Answers a poll as soon as there are updates for it, or when its wait time is over.
    pub async fn answer(&self, request: PollRequest) -> PollReply {
        let begun = Instant::now();
        let until = begun + Duration::from_millis(request.wait_ms).min(MAX_POLL_WAIT);
        let mut changes = self.view.subscribe();
        self.apply_request(&request);
        let mut unreachable = None;
        loop {
            changes.mark_unchanged();
            let reply = self.reply_to(&request);
            let first = unreachable.get_or_insert_with(|| reply.unreachable.clone());
            if reply.config != ConfigUpdate::Current || *first != reply.unreachable {
                return reply;
            }
            if !reply.members.is_empty() {
                let gathered = (begun + REPLY_COALESCE).min(until);
                if Instant::now() >= gathered {
                    return reply;
                }
                sleep_until(gathered).await;
                continue;
            }
            match timeout_at(until, changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return self.reply_to(&request),
            }
        }
    }

    fn apply_request(&self, request: &PollRequest) {
        let mut state = self.lock();
        if state.apply_request(request, self.clock.now()) {
            self.publish(&state);
        }
    }

    fn reply_to(&self, request: &PollRequest) -> PollReply {
        let state = self.lock();
        let position = if request.relay_life == self.id {
            request.position
        } else {
            0
        };
        let sender = &request.member;
        let updates = if sender.role.is_agent() || sender.data_centre == self.centre {
            state.table.updates_for(position, &sender.role)
        } else {
            state.table.downstream_updates(position)
        };
        let known = request.revision.map_or(0, |_| request.digest);
        let mut reply = PollReply {
            config: state.log.update_for(request.revision, known),
            members: updates.members,
            position: updates.position,
            relay_life: self.id,
            unreachable: state.unreachable.iter().cloned().collect(),
        };
        reply.members.retain(|m| m.role != request.member.role);
        reply.members.extend(echo_of(&state, &request.member));
        reply
    }

    /// Builds the poll request to a source; `wait` is how long the source may hold it open.
    pub(super) fn request(&self, uplink: &Uplink, to: &Peer, wait: Duration) -> Poll {
        let state = self.lock();
        let mut member = state.own.member().clone();
        let is_sent = state.table.position_of(&member.role) <= uplink.sent;
        let same_target = is_sent && member.target.take().is_some();
        let mut updates = if self.reports_to(to) {
            state.table.downstream_updates(uplink.sent)
        } else {
            MemberUpdates {
                members: Vec::new(),
                position: state.table.position(),
            }
        };
        updates.members.retain(|m| m.role != member.role);
        let revision = state.log.revision().filter(|_| !uplink.resync);
        let request = PollRequest {
            member,
            revision,
            digest: state.log.digest(),
            position: uplink.position,
            relay_life: uplink.hub_id,
            wait_ms: wait.as_millis() as u64,
            reports: updates.members,
            same_target,
        };
        let mark = UplinkMark {
            peer: to.address,
            sent: updates.position,
            centre: to.data_centre.clone(),
            parent: !state.first,
        };
        Poll { request, mark }
    }

    /// Applies the reply to a poll and publishes the changes.
    pub(super) fn apply_reply(&self, reply: PollReply, uplink: &mut Uplink, mark: &UplinkMark) {
        let mut state = self.lock();
        if state.apply_reply(reply, uplink, mark, self.clock.now()) {
            self.publish(&state);
        }
    }

    /// Returns whether this daemon has reports that it has not sent to the source yet.
    pub(super) fn has_updates_for(&self, uplink: &Uplink, to: &Peer) -> bool {
        let state = self.lock();
        if self.reports_to(to) {
            let updates = state.table.downstream_updates(uplink.sent);
            return !updates.members.is_empty();
        }
        state.table.position_of(&state.own.member().role) > uplink.sent
    }

    /// Returns whether reports from downstream are sent to a source.
    ///
    /// Other data centres poll for these reports, so that each crosses a link only once.
    fn reports_to(&self, to: &Peer) -> bool {
        self.agent || to.data_centre.as_ref() == Some(&self.centre)
    }

    /// Records that a source did not answer a poll.
    pub(super) fn poll_failed(&self, peer: SocketAddr) {
        self.lock().failing.failed(peer, self.clock.now());
    }

    /// Records that the store answered.
    pub(super) fn store_answered(&self) {
        self.lock().failing.store_answered(self.clock.now());
    }

    /// Returns the addresses of the sources whose last poll failed.
    pub(super) fn failing(&self) -> Vec<SocketAddr> {
        self.lock().failing.addresses().collect()
    }

    /// Marks silent processes as gone and updates the unreachable data centres.
    pub(super) fn tick(&self) {
        let mut state = self.lock();
        if state.tick(self.clock.now()) {
            self.publish(&state);
        }
    }

    /// Returns the sources that the daemon should use, given the entries known at present.
    pub fn plan(&self) -> Plan {
        plan_of(&self.lock())
    }

    /// Returns whether the daemon is the first relay of its data centre.
    pub(super) fn is_first_relay(&self) -> bool {
        self.lock().first
    }

    /// Sets whether the daemon is a relay, according to the plan; one without another relay in its data
    /// centre has no parent.
    pub(super) fn set_relay(&self, plan: &Plan) {
        {
            let mut state = self.lock();
            if plan.first && !state.first {
                state.contacts.clear();
            }
            state.relays = plan.store;
            state.first = plan.first;
        }
        if plan.store && !plan.groups.iter().flatten().any(|peer| self.is_local(peer)) {
            self.set_parent(None);
        }
    }

    /// Returns whether a source is in the daemon's own data centre.
    pub(super) fn is_local(&self, peer: &Peer) -> bool {
        peer.data_centre.as_ref() == Some(&self.centre)
    }

    /// Sets the daemon's parent.
    ///
    /// The own report gets a newer version, which tells a former parent that it need not expect
    /// heartbeats.
    pub(super) fn set_parent(&self, parent: Option<SocketAddr>) {
        let mut state = self.lock();
        if state.parent == parent {
            return;
        }
        state.parent = parent;
        if state.update_own(OwnReport::bump_version, self.clock.now()) {
            self.publish(&state);
        }
    }

    /// Returns the revision of the configuration that the daemon holds; `None` before the first.
    pub fn revision(&self) -> Option<Revision> {
        self.lock().log.revision()
    }

    fn publish(&self, state: &HubState) {
        self.view.send_replace(state.view());
    }

    fn lock(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A poll request and the record of what it carries.
pub(super) struct Poll {
    pub(super) request: PollRequest,
    pub(super) mark: UplinkMark,
}

/// Returns the report that the sender must see about itself: that it is listed as gone, or that a
/// newer incarnation has replaced it.
fn echo_of(state: &HubState, sender: &Member) -> Option<Member> {
    let known = state.table.member(&sender.role)?;
    let gone = known.state == MemberState::Gone && sender.state != MemberState::Gone;
    let replaced = known.version.incarnation > sender.version.incarnation;
    let newer = known.version >= sender.version;
    ((gone && newer) || replaced).then(|| known.clone())
}
