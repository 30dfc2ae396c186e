//! Progress of the exchange between a daemon and one of its sources.

use std::net::SocketAddr;

use kumquatkeel_core::spread::Advance;
use kumquatkeel_types::DataCentreName;
use kumquatkeel_types::message::PollReply;

/// Progress of the exchange between a daemon and one of its sources.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Uplink {
    /// Position in the source's table up to which the daemon has its reports.
    pub(super) position: u64,
    /// Identifier of the source's hub, which `position` belongs to; 0 before the first reply.
    pub(super) hub_id: u64,
    /// Position in the daemon's own table up to which the source has its reports.
    pub(super) sent: u64,
    /// Whether the daemon needs a full snapshot because an update did not fit.
    pub(super) resync: bool,
}

/// Record of what a poll carried, needed to apply its reply.
#[derive(Debug, Clone)]
pub(super) struct UplinkMark {
    /// Address of the source.
    pub(super) peer: SocketAddr,
    /// Position in the daemon's table up to which the poll carried its reports.
    pub(super) sent: u64,
    /// Data centre of the source, if it is known.
    pub(super) centre: Option<DataCentreName>,
    /// Whether the daemon takes over the source's list of unreachable data centres; the first relay
    /// finds them itself.
    pub(super) parent: bool,
}

impl Uplink {
    /// Moves the positions on by a reply; `advance` is the outcome of its configuration update.
    pub(super) fn apply_reply(&mut self, reply: &PollReply, mark: &UplinkMark, advance: Advance) {
        if reply.relay_life == self.hub_id {
            self.position = self.position.max(reply.position);
            self.sent = self.sent.max(mark.sent);
        } else {
            // A restarted source has none of this daemon's earlier reports.
            self.sent = if self.hub_id == 0 { mark.sent } else { 0 };
            self.hub_id = reply.relay_life;
            self.position = reply.position;
        }
        self.resync = matches!(advance, Advance::Gap | Advance::DigestMismatch);
    }
}
