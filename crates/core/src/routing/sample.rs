//! The draw of candidates among the replicas of a model that has many.

use rand::Rng;
use rand::seq::SliceRandom;

use super::ReplicaView;

/// The most candidates that a policy is given.
pub(super) const MAX_CANDIDATES: usize = 24;
/// Of these, places kept for replicas across the regional link when there are enough near ones.
const FAR_RESERVE: usize = 4;

/// The group from which a replica is drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReplicaGroup {
    /// Its load was reported just now, probably in reply to a probe for the same request.
    Recent,
    /// In the entry's region.
    Near,
    /// Across the regional link.
    Far,
}

/// The replicas to draw from, by group.
#[derive(Debug, Default)]
pub(super) struct Sample<'a> {
    recent: Vec<&'a ReplicaView>,
    near: Vec<&'a ReplicaView>,
    far: Vec<&'a ReplicaView>,
}

impl<'a> Sample<'a> {
    /// Adds a replica to a group.
    pub(super) fn add(&mut self, replica: &'a ReplicaView, group: ReplicaGroup) {
        match group {
            ReplicaGroup::Recent => self.recent.push(replica),
            ReplicaGroup::Near => self.near.push(replica),
            ReplicaGroup::Far => self.far.push(replica),
        }
    }

    /// Returns true if no replica was added.
    pub(super) const fn is_empty(&self) -> bool {
        self.recent.is_empty() && self.near.is_empty() && self.far.is_empty()
    }

    /// Draws the candidates: replicas with a recent load, then near ones, then far ones.
    pub(super) fn draw(mut self, rng: &mut dyn Rng) -> Vec<&'a ReplicaView> {
        let mut drawn = Vec::with_capacity(MAX_CANDIDATES);
        draw_group(&mut self.recent, MAX_CANDIDATES, &mut drawn, rng);
        let far = self.far.len().min(FAR_RESERVE);
        draw_group(&mut self.near, MAX_CANDIDATES - far, &mut drawn, rng);
        draw_group(&mut self.far, MAX_CANDIDATES, &mut drawn, rng);
        drawn
    }
}

/// Draws from `pool` until `drawn` has `limit` replicas.
fn draw_group<'a>(
    pool: &mut [&'a ReplicaView],
    limit: usize,
    drawn: &mut Vec<&'a ReplicaView>,
    rng: &mut dyn Rng,
) {
    let wanted = limit.saturating_sub(drawn.len());
    if pool.len() <= wanted {
        drawn.extend_from_slice(pool);
        return;
    }
    let (picked, _) = pool.partial_shuffle(rng, wanted);
    drawn.extend_from_slice(picked);
}
