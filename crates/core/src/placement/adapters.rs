//! Placement of adapters on the replicas of their base models.

use kumquatkeel_types::AdapterName;
use kumquatkeel_types::message::OrderAction;

use super::model_row::Availability;
use super::round::Round;

/// An adapter that is missing on a ready replica of its base model.
struct MissingAdapter {
    /// Whether another ready replica has the adapter.
    reachable: bool,
    /// Requests per second for the adapter.
    rate: f64,
    /// Index into the layout's models.
    model: usize,
    /// Index into the layout's accelerators.
    accel: usize,
    adapter: AdapterName,
}

impl Round<'_> {
    /// Orders the loads of adapters missing on ready replicas, and the unloads of adapters that no
    /// deployment serves.
    ///
    /// Adapters that are ready on no replica come first, then those with the highest demand.
    pub(super) fn place_adapters(&mut self) {
        let mut missing = Vec::new();
        for model in 0..self.layout.models.len() {
            self.unload_unserved_adapters(model);
            self.collect_missing_adapters(model, &mut missing);
        }
        missing.sort_by(|a: &MissingAdapter, b| {
            let rate = b.rate.total_cmp(&a.rate);
            let rank = a.reachable.cmp(&b.reachable).then(rate);
            rank.then((a.accel, &a.adapter).cmp(&(b.accel, &b.adapter)))
        });
        for item in missing {
            let action = OrderAction::LoadAdapter {
                adapter: item.adapter,
                model: self.layout.models[item.model].id.clone(),
                accelerator: self.layout.accelerators[item.accel].index,
            };
            self.order_adapter(item.accel, action);
        }
    }

    fn collect_missing_adapters(&mut self, model: usize, missing: &mut Vec<MissingAdapter>) {
        let row = self.layout.models[model].clone();
        let ready = row
            .replicas
            .iter()
            .filter(|r| r.availability == Availability::Ready);
        for replica in ready.clone() {
            for need in &row.adapters {
                if replica.adapters.contains(&need.name) {
                    let action = OrderAction::LoadAdapter {
                        adapter: need.name.clone(),
                        model: row.id.clone(),
                        accelerator: self.layout.accelerators[replica.accelerator].index,
                    };
                    self.confirm_adapter(replica.accelerator, &action);
                    continue;
                }
                missing.push(MissingAdapter {
                    reachable: ready.clone().any(|r| r.adapters.contains(&need.name)),
                    rate: self
                        .input
                        .adapter_demand
                        .get(&need.name)
                        .map_or(0.0, |d| d.rate),
                    model,
                    accel: replica.accelerator,
                    adapter: need.name.clone(),
                });
            }
        }
    }

    fn unload_unserved_adapters(&mut self, model: usize) {
        let row = &self.layout.models[model];
        if self.input.additive_only || !row.is_served() {
            return;
        }
        let mut unserved = Vec::new();
        for replica in row
            .replicas
            .iter()
            .filter(|r| r.availability == Availability::Ready)
        {
            for adapter in &replica.adapters {
                if row.adapters.iter().all(|need| need.name != *adapter) {
                    unserved.push((replica.accelerator, adapter.clone()));
                }
            }
        }
        for (accel, adapter) in unserved {
            let action = OrderAction::UnloadAdapter {
                adapter,
                model: self.layout.models[model].id.clone(),
                accelerator: self.layout.accelerators[accel].index,
            };
            self.order_adapter(accel, action);
        }
    }
}
