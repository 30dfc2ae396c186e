//! The policy that places once, by even shares.

use super::board::Board;
use super::policy::PlacementPlugin;
use super::round::{PlannerState, Round};
use super::{PlacementPolicy, PlanInput, PlannedOrder};

inventory::submit! {
    PlacementPlugin {
        name: "static",
        make: || Box::<StaticPlacement>::default(),
    }
}

/// Places floors round robin, spreads the remaining memory by even shares and follows no demand.
#[derive(Debug, Default)]
struct StaticPlacement {
    state: PlannerState,
}

impl PlacementPolicy for StaticPlacement {
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<PlannedOrder> {
        let mut round = Round::start(input, &mut self.state);
        for spot in even_spots(&round.board, input) {
            let accelerator = &round.board.accelerators[spot.place];
            let row = &round.board.models[spot.model];
            let fits = accelerator.free_mb >= row.need_mb();
            if accelerator.usable && fits && !row.is_on(spot.place) {
                round.plan_load(spot.model, spot.place, 0.0);
            }
        }
        round.retire();
        round.place_adapters();
        round.finish()
    }
}

/// A copy of a model on an accelerator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Spot {
    /// The model, by its place on the board.
    pub(super) model: usize,
    /// The accelerator, by its place on the board.
    pub(super) place: usize,
}

/// Returns the even placement over all engines of the document, whether alive or not.
fn even_spots(board: &Board, input: &PlanInput<'_>) -> Vec<Spot> {
    let mut shares = EvenShares::new(board, input);
    let served: Vec<usize> = (0..board.models.len())
        .filter(|&m| board.models[m].is_served())
        .collect();
    let mut by_size = served.clone();
    by_size.sort_by_key(|&m| (std::cmp::Reverse(board.models[m].need_mb()), m));
    for &model in &by_size {
        let floors = board.models[model].wants.iter().map(|w| w.floor);
        for _ in 0..floors.max().unwrap_or(0) {
            shares.add(model);
        }
    }
    let mut open = served;
    while !open.is_empty() {
        open.retain(|&model| shares.add(model));
    }
    shares.spots
}

/// The even placement while it is worked out.
struct EvenShares<'a> {
    board: &'a Board,
    free_mb: Vec<i64>,
    order: Vec<usize>,
    next: usize,
    spots: Vec<Spot>,
    held: Vec<Vec<usize>>,
}

impl<'a> EvenShares<'a> {
    fn new(board: &'a Board, input: &PlanInput<'_>) -> Self {
        let size_mb = |a: &super::board::Accelerator| {
            let target = input.document.target(&a.target);
            target.map_or(0, |t| i64::from(t.accelerator_mb))
        };
        Self {
            board,
            free_mb: board.accelerators.iter().map(size_mb).collect(),
            order: interleaved(board),
            next: 0,
            spots: Vec::new(),
            held: vec![Vec::new(); board.accelerators.len()],
        }
    }

    /// Adds a copy on the next accelerator in turn that has room, and says whether one had.
    fn add(&mut self, model: usize) -> bool {
        let row = &self.board.models[model];
        for step in 0..self.order.len() {
            let turn = (self.next + step) % self.order.len();
            let place = self.order[turn];
            let allowed = row.may_be_in(self.board.accelerators[place].centre);
            let fits = self.free_mb[place] >= row.need_mb();
            if allowed && fits && !self.held[place].contains(&model) {
                self.free_mb[place] -= row.need_mb();
                self.held[place].push(model);
                self.spots.push(Spot { model, place });
                self.next = turn + 1;
                return true;
            }
        }
        false
    }
}

/// Returns the accelerators in turn over the data centres.
fn interleaved(board: &Board) -> Vec<usize> {
    let mut turns = vec![0_usize; board.centres];
    let mut keyed: Vec<_> = board
        .accelerators
        .iter()
        .enumerate()
        .map(|(place, a)| {
            turns[a.centre] += 1;
            (turns[a.centre], a.centre, place)
        })
        .collect();
    keyed.sort_unstable();
    keyed.into_iter().map(|(.., place)| place).collect()
}
