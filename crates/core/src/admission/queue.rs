//! The bounded queue of a service's waiting requests.

use std::collections::{BTreeMap, BTreeSet};

use kumquatkeel_types::{CallerName, Timestamp};

/// Identifies a request at one admission controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that arrives at an admission controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Identifies the request; of equal requests the one with the lower ticket starts first.
    pub ticket: Ticket,
    /// The client account that sent the request.
    pub caller: CallerName,
    /// The priority, from 0 (highest) to 9 (lowest).
    pub priority: u8,
    /// The latest start with which the request can still meet its time limits.
    pub start_by: Timestamp,
}

/// The order in which waiting requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    start_by: Timestamp,
    ticket: Ticket,
}

/// The result of adding a request to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueStep {
    /// The request waits.
    Queued,
    /// The request waits in place of this one, which was removed.
    Displaced(Ticket),
    /// The queue is full and the request was not added.
    Full,
}

/// The waiting requests, ordered by priority, then by latest start.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<Rank, CallerName>,
    ranks: BTreeMap<Ticket, Rank>,
    deadlines: BTreeSet<(Timestamp, Ticket)>,
    per_caller: BTreeMap<CallerName, u32>,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of waiting requests that start before this one.
    pub(super) fn ahead_of(&self, arrival: &Arrival) -> usize {
        self.waiting.range(..rank_of(arrival)).count()
    }

    /// Adds a request. In a full queue it displaces one of lower priority, or one of the same
    /// priority of a caller with more waiting requests, if there is one.
    pub(super) fn push(&mut self, arrival: &Arrival, max_waiting: usize) -> QueueStep {
        if self.len() < max_waiting {
            self.insert(arrival);
            return QueueStep::Queued;
        }
        let Some(displaced) = self.displaced(arrival) else {
            return QueueStep::Full;
        };
        self.remove(displaced);
        self.insert(arrival);
        QueueStep::Displaced(displaced)
    }

    /// Removes and returns the request that starts next, with its latest start.
    pub(super) fn pop(&mut self) -> Option<(Ticket, Timestamp)> {
        let rank = *self.waiting.first_key_value()?.0;
        self.remove(rank.ticket);
        Some((rank.ticket, rank.start_by))
    }

    /// Removes a request and returns whether it was waiting.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(rank) = self.ranks.remove(&ticket) else {
            return false;
        };
        self.deadlines.remove(&(rank.start_by, ticket));
        if let Some(caller) = self.waiting.remove(&rank) {
            self.decrement(&caller);
        }
        true
    }

    /// Removes and returns the requests whose latest start has passed.
    pub(super) fn expire(&mut self, now: Timestamp) -> Vec<Ticket> {
        let bound = (now, Ticket(0));
        let expired: Vec<_> = self.deadlines.range(..bound).map(|(_, t)| *t).collect();
        for ticket in &expired {
            self.remove(*ticket);
        }
        expired
    }

    /// Returns the earliest of the waiting requests' latest starts.
    pub(super) fn first_expiry(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(start_by, _)| *start_by)
    }

    fn insert(&mut self, arrival: &Arrival) {
        let rank = rank_of(arrival);
        self.ranks.insert(arrival.ticket, rank);
        self.deadlines.insert((rank.start_by, rank.ticket));
        self.waiting.insert(rank, arrival.caller.clone());
        *self.per_caller.entry(arrival.caller.clone()).or_default() += 1;
    }

    fn decrement(&mut self, caller: &CallerName) {
        if let Some(count) = self.per_caller.get_mut(caller) {
            *count -= 1;
            if *count == 0 {
                self.per_caller.remove(caller);
            }
        }
    }

    /// Returns the request that `arrival` displaces: the last one if its priority is lower, else
    /// the last one of the same priority of the caller with the most waiting requests.
    fn displaced(&self, arrival: &Arrival) -> Option<Ticket> {
        let last = self.waiting.last_key_value()?.0;
        if last.priority > arrival.priority {
            return Some(last.ticket);
        }
        let own = self.per_caller.get(&arrival.caller).copied().unwrap_or(0);
        let (heaviest, most) = self.per_caller.iter().max_by_key(|(_, count)| **count)?;
        if *most <= own + 1 {
            return None;
        }
        let is_displaced = |(rank, caller): &(&Rank, &CallerName)| {
            rank.priority == arrival.priority && *caller == heaviest
        };
        self.waiting
            .iter()
            .rev()
            .find(is_displaced)
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
