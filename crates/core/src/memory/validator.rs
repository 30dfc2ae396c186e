//! Validation of the orders from the holder of the placement lease.

use std::collections::BTreeSet;

use kumquatkeel_types::message::{Order, OrderReply, OrderResult};
use kumquatkeel_types::{Epoch, Incarnation, TargetName};

/// Numbers of started orders that are remembered within one epoch.
const MAX_STARTED: usize = 4_096;

/// Result of the validation of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderCheck {
    /// Try to start the order, then build the reply with [`OrderValidator::reply`].
    Accept,
    /// Send this reply; the order was started before or is refused.
    Reply(OrderReply),
}

/// Checks the target, incarnation, lease epoch and number of each order.
///
/// Lower epochs are fenced off, and an order number is started at most once within an epoch.
#[derive(Debug)]
pub struct OrderValidator {
    target: TargetName,
    incarnation: Incarnation,
    epoch: Epoch,
    started: BTreeSet<u64>,
    /// Numbers up to this one count as started.
    floor: u64,
}

impl OrderValidator {
    /// Creates the validator for a target's agent, in its present incarnation.
    pub const fn new(target: TargetName, incarnation: Incarnation) -> Self {
        Self {
            target,
            incarnation,
            epoch: Epoch(0),
            started: BTreeSet::new(),
            floor: 0,
        }
    }

    /// Returns the highest lease epoch seen; zero before the first order.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Checks an order, and adopts its epoch if that is higher than all before.
    #[must_use]
    pub fn check(&mut self, order: &Order) -> OrderCheck {
        if order.target != self.target {
            let reason = format!("this is the agent of {}", self.target);
            return OrderCheck::Reply(self.build_reply(OrderResult::Refused { reason }));
        }
        if order.incarnation != self.incarnation {
            return OrderCheck::Reply(self.build_reply(OrderResult::WrongIncarnation));
        }
        if order.epoch < self.epoch {
            return OrderCheck::Reply(self.build_reply(OrderResult::OldEpoch));
        }
        if order.epoch > self.epoch {
            self.epoch = order.epoch;
            self.started.clear();
            self.floor = 0;
        }
        if self.started.contains(&order.number) || order.number <= self.floor {
            return OrderCheck::Reply(self.build_reply(OrderResult::Started));
        }
        OrderCheck::Accept
    }

    /// Builds the reply to an accepted order; one that was started is never accepted again.
    #[must_use]
    pub fn reply(&mut self, order: &Order, result: OrderResult) -> OrderReply {
        if result == OrderResult::Started && order.epoch == self.epoch {
            self.started.insert(order.number);
            if self.started.len() > MAX_STARTED {
                self.floor = self.started.pop_first().unwrap_or(self.floor);
            }
        }
        self.build_reply(result)
    }

    const fn build_reply(&self, result: OrderResult) -> OrderReply {
        OrderReply {
            incarnation: self.incarnation,
            epoch: self.epoch,
            result,
        }
    }
}
