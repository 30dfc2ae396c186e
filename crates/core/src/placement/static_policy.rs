//! The `static` policy, which assigns replicas evenly and ignores demand.

use super::layout::Layout;
use super::policy::PlacementPlugin;
use super::round::{PlannerState, Round};
use super::{PlacementPolicy, PlanInput, PlannedOrder};

inventory::submit! {
    PlacementPlugin {
        name: "static",
        make: || Box::<StaticPlacement>::default(),
    }
}

/// Assigns the floors and then the remaining memory round robin over models and accelerators.
#[derive(Debug, Default)]
struct StaticPlacement {
    state: PlannerState,
}

impl PlacementPolicy for StaticPlacement {
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<PlannedOrder> {
        let mut round = Round::start(input, &mut self.state);
        for assignment in even_assignments(&round.layout, input) {
            let accelerator = &round.layout.accelerators[assignment.accel];
            let row = &round.layout.models[assignment.model];
            let fits = accelerator.unreserved_mb >= row.need_mb();
            if accelerator.usable && fits && !row.is_on(assignment.accel) {
                round.plan_load(assignment.model, assignment.accel, 0.0);
            }
        }
        round.retire();
        round.place_adapters();
        round.finish()
    }
}

/// A replica of a model on an accelerator, as a policy wants it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Assignment {
    /// Index into the layout's models.
    pub(super) model: usize,
    /// Index into the layout's accelerators.
    pub(super) accel: usize,
}

/// Returns the even placement over all engines of the configuration, whether alive or not.
///
/// The result depends on the configuration alone, so that it stays the same when targets fail.
fn even_assignments(layout: &Layout, input: &PlanInput<'_>) -> Vec<Assignment> {
    let mut round_robin = RoundRobin::new(layout, input);
    let served: Vec<usize> = (0..layout.models.len())
        .filter(|&m| layout.models[m].is_served())
        .collect();
    let mut by_size = served.clone();
    by_size.sort_by_key(|&m| (std::cmp::Reverse(layout.models[m].need_mb()), m));
    for &model in &by_size {
        let floors = layout.models[model].requirements.iter().map(|r| r.floor);
        for _ in 0..floors.max().unwrap_or(0) {
            round_robin.add(model);
        }
    }
    let mut remaining = served;
    while !remaining.is_empty() {
        remaining.retain(|&model| round_robin.add(model));
    }
    round_robin.assignments
}

/// The state of the round-robin assignment.
struct RoundRobin<'a> {
    layout: &'a Layout,
    /// Unassigned memory of each accelerator, in megabytes.
    free_mb: Vec<i64>,
    /// The accelerators in round-robin order.
    order: Vec<usize>,
    /// Position in `order` at which the next search starts.
    next: usize,
    assignments: Vec<Assignment>,
    /// The models assigned to each accelerator.
    assigned: Vec<Vec<usize>>,
}

impl<'a> RoundRobin<'a> {
    fn new(layout: &'a Layout, input: &PlanInput<'_>) -> Self {
        let size_mb = |a: &super::layout::Accelerator| {
            let target = input.document.target(&a.target);
            target.map_or(0, |t| i64::from(t.accelerator_mb))
        };
        Self {
            layout,
            free_mb: layout.accelerators.iter().map(size_mb).collect(),
            order: interleave_centres(layout),
            next: 0,
            assignments: Vec::new(),
            assigned: vec![Vec::new(); layout.accelerators.len()],
        }
    }

    /// Assigns a replica to the next accelerator with room; returns `false` if there is none.
    fn add(&mut self, model: usize) -> bool {
        let row = &self.layout.models[model];
        for step in 0..self.order.len() {
            let position = (self.next + step) % self.order.len();
            let accel = self.order[position];
            let allowed = row.is_allowed_in(self.layout.accelerators[accel].centre);
            let fits = self.free_mb[accel] >= row.need_mb();
            if allowed && fits && !self.assigned[accel].contains(&model) {
                self.free_mb[accel] -= row.need_mb();
                self.assigned[accel].push(model);
                self.assignments.push(Assignment { model, accel });
                self.next = position + 1;
                return true;
            }
        }
        false
    }
}

/// Returns all accelerators, alternating between the data centres.
fn interleave_centres(layout: &Layout) -> Vec<usize> {
    let mut counts = vec![0_usize; layout.centres];
    let mut keyed: Vec<_> = layout
        .accelerators
        .iter()
        .enumerate()
        .map(|(accel, a)| {
            counts[a.centre] += 1;
            (counts[a.centre], a.centre, accel)
        })
        .collect();
    keyed.sort_unstable();
    keyed.into_iter().map(|(.., accel)| accel).collect()
}
