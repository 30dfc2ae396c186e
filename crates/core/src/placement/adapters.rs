//! The placement of adapters beside their base models.

use kumquatkeel_types::AdapterName;
use kumquatkeel_types::message::OrderAction;

use super::model_row::CopyState;
use super::round::Round;

/// An adapter that a copy lacks.
struct MissingAdapter {
    reachable: bool,
    rate: f64,
    model: usize,
    place: usize,
    adapter: AdapterName,
}

impl Round<'_> {
    /// Orders the adapters that ready copies lack, unreachable ones and busy ones first, and
    /// unloads those that no deployment serves.
    pub(super) fn place_adapters(&mut self) {
        let mut missing = Vec::new();
        for model in 0..self.board.models.len() {
            self.drop_unserved(model);
            self.collect_missing(model, &mut missing);
        }
        missing.sort_by(|a: &MissingAdapter, b| {
            let rate = b.rate.total_cmp(&a.rate);
            let rank = a.reachable.cmp(&b.reachable).then(rate);
            rank.then((a.place, &a.adapter).cmp(&(b.place, &b.adapter)))
        });
        for item in missing {
            let action = OrderAction::LoadAdapter {
                adapter: item.adapter,
                model: self.board.models[item.model].id.clone(),
                accelerator: self.board.accelerators[item.place].index,
            };
            self.order_adapter(item.place, action);
        }
    }

    fn collect_missing(&mut self, model: usize, missing: &mut Vec<MissingAdapter>) {
        let row = self.board.models[model].clone();
        let ready = row.copies.iter().filter(|c| c.state == CopyState::Ready);
        for copy in ready.clone() {
            for need in &row.adapters {
                if copy.adapters.contains(&need.name) {
                    let action = OrderAction::LoadAdapter {
                        adapter: need.name.clone(),
                        model: row.id.clone(),
                        accelerator: self.board.accelerators[copy.accelerator].index,
                    };
                    self.adapter_done(copy.accelerator, &action);
                    continue;
                }
                missing.push(MissingAdapter {
                    reachable: ready.clone().any(|c| c.adapters.contains(&need.name)),
                    rate: self
                        .input
                        .adapter_demand
                        .get(&need.name)
                        .map_or(0.0, |d| d.rate),
                    model,
                    place: copy.accelerator,
                    adapter: need.name.clone(),
                });
            }
        }
    }

    fn drop_unserved(&mut self, model: usize) {
        let row = &self.board.models[model];
        if self.input.additive_only || !row.is_served() {
            return;
        }
        let mut unserved = Vec::new();
        for copy in row.copies.iter().filter(|c| c.state == CopyState::Ready) {
            for adapter in &copy.adapters {
                if row.adapters.iter().all(|need| need.name != *adapter) {
                    unserved.push((copy.accelerator, adapter.clone()));
                }
            }
        }
        for (place, adapter) in unserved {
            let action = OrderAction::UnloadAdapter {
                adapter,
                model: self.board.models[model].id.clone(),
                accelerator: self.board.accelerators[place].index,
            };
            self.order_adapter(place, action);
        }
    }
}
