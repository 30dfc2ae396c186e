//! The part of a popular model's replicas that a policy is shown.

use rand::Rng;
use rand::seq::SliceRandom;

use super::ReplicaView;

/// Replicas that a policy is shown at most.
pub(super) const MAX_SHOWN: usize = 24;
/// Of these, replicas across the regional link when there are enough near ones.
const FAR_SHOWN: usize = 4;

/// Why a replica may be shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ShownAs {
    /// Its load was heard just now, probably for the same request.
    JustHeard,
    /// It is in the entry's region.
    Near,
    /// It is across the regional link.
    Far,
}

/// Replicas by why they may be shown.
#[derive(Debug, Default)]
pub(super) struct Sample<'a> {
    heard: Vec<&'a ReplicaView>,
    near: Vec<&'a ReplicaView>,
    far: Vec<&'a ReplicaView>,
}

impl<'a> Sample<'a> {
    /// Adds a replica.
    pub(super) fn add(&mut self, replica: &'a ReplicaView, shown: ShownAs) {
        match shown {
            ShownAs::JustHeard => self.heard.push(replica),
            ShownAs::Near => self.near.push(replica),
            ShownAs::Far => self.far.push(replica),
        }
    }

    /// Says whether no replica was added.
    pub(super) const fn is_empty(&self) -> bool {
        self.heard.is_empty() && self.near.is_empty() && self.far.is_empty()
    }

    /// Draws the replicas to show: those just heard of, then near ones, then far ones.
    pub(super) fn draw(mut self, rng: &mut dyn Rng) -> Vec<&'a ReplicaView> {
        let mut shown = Vec::with_capacity(MAX_SHOWN);
        draw_from(&mut self.heard, MAX_SHOWN, &mut shown, rng);
        let far = self.far.len().min(FAR_SHOWN);
        draw_from(&mut self.near, MAX_SHOWN - far, &mut shown, rng);
        draw_from(&mut self.far, MAX_SHOWN, &mut shown, rng);
        shown
    }
}

/// Draws from `pool` until `shown` has `most` replicas.
fn draw_from<'a>(
    pool: &mut [&'a ReplicaView],
    most: usize,
    shown: &mut Vec<&'a ReplicaView>,
    rng: &mut dyn Rng,
) {
    let wanted = most.saturating_sub(shown.len());
    if pool.len() <= wanted {
        shown.extend_from_slice(pool);
        return;
    }
    let (drawn, _) = pool.partial_shuffle(rng, wanted);
    shown.extend_from_slice(drawn);
}
