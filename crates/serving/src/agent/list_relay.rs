//! Reads the list of targets for the entries of the region, if this agent is one of its relays, and records the
//! software versions in it.

use kumquatkeel_core::serving::{ListRole, list_notice_interval, list_relays};

use super::daemon::Agent;
use crate::gossip::Datagram;
use crate::objects::publish;

impl Agent {
    /// Checks from time to time whether this agent is a relay; a relay then states to the entries of its
    /// region what it has read.
    pub(super) fn publish_list_notice(&mut self) {
        let now = self.clock.now();
        let interval = list_notice_interval(self.peers.local_entries().count());
        if now.since(self.list_checked) < interval {
            return;
        }
        self.list_checked = now;
        let hosts = self.objects.agent_hosts(&self.settings.locality);
        let is_relay = list_relays(hosts).contains(&self.settings.gossip.ip());
        self.list.set_role(if is_relay {
            ListRole::Relay
        } else {
            ListRole::Planner
        });
        let listed = is_relay.then(|| self.objects.listed_versions(now));
        publish(&self.listed_versions, listed.flatten());
        self.update_origin_duty();
        if let Some(notice) = self.list.notice().filter(|_| is_relay) {
            let notice = Datagram::List(notice);
            for entry in self.peers.local_entries() {
                self.gossip.send(entry, &notice);
            }
        }
    }
}
