//! News of the fleet with the addresses of links in place of the agents' own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use kumquatkeel_entry::fleet::{FleetNews, FleetSource};
use kumquatkeel_types::TargetName;
use kumquatkeel_types::message::Role;

/// Passes an entry's news on, so that it reaches each agent through its own link.
pub(super) struct LinkedSource {
    pub(super) inner: Arc<dyn FleetSource>,
    pub(super) links: BTreeMap<TargetName, SocketAddr>,
}

#[async_trait]
impl FleetSource for LinkedSource {
    async fn next(&self) -> Vec<FleetNews> {
        let mut news = self.inner.next().await;
        for item in &mut news {
            if let FleetNews::Member(member) = item
                && let Role::Agent(target) = &member.role
                && let Some(link) = self.links.get(target)
            {
                member.address = *link;
            }
        }
        news
    }
}
