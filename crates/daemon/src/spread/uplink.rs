//! How far a daemon and one of its sources know each other's news.

use std::net::SocketAddr;

use kumquatkeel_core::spread::Advance;
use kumquatkeel_types::DataCentreName;
use kumquatkeel_types::message::PollReply;

/// How far a daemon and one of its sources know each other's news.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Uplink {
    /// The source's position up to which the daemon has its reports.
    pub(super) position: u64,
    /// The source's life that the position belongs to.
    pub(super) life: u64,
    /// The daemon's own position up to which the source has its reports.
    pub(super) sent: u64,
    /// Whether the daemon needs a whole configuration.
    pub(super) resync: bool,
}

/// What a poll carried.
#[derive(Debug, Clone)]
pub(super) struct UplinkMark {
    /// The source.
    pub(super) peer: SocketAddr,
    /// The daemon's position up to which the poll told its reports.
    pub(super) sent: u64,
    /// The data centre of the source, if it is known.
    pub(super) centre: Option<DataCentreName>,
    /// Whether the source is the daemon's parent.
    pub(super) parent: bool,
}

impl Uplink {
    /// Takes in how far an answer reaches.
    pub(super) fn take_reply(&mut self, reply: &PollReply, mark: &UplinkMark, advance: Advance) {
        if reply.relay_life == self.life {
            self.position = self.position.max(reply.position);
            self.sent = self.sent.max(mark.sent);
        } else {
            // A source in a new life has none of this daemon's earlier reports.
            self.sent = if self.life == 0 { mark.sent } else { 0 };
            self.life = reply.relay_life;
            self.position = reply.position;
        }
        self.resync = matches!(advance, Advance::Gap | Advance::DigestMismatch);
    }
}
