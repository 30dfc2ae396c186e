//! Which orders of the placement lease's holder are taken up.

use std::collections::BTreeSet;

use kumquatkeel_types::message::{Order, OrderReply, OrderResult};
use kumquatkeel_types::{Epoch, Incarnation, TargetName};

/// Order numbers kept of the present epoch.
const MAX_NUMBERS: usize = 4_096;

/// What to do with an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderCheck {
    /// Try to carry it out, then report what came of it with [`OrderValidator::reply`].
    Accept,
    /// Answer so.
    Reply(OrderReply),
}

/// Checks orders for target, life, epoch and number.
#[derive(Debug)]
pub struct OrderValidator {
    target: TargetName,
    incarnation: Incarnation,
    epoch: Epoch,
    numbers: BTreeSet<u64>,
    floor: u64,
}

impl OrderValidator {
    /// Makes the desk of a target's agent in this life.
    pub const fn new(target: TargetName, incarnation: Incarnation) -> Self {
        Self {
            target,
            incarnation,
            epoch: Epoch(0),
            numbers: BTreeSet::new(),
            floor: 0,
        }
    }

    /// Returns the highest epoch seen.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Checks an order.
    #[must_use]
    pub fn check(&mut self, order: &Order) -> OrderCheck {
        if order.target != self.target {
            let reason = format!("this is the agent of {}", self.target);
            return OrderCheck::Reply(self.answer(OrderResult::Refused { reason }));
        }
        if order.incarnation != self.incarnation {
            return OrderCheck::Reply(self.answer(OrderResult::WrongIncarnation));
        }
        if order.epoch < self.epoch {
            return OrderCheck::Reply(self.answer(OrderResult::OldEpoch));
        }
        if order.epoch > self.epoch {
            self.epoch = order.epoch;
            self.numbers.clear();
            self.floor = 0;
        }
        if self.numbers.contains(&order.number) || order.number <= self.floor {
            return OrderCheck::Reply(self.answer(OrderResult::Started));
        }
        OrderCheck::Accept
    }

    /// Makes the reply to an order that was taken up; a started one is never started again.
    #[must_use]
    pub fn reply(&mut self, order: &Order, result: OrderResult) -> OrderReply {
        if result == OrderResult::Started && order.epoch == self.epoch {
            self.numbers.insert(order.number);
            if self.numbers.len() > MAX_NUMBERS {
                self.floor = self.numbers.pop_first().unwrap_or(self.floor);
            }
        }
        self.answer(result)
    }

    const fn answer(&self, result: OrderResult) -> OrderReply {
        OrderReply {
            incarnation: self.incarnation,
            epoch: self.epoch,
            result,
        }
    }
}
