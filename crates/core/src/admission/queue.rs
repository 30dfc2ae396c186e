//! The bounded queue of a service.

use std::collections::{BTreeMap, BTreeSet};

use kumquatkeel_types::{CallerName, Timestamp};

/// Names one request at a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that asks for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub ticket: Ticket,
    /// Who sent it.
    pub caller: CallerName,
    /// The priority, from 0 (first) to 9 (last).
    pub priority: u8,
    /// The latest time at which a start still meets the limits.
    pub start_by: Timestamp,
}

/// The order in which waiting requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    start_by: Timestamp,
    ticket: Ticket,
}

/// What became of a request at the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueStep {
    /// The request waits.
    Waits,
    /// The request waits in place of this one.
    Replaces(Ticket),
    /// There is no room.
    Full,
}

/// Waiting requests by priority, then by the latest start.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<Rank, CallerName>,
    ranks: BTreeMap<Ticket, Rank>,
    starts: BTreeSet<(Timestamp, Ticket)>,
    callers: BTreeMap<CallerName, u32>,
}

impl Queue {
    /// Returns the waiting requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the requests that would start before this one.
    pub(super) fn ahead_of(&self, arrival: &Arrival) -> usize {
        self.waiting.range(..rank_of(arrival)).count()
    }

    /// Puts a request into the queue, if need be in place of a less urgent one or of one of a
    /// caller that takes more than its share.
    pub(super) fn push(&mut self, arrival: &Arrival, most: usize) -> QueueStep {
        if self.len() < most {
            self.insert(arrival);
            return QueueStep::Waits;
        }
        let Some(victim) = self.victim(arrival) else {
            return QueueStep::Full;
        };
        self.remove(victim);
        self.insert(arrival);
        QueueStep::Replaces(victim)
    }

    /// Takes out the request that is to start next.
    pub(super) fn pop(&mut self) -> Option<(Ticket, Timestamp)> {
        let rank = *self.waiting.first_key_value()?.0;
        self.remove(rank.ticket);
        Some((rank.ticket, rank.start_by))
    }

    /// Takes a request out, and says whether it was waiting.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(rank) = self.ranks.remove(&ticket) else {
            return false;
        };
        self.starts.remove(&(rank.start_by, ticket));
        if let Some(caller) = self.waiting.remove(&rank) {
            self.count_down(&caller);
        }
        true
    }

    /// Takes out the requests whose latest start has passed.
    pub(super) fn expire(&mut self, now: Timestamp) -> Vec<Ticket> {
        let in_time = (now, Ticket(0));
        let late: Vec<_> = self.starts.range(..in_time).map(|(_, t)| *t).collect();
        for ticket in &late {
            self.remove(*ticket);
        }
        late
    }

    /// Returns the first latest start of all waiting requests.
    pub(super) fn first_expiry(&self) -> Option<Timestamp> {
        self.starts.first().map(|(start_by, _)| *start_by)
    }

    fn insert(&mut self, arrival: &Arrival) {
        let rank = rank_of(arrival);
        self.ranks.insert(arrival.ticket, rank);
        self.starts.insert((rank.start_by, rank.ticket));
        self.waiting.insert(rank, arrival.caller.clone());
        *self.callers.entry(arrival.caller.clone()).or_default() += 1;
    }

    fn count_down(&mut self, caller: &CallerName) {
        if let Some(count) = self.callers.get_mut(caller) {
            *count -= 1;
            if *count == 0 {
                self.callers.remove(caller);
            }
        }
    }

    /// Picks the request that gives way to `arrival`: the last one of a lower priority, else the
    /// last one of the same priority of the caller that waits with most.
    fn victim(&self, arrival: &Arrival) -> Option<Ticket> {
        let last = self.waiting.last_key_value()?.0;
        if last.priority > arrival.priority {
            return Some(last.ticket);
        }
        let own = self.callers.get(&arrival.caller).copied().unwrap_or(0);
        let (greedy, most) = self.callers.iter().max_by_key(|(_, count)| **count)?;
        if *most <= own + 1 {
            return None;
        }
        let gives_way = |(rank, caller): &(&Rank, &CallerName)| {
            rank.priority == arrival.priority && *caller == greedy
        };
        self.waiting
            .iter()
            .rev()
            .find(gives_way)
            .map(|(rank, _)| rank.ticket)
    }
}

const fn rank_of(arrival: &Arrival) -> Rank {
    Rank {
        priority: arrival.priority,
        start_by: arrival.start_by,
        ticket: arrival.ticket,
    }
}
