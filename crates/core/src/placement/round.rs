//! One planning round: the board, the planner's lasting state and the orders so far.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::message::OrderAction;

use super::LoadLimiter;
use super::board::{Board, Keep, UnloadCheck};
use super::model_row::{CopyState, Want};
use super::pending::{CopyKey, Pending};
use super::{PlanInput, PlannedOrder};

/// Time for which a planned load waits for room or for the weight store.
const INTENT_AGE: Duration = Duration::from_secs(90);

/// A load that is planned and not yet ordered.
#[derive(Debug, Clone, Copy)]
struct Intent {
    since: Timestamp,
    value: f64,
}

/// What a planner keeps from round to round.
#[derive(Debug, Default)]
pub(super) struct PlannerState {
    pub(super) pending: Pending,
    limiter: LoadLimiter,
    intents: BTreeMap<CopyKey, Intent>,
}

impl PlannerState {
    /// Forgets the planned loads that are not yet ordered.
    pub(super) fn forget_intents(&mut self) {
        self.intents.clear();
    }
}

/// One planning round.
pub(super) struct Round<'a> {
    /// What the round plans from.
    pub(super) input: &'a PlanInput<'a>,
    /// The working picture.
    pub(super) board: Board,
    state: &'a mut PlannerState,
    orders: Vec<PlannedOrder>,
}

impl<'a> Round<'a> {
    /// Starts a round: settles what was ordered and takes up what was planned before.
    pub(super) fn start(input: &'a PlanInput<'a>, state: &'a mut PlannerState) -> Self {
        state.pending.settle(input);
        let board = Board::new(input, &state.pending);
        let mut round = Self {
            input,
            board,
            state,
            orders: Vec::new(),
        };
        round.repeat_unloads();
        round.resume_intents();
        round
    }

    /// Gives lost unloads again, but for copies that are needed by now.
    fn repeat_unloads(&mut self) {
        for key in self.state.pending.repeat_unloads(self.input.now) {
            let Some((model, place)) = self.locate(&key) else {
                continue;
            };
            if self.board.check_unload(model, place, Keep::One) == UnloadCheck::Allowed {
                self.push_unload(&key);
            }
        }
    }

    fn resume_intents(&mut self) {
        let now = self.input.now;
        let kept = std::mem::take(&mut self.state.intents);
        for (key, intent) in kept {
            let Some((model, place)) = self.locate(&key) else {
                continue;
            };
            let accelerator = &self.board.accelerators[place];
            let row = &self.board.models[model];
            let fits = accelerator.free_mb + accelerator.going_mb >= row.need_mb();
            let fresh = now.since(intent.since) < INTENT_AGE;
            if fresh && fits && accelerator.usable && row.is_served() && !row.is_on(place) {
                self.board.begin_load(model, place);
                self.state.intents.insert(key, intent);
            }
        }
    }

    fn locate(&self, key: &CopyKey) -> Option<(usize, usize)> {
        let model = self.board.model_of(&key.model)?;
        let place = self.board.accelerator_at(&key.target, key.accelerator)?;
        Some((model, place))
    }

    /// Returns the number of planned loads that are not yet ordered.
    pub(super) fn intents(&self) -> usize {
        self.state.intents.len()
    }

    /// Plans a load; `value` orders it among loads of the same urgency.
    pub(super) fn plan_load(&mut self, model: usize, place: usize, value: f64) {
        let intent = Intent {
            since: self.input.now,
            value,
        };
        let key = self.board.key(model, place);
        self.board.begin_load(model, place);
        self.state.intents.insert(key, intent);
    }

    /// Orders an unload if enough other copies remain, and says whether it did.
    ///
    /// Where an agent has yet to learn the planner's epoch, it is told so first.
    pub(super) fn unload(&mut self, model: usize, place: usize, keep: Keep) -> bool {
        match self.board.check_unload(model, place, keep) {
            UnloadCheck::Allowed => {
                let key = self.board.key(model, place);
                self.board.begin_unload(model, place);
                self.push_unload(&key);
                self.state.pending.note_unload(key, self.input.now);
                true
            }
            UnloadCheck::FenceFirst(places) => {
                self.fence(&places);
                false
            }
            UnloadCheck::Needed => false,
        }
    }

    /// Tells agents the planner's epoch by ordering a copy that they hold already.
    fn fence(&mut self, places: &[usize]) {
        for &place in places {
            let ready = self.board.accelerators[place].models.iter().find(|&&m| {
                let row = &self.board.models[m];
                row.copy_on(place)
                    .is_some_and(|c| row.copies[c].state == CopyState::Ready)
            });
            if let Some(&model) = ready {
                let order = load_order(&self.board.key(model, place));
                if !self.orders.contains(&order) {
                    self.orders.push(order);
                }
            }
        }
    }

    fn push_unload(&mut self, key: &CopyKey) {
        self.orders.push(PlannedOrder {
            target: key.target.clone(),
            action: OrderAction::Unload {
                model: key.model.clone(),
                accelerator: key.accelerator,
            },
        });
    }

    /// Orders an adapter's move unless it is in flight or the weight store's limit is reached.
    pub(super) fn order_adapter(&mut self, place: usize, action: OrderAction) {
        let limit = usize::from(self.input.document.policy.adapter_flight.max(1));
        if self.state.pending.adapters_in_flight() >= limit {
            return;
        }
        let target = &self.board.accelerators[place].target;
        if self
            .state
            .pending
            .note_adapter(target, &action, self.input.now)
        {
            self.orders.push(PlannedOrder {
                target: target.clone(),
                action,
            });
        }
    }

    /// Forgets an adapter's order whose effect is reported.
    pub(super) fn adapter_done(&mut self, place: usize, action: &OrderAction) {
        let target = &self.board.accelerators[place].target;
        self.state.pending.adapter_done(target, action);
    }

    /// Orders the planned loads that have room, within the weight store's limits, and ends.
    pub(super) fn finish(mut self) -> Vec<PlannedOrder> {
        let unseen = self.state.pending.loads().count();
        let policy = &self.input.document.policy;
        let loading = self.input.loading + unseen;
        let mut grant = (self.state.limiter).grant(
            self.input.now,
            loading,
            policy.load_flight,
            policy.load_rate,
            f64::from(policy.load_flight.max(1)),
        );
        for key in self.intents_by_urgency() {
            if grant == 0 {
                break;
            }
            if self.order_load(&key) {
                grant -= 1;
            }
        }
        self.orders
    }

    fn order_load(&mut self, key: &CopyKey) -> bool {
        let Some((model, place)) = self.locate(key) else {
            return false;
        };
        let need_mb = self.board.models[model].need_mb();
        if self.board.accelerators[place].room_mb < need_mb {
            return false;
        }
        self.board.accelerators[place].room_mb -= need_mb;
        self.state.limiter.take();
        self.state.intents.remove(key);
        self.state.pending.note_load(key.clone(), self.input.now);
        self.orders.push(load_order(key));
        true
    }

    fn intents_by_urgency(&self) -> Vec<CopyKey> {
        let mut sorted: Vec<_> = self
            .state
            .intents
            .iter()
            .filter_map(|(key, intent)| {
                let model = self.board.model_of(&key.model)?;
                let priority = self.board.models[model].priority;
                Some((self.urgency(model), priority, intent.value, key.clone()))
            })
            .collect();
        sorted.sort_by(|a, b| {
            let rank = (a.0, a.1).cmp(&(b.0, b.1));
            rank.then(b.2.total_cmp(&a.2)).then(a.3.cmp(&b.3))
        });
        sorted.into_iter().map(|(.., key)| key).collect()
    }

    /// Returns how urgent another copy of a model is.
    pub(super) fn urgency(&self, model: usize) -> Urgency {
        let ready = |want: &Want| self.board.ready_for(model, want, None).count();
        let wants = &self.board.models[model].wants;
        if wants.iter().any(|want| ready(want) == 0) {
            return Urgency::Unreachable;
        }
        if wants.iter().any(|want| ready(want) < want.floor) {
            return Urgency::Floor;
        }
        Urgency::Demand
    }
}

/// How urgent a load is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// A deployment can't reach the model.
    Unreachable,
    /// A deployment's floor is not kept.
    Floor,
    /// More requests are expected than the copies can run.
    Demand,
}

fn load_order(key: &CopyKey) -> PlannedOrder {
    PlannedOrder {
        target: key.target.clone(),
        action: OrderAction::Load {
            model: key.model.clone(),
            accelerator: key.accelerator,
        },
    }
}
