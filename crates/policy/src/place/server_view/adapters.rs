//! Adapters of a server, and the slots that they take.

use std::collections::BTreeSet;

use types::prelude::*;

use super::{AdapterKey, ServerView};

impl ServerView {
    /// Returns the adapters that are loaded or being unloaded, and then those being loaded that are not
    /// among them.
    pub(super) fn adapters(&self) -> impl Iterator<Item = (&model::Id, &adapter::Id)> {
        let held = self.held.iter();
        let held = held.flat_map(|(model, all)| all.iter().map(move |adapter| (model, adapter)));
        let loading = self.adapters_loading.keys().map(|(model, adapter)| (model, adapter));
        held.chain(loading.filter(|(model, adapter)| {
            !self.held.get(*model).is_some_and(|all| all.contains(*adapter))
        }))
    }

    /// Returns the adapters that no order moves and that are not being loaded.
    pub(in crate::place) fn settled_adapters(&self) -> impl Iterator<Item = AdapterKey> {
        let pairs = self.adapters().map(|(model, adapter)| (model.clone(), adapter.clone()));
        pairs.filter(|adapter_key| !self.adapters_loading.contains_key(adapter_key))
    }

    /// Returns the adapters of inherited loads that occupy no slot yet.
    pub(super) fn inherited_adapters(&self) -> BTreeSet<(&model::Id, &adapter::Id)> {
        let orders = self.inherited_loads();
        let inherited = orders.filter_map(|order| Some((&order.model, order.adapter.as_ref()?)));
        inherited.filter(|inherited| !self.adapters().any(|other| other == *inherited)).collect()
    }

    /// Returns the number of adapters that occupy a slot or may still come to occupy one.
    pub(in crate::place) fn reserved_adapters(&self) -> usize {
        self.adapters().count() + self.inherited_adapters().len()
    }
}
