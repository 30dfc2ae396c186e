//! Spreads that the target beside the agent has stated that it leaves.
//!
//! The target says so in its answers, so that only the entries that it has answered learn of it. The
//! others would still begin streams there, and the planner would count on its copies of models.

use kumquatkeel_core::serving::Incarnation;

use super::daemon::Agent;
use crate::gossip::Datagram;

impl Agent {
    /// Records that a target leaves; spreads it if the target is the one beside this agent.
    pub(super) fn handle_leaving(&mut self, incarnation: &Incarnation) {
        let now = self.clock.now();
        if !self.objects.table.record_leaving(incarnation, now) {
            return;
        }
        let (id, born) = (&incarnation.id, incarnation.born);
        log::info!(target_id:% = id, born; "target leaves, as it states");
        self.leaving_sent = None;
        self.publish_leaving();
    }

    /// Sends from time to time that the target leaves, if it has stated so.
    pub(super) fn publish_leaving(&mut self) {
        let now = self.clock.now();
        let interval = self.peers.notice_interval();
        if (self.leaving_sent).is_some_and(|sent| now.since(sent) < interval) {
            return;
        }
        let incarnation = self.target().map(|target| target.incarnation());
        let table = &self.objects.table;
        let Some(incarnation) = incarnation.filter(|target| table.has_stated_leaving(target))
        else {
            return;
        };
        self.leaving_sent = Some(now);
        let notice = Datagram::Leaving(incarnation);
        for peer in self.peers.entries().chain(self.peers.planner_candidates()) {
            self.gossip.send(peer, &notice);
        }
    }
}
