//! What a daemon knows, shared by its parts and by those that poll it.

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

/// Longest time that a poll is held back.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Time for which member news is gathered before a poll is answered.
const GATHER: Duration = Duration::from_millis(200);

/// What a daemon knows of the configuration and of the other processes.
#[derive(Debug)]
pub struct Hub {
    clock: Clock,
    life: u64,
    centre: DataCentreName,
    agent: bool,
    state: Mutex<HubState>,
    view: watch::Sender<SharedView>,
}

impl Hub {
    /// Makes the hub of the daemon that reports itself as `own`.
    ///
    /// `life` tells this hub's positions from those of the daemon's earlier lives; any random
    /// number will do.
    pub fn new(own: Member, life: u64, clock: Clock) -> Self {
        let state = HubState::new(own, clock.now());
        Self {
            clock,
            life: life.max(1),
            centre: state.own.member().data_centre.clone(),
            agent: state.own.member().role.is_agent(),
            view: watch::Sender::new(state.view()),
            state: Mutex::new(state),
        }
    }

    /// Returns a receiver of the view.
    pub fn view(&self) -> watch::Receiver<SharedView> {
        self.view.subscribe()
    }

    /// Returns the daemon's own report.
    pub fn own(&self) -> Member {
        self.lock().own.member().clone()
    }

    /// Returns the latest configuration with its changes.
    pub fn config(&self) -> ConfigLog {
        self.lock().log.clone()
    }

    /// Changes the daemon's own report, such as its state or its target's.
    pub fn update_own(&self, change: impl FnOnce(&mut OwnReport)) {
        let mut state = self.lock();
        if state.update_own(change, self.clock.now()) {
            self.publish(&state);
        }
    }

    /// Takes over the state and the target from a report that another part of the daemon keeps.
    pub fn take_report(&self, report: &Member) {
        self.update_own(|own| {
            own.set_state(report.state);
            if let Some(target) = &report.target {
                own.set_target(target.clone());
            }
        });
    }

    /// Sets whether the daemon takes new work; the news goes out at once.
    pub fn set_state(&self, member: MemberState) {
        self.update_own(|own| own.set_state(member));
    }

    /// Takes in which processes the platform's list says are leaving.
    pub fn set_leaving(&self, names: &std::collections::BTreeSet<String>) {
        let mut state = self.lock();
        let roles = state.table.members().map(|m| m.role.clone());
        let leaving: Vec<_> = roles.filter(|r| names.contains(r.as_ref())).collect();
        state.table.set_leaving(leaving);
    }

    /// Takes in a configuration update, if it leads upwards.
    pub fn advance(&self, update: &ConfigUpdate) -> Advance {
        let mut state = self.lock();
        let advance = state.advance(update, self.clock.now());
        if matches!(advance, Advance::Advanced(_)) {
            self.publish(&state);
        }
        advance
    }

    /// Answers a poll when there is news for it, or when its time has passed.
    pub async fn answer(&self, request: PollRequest) -> PollReply {
        let begun = Instant::now();
        let until = begun + Duration::from_millis(request.wait_ms).min(MAX_WAIT);
        let mut changes = self.view.subscribe();
        self.take_request(&request);
        let mut unreachable = None;
        loop {
            changes.mark_unchanged();
            let reply = self.reply_to(&request);
            let first = unreachable.get_or_insert_with(|| reply.unreachable.clone());
            if reply.config != ConfigUpdate::Current || *first != reply.unreachable {
                return reply;
            }
            if !reply.members.is_empty() {
                let gathered = (begun + GATHER).min(until);
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

    fn take_request(&self, request: &PollRequest) {
        let mut state = self.lock();
        if state.take_request(request, self.clock.now()) {
            self.publish(&state);
        }
    }

    fn reply_to(&self, request: &PollRequest) -> PollReply {
        let state = self.lock();
        let position = if request.relay_life == self.life {
            request.position
        } else {
            0
        };
        let sender = &request.member;
        let news = if sender.role.is_agent() || sender.data_centre == self.centre {
            state.table.updates_for(position, &sender.role)
        } else {
            state.table.downstream_updates(position)
        };
        let known = request.revision.map_or(0, |_| request.digest);
        let mut reply = PollReply {
            config: state.log.update_for(request.revision, known),
            members: news.members,
            position: news.position,
            relay_life: self.life,
            unreachable: state.unreachable.iter().cloned().collect(),
        };
        reply.members.retain(|m| m.role != request.member.role);
        reply.members.extend(echo_of(&state, &request.member));
        reply
    }

    /// Makes a poll of a source.
    pub(super) fn request(&self, uplink: &Uplink, to: &Peer, wait: Duration) -> Poll {
        let state = self.lock();
        let mut member = state.own.member().clone();
        let told = state.table.position_of(&member.role) <= uplink.sent;
        let same_target = told && member.target.take().is_some();
        let mut news = if self.reports_to(to) {
            state.table.downstream_updates(uplink.sent)
        } else {
            MemberUpdates {
                members: Vec::new(),
                position: state.table.position(),
            }
        };
        news.members.retain(|m| m.role != member.role);
        let revision = state.log.revision().filter(|_| !uplink.resync);
        let request = PollRequest {
            member,
            revision,
            digest: state.log.digest(),
            position: uplink.position,
            relay_life: uplink.life,
            wait_ms: wait.as_millis() as u64,
            reports: news.members,
            same_target,
        };
        let mark = UplinkMark {
            peer: to.address,
            sent: news.position,
            centre: to.data_centre.clone(),
            parent: !state.first,
        };
        Poll { request, mark }
    }

    /// Takes in an answer to a poll.
    pub(super) fn take_reply(&self, reply: PollReply, uplink: &mut Uplink, mark: &UplinkMark) {
        let mut state = self.lock();
        if state.take_reply(reply, uplink, mark, self.clock.now()) {
            self.publish(&state);
        }
    }

    /// Says whether a source does not know yet what this daemon would tell it now.
    pub(super) fn has_news_for(&self, uplink: &Uplink, to: &Peer) -> bool {
        let state = self.lock();
        if self.reports_to(to) {
            let news = state.table.downstream_updates(uplink.sent);
            return !news.members.is_empty();
        }
        state.table.position_of(&state.own.member().role) > uplink.sent
    }

    /// Says whether a source is told of the processes below this daemon.
    ///
    /// Other data centres poll for them, so that each report crosses a link once.
    fn reports_to(&self, to: &Peer) -> bool {
        self.agent || to.data_centre.as_ref() == Some(&self.centre)
    }

    /// Notes that a source did not answer.
    pub(super) fn poll_failed(&self, peer: SocketAddr) {
        self.lock().failing.failed(peer, self.clock.now());
    }

    /// Notes that the store answered.
    pub(super) fn store_answered(&self) {
        self.lock().failing.store_answered(self.clock.now());
    }

    /// Returns the sources that do not answer.
    pub(super) fn failing(&self) -> Vec<SocketAddr> {
        self.lock().failing.addresses().collect()
    }

    /// Marks silent children and data centres.
    pub(super) fn tick(&self) {
        let mut state = self.lock();
        if state.tick(self.clock.now()) {
            self.publish(&state);
        }
    }

    /// Returns from whom the daemon gets its news at present.
    pub fn plan(&self) -> Plan {
        plan_of(&self.lock())
    }

    /// Says whether the daemon is the first relay of its data centre.
    pub(super) fn is_first_relay(&self) -> bool {
        self.lock().first
    }

    /// Notes whether the daemon is a relay; one that has just become one has no parent.
    pub(super) fn set_relay(&self, plan: &Plan) {
        {
            let mut state = self.lock();
            if plan.first && !state.first {
                state.contacts.clear();
            }
            state.relays = plan.store;
            state.first = plan.first;
        }
        if plan.store {
            self.set_parent(None);
        }
    }

    /// Notes the daemon's parent. A newer report shows a former one that it need not wait.
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

    /// Returns the revision of the configuration that the daemon holds.
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

/// A poll and what it carries.
pub(super) struct Poll {
    pub(super) request: PollRequest,
    pub(super) mark: UplinkMark,
}

/// Returns what a process must know about itself: that it is taken for gone, or replaced.
fn echo_of(state: &HubState, sender: &Member) -> Option<Member> {
    let known = state.table.member(&sender.role)?;
    let gone = known.state == MemberState::Gone && sender.state != MemberState::Gone;
    let replaced = known.version.incarnation > sender.version.incarnation;
    let newer = known.version >= sender.version;
    ((gone && newer) || replaced).then(|| known.clone())
}
